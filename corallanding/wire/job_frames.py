"""Frames about jobs that may wait for capacity. `docs/protocol.md` specifies the protocol."""

from __future__ import annotations

from .codec import Amount, Frame, Number, Text

# ---- from a proxy --------------------------------------------------------------------------------------------


class JobSubmission(Frame, tag="wait"):
    """Submits a job that may wait. Its body stays at the proxy, which submits it to another controller when the link
    is lost.

    waited_ms: the wait so far. idempotency_key: lets the client submit the job again through another proxy; empty if
    unused. release_set: the one to which its workflow run is pinned; 0 for none.
    """

    ticket: Number
    request_class: Number
    waited_ms: Amount = 0.0
    idempotency_key: Text = ""
    release_set: Number = 0


class JobWithdrawal(Frame, tag="unwait"):
    """Withdraws the job with this ticket from the controller's queue.

    is_abandoned: the client gave up and no other controller has the job or will receive it, so that its idempotency
    key may be reused.
    """

    ticket: Number
    is_abandoned: bool = False


# ---- from the controller -------------------------------------------------------------------------------------


class JobAdmission(Frame, tag="waits"):
    """Response to a `JobSubmission`.

    outcome: "waiting" (max_wait_ms: the longest wait from now on); or, for a rejected job, "full", "too-long"
    (max_wait_ms: the wait that it would need), "does-not-wait" or "not-now".
    """

    ticket: int
    outcome: str
    max_wait_ms: float = 0.0


class JobRelease(Frame, tag="go"):
    """Releases the job with this ticket (outcome "go"), or reports one with its key as released elsewhere ("twin")."""

    ticket: int
    outcome: str
