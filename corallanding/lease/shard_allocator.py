"""The leader's accounts of task leases: which shards are leased to whom, who gets which, under which fencing token.

A lease counts until it has surely ended, whatever became of its holder. A new leader goes on with what holders report,
in its own term, that they hold; everything else it grants once every lease of its predecessor has ended.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .limits import TOKEN_SALT_BITS, LeaseTimings
from .messages import LeaseGrant, LeaseRequest
from .process_key import ProcessKey
from .shard_plan import plan_shards
from .tasks import TaskCatalog, pack, shard_list, unpack

MAX_PROCESSES = 4  # of one controller, that may still hold something
PLAN_VALID_MS = 100.0
FAIRNESS_LEASES = 100  # lease durations for which it is remembered who held a shard
ALL_SHARDS = -1


class GrantedLease(NamedTuple):
    """A grant that has not ended: the round that it answered, its shards, and when it surely ends (ms)."""

    round: int
    shards: int
    ends_at: float


@dataclass
class ProcessLeases:
    """What one process may hold: every grant that has not ended."""

    last_round: int = -1
    wanted_shards: int = 0
    requested_at: float = float("-inf")
    fencing_token: int = 0  # of the last grant
    grants: list[GrantedLease] = field(default_factory=list)

    @property
    def granted_shards(self) -> int:
        """The shards of the last grant; what is leased may be more."""
        return max(self.grants, default=GrantedLease(0, 0, 0.0)).shards

    def leased_shards(self, now: float) -> int:
        """All shards that it may hold."""
        self.grants = [grant for grant in self.grants if grant.ends_at > now]
        shards = 0
        for grant in self.grants:
            shards |= grant.shards
        return shards


@dataclass
class ShardAllocator:
    """Grants leases of shards while this controller leads. All times are in ms by its clock.

    Requests name the leadership by `epoch`. No fencing token above `max_token` is granted.
    """

    timings: LeaseTimings
    tasks: TaskCatalog
    epoch: int = 0
    first_round: int = 0  # the lowest round by which a request can name the present term
    leader_since: float | None = None
    learning_until: float = float("inf")  # until then a lease of the predecessor may be good
    last_token: int = 0
    max_token: int = 0
    leases: dict[ProcessKey, ProcessLeases] = field(default_factory=dict)
    learned_shards: int = 0  # leases of the predecessor, as their holders reported
    last_held_at: dict[tuple[int, int], float] = field(default_factory=dict)  # by (shard, controller)
    planned_shards: dict[int, int] = field(default_factory=dict)  # by controller
    planned_at: float = float("-inf")
    stale_requests: int = 0  # meant for a former term
    mismatched_requests: int = 0  # of controllers with other tasks
    rejected: int = 0  # beyond `MAX_PROCESSES`
    moved_shards: int = 0  # granted to another controller than held them last
    last_holder: dict[int, int] = field(default_factory=dict)  # by shard

    @property
    def grant_expiry_ms(self) -> float:
        """For how long a grant counts as good, from its answer on."""
        return self.timings.expiry_ms(self.timings.lease_ms)

    def begin_term(self, now: float, first_round: int, first_token: int) -> None:
        """A term begins, or was interrupted for a moment. Tokens are granted above `first_token`."""
        self.leader_since = now
        self.learning_until = now + self.grant_expiry_ms
        self.first_round = first_round
        self.leases = {}
        self.learned_shards = 0
        self.last_token = max(self.last_token, first_token)
        self.planned_at = float("-inf")

    @property
    def wanted_max_token(self) -> int:
        """The highest token that voters should know of.

        It is as far ahead as the wall clock runs in half a vote's time. By the time that voters which all forgot it
        elect another leader, the clock, by which that one's tokens begin, has passed it.
        """
        return self.last_token + (int(self.timings.vote_lease_ms / 2.0) << TOKEN_SALT_BITS)

    def on_request(self, now: float, sender: int, request: LeaseRequest) -> LeaseGrant | None:
        """The answer to a request, at an instant when we lead; None if no answer could be of use."""
        if request.leader_epoch != self.epoch or request.leader_round < self.first_round:
            self.stale_requests += 1
            return None
        if request.tasks_digest != self.tasks.digest:
            self.mismatched_requests += 1
            return None
        key = ProcessKey(sender, request.incarnation)
        held = unpack(request.held_shards)
        leases = self.leases.get(key) or self._register(now, key, held)
        if leases is None or request.round <= leases.last_round:
            return None  # late or repeated: it was answered, and what it says is outdated
        leases.last_round = request.round
        leases.requested_at = now
        leases.wanted_shards = unpack(request.wanted_shards)
        self.last_token = max(self.last_token, request.highest_token)  # the next grant is above what a resource has met
        self.settle_grants(now, leases, request.applied_round, held)
        return self.grant(now, key, leases, request)

    def _register(self, now: float, key: ProcessKey, held: int) -> ProcessLeases | None:
        """The new account of a process; None if its controller has too many."""
        if self._process_count(key.controller) >= MAX_PROCESSES:
            self._drop_expired(now)
        if self._process_count(key.controller) >= MAX_PROCESSES:
            self.rejected += 1
            return None
        if now < self.learning_until:
            self.learned_shards |= held
        leases = self.leases[key] = ProcessLeases()
        return leases

    def _process_count(self, controller: int) -> int:
        return sum(key.controller == controller for key in self.leases)

    def settle_grants(self, now: float, leases: ProcessLeases, applied_round: int, held: int) -> None:
        """Replace the grants up to `applied_round` by what the process still holds of them.

        It has applied the answer to that round, will apply no earlier one any more, and holds or acts on no more than
        `held` of all these. A later answer may still be on its way: what it granted is kept beside this.
        """
        settled = [grant for grant in leases.grants if grant.round <= applied_round]
        leases.grants = [grant for grant in leases.grants if grant.round > applied_round and grant.ends_at > now]
        ends_at = max((grant.ends_at for grant in settled), default=now)
        if now < self.learning_until:
            leases.grants.append(GrantedLease(applied_round, held, max(ends_at, self.learning_until)))
        elif settled and held:
            granted = 0
            for grant in settled:
                granted |= grant.shards
            leases.grants.append(GrantedLease(applied_round, held & granted, ends_at))

    def grant(self, now: float, key: ProcessKey, leases: ProcessLeases, request: LeaseRequest) -> LeaseGrant:
        """Grant what is planned for the process, as far as nobody else may hold it."""
        leased_to_others = self._leased_to_others(now, key)
        learned = self.learned_shards if now < self.learning_until else ALL_SHARDS
        before = leases.leased_shards(now)
        shards = self._planned_for(now, key.controller) & leases.wanted_shards & learned & ~leased_to_others
        if (shards & ~before) or (shards and leases.fencing_token <= request.highest_token):
            token = self._next_token()
            if token <= self.max_token:
                self.last_token = token
                leases.fencing_token = token
            else:
                shards &= before  # no majority knows of a higher token yet: nothing new under it
        self._record_holder(now, key.controller, shards)
        leases.grants.append(GrantedLease(request.round, shards, now + self.grant_expiry_ms))
        return LeaseGrant(request.incarnation, request.round, pack(shards), leases.fencing_token)

    def _leased_to_others(self, now: float, key: ProcessKey) -> int:
        """What other processes may hold. Drops their ended grants, which a plan must not count any more."""
        shards = 0
        for other, leases in self.leases.items():
            if other != key:
                shards |= leases.leased_shards(now)
        return shards

    def _next_token(self) -> int:
        """The next token: a count above the last one, with low bits that differ between leaders."""
        salt = self.epoch % (1 << TOKEN_SALT_BITS)
        return ((self.last_token >> TOKEN_SALT_BITS) + 1 << TOKEN_SALT_BITS) | salt

    def _record_holder(self, now: float, controller: int, shards: int) -> None:
        for shard in shard_list(shards):
            self.last_held_at[shard, controller] = now
            self.moved_shards += self.last_holder.get(shard, controller) != controller
            self.last_holder[shard] = controller

    def _planned_for(self, now: float, controller: int) -> int:
        """What the present plan gives a controller; the plan is made anew if it is too old or lacks the controller."""
        if now - self.planned_at > PLAN_VALID_MS or controller not in self.planned_shards:
            self._make_plan(now)
        return self.planned_shards.get(controller, 0)

    def _make_plan(self, now: float) -> None:
        newest = self._newest_processes(now)
        wanted = {controller: leases.wanted_shards for controller, leases in newest.items()}
        held: dict[int, int] = {}
        taken = 0
        for controller in sorted(newest):
            # What two may hold, as one gives it back and the other takes it up, counts for the first only.
            held[controller] = newest[controller].granted_shards & ~taken
            taken |= held[controller]
        self.planned_shards = plan_shards(
            held, wanted, self.tasks.shard_weights, self.last_held_at, self.tasks.sticky_shards
        )
        self.planned_at = now
        horizon_ms = FAIRNESS_LEASES * self.timings.lease_ms
        self.last_held_at = {key: at for key, at in self.last_held_at.items() if now - at < horizon_ms}

    def _newest_processes(self, now: float) -> dict[int, ProcessLeases]:
        """Of each controller that sent a request of late, the process that did so last."""
        newest: dict[int, ProcessLeases] = {}
        for key, leases in self.leases.items():
            if now - leases.requested_at > self.timings.lease_ms:
                continue
            known = newest.get(key.controller)
            if known is None or leases.requested_at > known.requested_at:
                newest[key.controller] = leases
        return newest

    def _drop_expired(self, now: float) -> None:
        """Forget processes that hold nothing and sent no request of late."""
        self.leases = {
            key: leases
            for key, leases in self.leases.items()
            if leases.leased_shards(now) or now - leases.requested_at <= self.timings.lease_ms
        }
