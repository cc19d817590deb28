"""The lease of one controller in the registry, to which its keys are bound. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .ownership_actions import GrantLease, KeepAlive

NOT_REQUESTED_MS = -1.0  # in place of the time of a lease request, while none is in flight


@dataclass(frozen=True)
class OwnershipTimings:
    """Times and bounds.

    safety_margin: the fraction of the lease's time by which a controller stops before the registry may end the lease.
    settle_ms: for how long the members must have been the same before slices are handed over.
    """

    lease_ttl_ms: float = 5_000.0
    safety_margin: float = 0.25
    max_pending_claims: int = 64
    settle_ms: float = 500.0

    @property
    def margin_ms(self) -> float:
        """The safety margin as a time."""
        return self.safety_margin * self.lease_ttl_ms


@dataclass
class ControllerLease:
    """A lease by our own clock; an `id` of 0 stands for none.

    valid_until_ms: the registry cannot have ended the lease before. requested_at_ms: when the grant or keep-alive in
    flight was sent. A lease counts from when it was requested, not from when the answer came.
    """

    timings: OwnershipTimings
    id: int = 0
    valid_until_ms: float = 0.0
    requested_at_ms: float = NOT_REQUESTED_MS

    def is_valid(self, now: float) -> bool:
        """Whether the lease has certainly not ended, with the margin for clocks that run at different rates."""
        return bool(self.id) and now < self.valid_until_ms - self.timings.margin_ms

    def is_expired(self, now: float) -> bool:
        """Whether there is a lease that the registry may have ended."""
        return bool(self.id) and now >= self.valid_until_ms

    def on_granted(self, lease_id: int) -> None:
        """Take a new lease."""
        self.id = lease_id
        self.valid_until_ms = self.requested_at_ms + self.timings.lease_ttl_ms
        self.requested_at_ms = NOT_REQUESTED_MS

    def on_renewed(self, ttl_ms: float) -> None:
        """Take the answer to a keep-alive."""
        if self.requested_at_ms >= 0:
            valid_until_ms = self.requested_at_ms + min(ttl_ms, self.timings.lease_ttl_ms)
            self.valid_until_ms = max(self.valid_until_ms, valid_until_ms)
        self.requested_at_ms = NOT_REQUESTED_MS

    def on_request_lost(self) -> None:
        """Note that the request in flight has no answer: it is sent again at the next tick."""
        self.requested_at_ms = NOT_REQUESTED_MS

    def next_requests(self, now: float) -> list[GrantLease | KeepAlive]:
        """What to request now: a new lease, or the renewal of one whose margin has passed; at most one at a time."""
        if self.requested_at_ms >= 0:
            if now - self.requested_at_ms > self.timings.margin_ms:
                self.requested_at_ms = NOT_REQUESTED_MS  # the answer is late: request again at the next tick
            return []
        if not self.id:
            self.requested_at_ms = now
            return [GrantLease(self.timings.lease_ttl_ms)]
        if now > self.valid_until_ms - self.timings.lease_ttl_ms * (1 - self.timings.safety_margin):
            self.requested_at_ms = now
            return [KeepAlive(self.id)]
        return []
