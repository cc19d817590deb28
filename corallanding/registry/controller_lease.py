"""The registry lease of one controller, to which its keys are bound. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .ownership_actions import GrantLease, KeepAlive

NOT_REQUESTED_MS = -1.0  # value of `requested_at_ms` while no lease request is in flight


@dataclass(frozen=True)
class OwnershipTimings:
    """Times and limits of slice ownership.

    safety_margin: the fraction of the lease time by which a controller stops acting before the registry may expire the
    lease. settle_ms: how long the members must be unchanged before slices are handed over.
    """

    lease_ttl_ms: float = 5_000.0
    safety_margin: float = 0.25
    max_pending_claims: int = 64
    settle_ms: float = 500.0

    @property
    def margin_ms(self) -> float:
        """The safety margin in ms."""
        return self.safety_margin * self.lease_ttl_ms


@dataclass
class ControllerLease:
    """A lease as timed by the controller's own clock; an `id` of 0 means no lease.

    valid_until_ms: the earliest time at which the registry can have expired the lease. requested_at_ms: when the grant
    or keep-alive in flight was sent. The lease time starts at the request, not at the response.
    """

    timings: OwnershipTimings
    id: int = 0
    valid_until_ms: float = 0.0
    requested_at_ms: float = NOT_REQUESTED_MS

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the lease cannot have expired; the safety margin covers clocks that run at different rates."""
        return bool(self.id) and now_ms < self.valid_until_ms - self.timings.margin_ms

    def is_expired(self, now_ms: float) -> bool:
        """Return whether there is a lease that the registry may have expired."""
        return bool(self.id) and now_ms >= self.valid_until_ms

    def on_granted(self, lease_id: int) -> None:
        """Record a granted lease."""
        self.id = lease_id
        self.valid_until_ms = self.requested_at_ms + self.timings.lease_ttl_ms
        self.requested_at_ms = NOT_REQUESTED_MS

    def on_renewed(self, ttl_ms: float) -> None:
        """Record the response to a keep-alive; `ttl_ms` is the lease time that the registry granted."""
        if self.requested_at_ms >= 0:
            valid_until_ms = self.requested_at_ms + min(ttl_ms, self.timings.lease_ttl_ms)
            self.valid_until_ms = max(self.valid_until_ms, valid_until_ms)
        self.requested_at_ms = NOT_REQUESTED_MS

    def on_request_lost(self) -> None:
        """Record that the request in flight got no response: it is sent again at the next tick."""
        self.requested_at_ms = NOT_REQUESTED_MS

    def next_requests(self, now_ms: float) -> list[GrantLease | KeepAlive]:
        """Return the request that is due: a grant, or a renewal once the margin has elapsed; at most one in flight."""
        if self.requested_at_ms >= 0:
            if now_ms - self.requested_at_ms > self.timings.margin_ms:
                self.requested_at_ms = NOT_REQUESTED_MS  # no response within the margin: request again at the next tick
            return []
        if not self.id:
            self.requested_at_ms = now_ms
            return [GrantLease(self.timings.lease_ttl_ms)]
        if now_ms > self.valid_until_ms - self.timings.lease_ttl_ms * (1 - self.timings.safety_margin):
            self.requested_at_ms = now_ms
            return [KeepAlive(self.id)]
        return []
