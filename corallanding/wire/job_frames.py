"""Frames about jobs that may wait until there is capacity for them. `docs/protocol.md` describes the protocol."""

from __future__ import annotations

from .codec import Amount, Frame, Number, Text

# ---- from a proxy --------------------------------------------------------------------------------------------


class JobSubmission(Frame, tag="wait"):
    """Submits a job that may wait. Its body stays at the proxy, which submits it to another controller when the link
    is lost.

    waited_ms: how long it has waited so far. idempotency_key: by which a client may submit it again through another
    proxy; empty if it does not. release_set: to which its workflow run is pinned, 0 for none.
    """

    ticket: Number
    request_class: Number
    waited_ms: Amount = 0.0
    idempotency_key: Text = ""
    release_set: Number = 0


class JobWithdrawal(Frame, tag="unwait"):
    """The job of that ticket no longer waits here.

    is_abandoned: its client gave up, and no other controller has it or will get it, so that its idempotency key may be
    used again.
    """

    ticket: Number
    is_abandoned: bool = False


# ---- from the controller -------------------------------------------------------------------------------------


class JobAdmission(Frame, tag="waits"):
    """Answers a `JobSubmission`.

    outcome: "waiting", with the longest time that it will wait from now on; or it was rejected: "full", "too-long"
    (max_wait_ms: how long it would have to wait), "does-not-wait", "not-now".
    """

    ticket: int
    outcome: str
    max_wait_ms: float = 0.0


class JobRelease(Frame, tag="go"):
    """The job of that ticket may be sent (outcome "go"), or one with the same key was released elsewhere ("twin")."""

    ticket: int
    outcome: str
