"""Allocation of task leases by the leader: which process holds or gets which shards, under which fencing token.

A lease counts until it has certainly expired, whatever happened to its holder. A new leader renews the leases that
holders report in its own term; all other shards it grants once every lease of its predecessor has expired.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .limits import TOKEN_SALT_BITS, LeaseTimings
from .messages import LeaseGrant, LeaseRequest
from .process_key import ProcessKey
from .shard_plan import plan_shards
from .tasks import TaskCatalog, pack, shard_list, unpack

MAX_PROCESSES = 4  # maximum number of tracked processes of one controller
PLAN_VALID_MS = 100.0
FAIRNESS_LEASES = 100  # lease durations for which past holders of a shard are remembered
ALL_SHARDS = -1


class GrantedLease(NamedTuple):
    """An unexpired grant: the round of its request, its shards, and the time (ms) by which it has certainly expired."""

    round: int
    shards: int
    ends_at_ms: float


@dataclass
class ProcessLeases:
    """The leases that one process may hold: all its unexpired grants."""

    last_round: int = -1
    wanted_shards: int = 0
    requested_at_ms: float = float("-inf")
    fencing_token: int = 0  # token of the last grant
    grants: list[GrantedLease] = field(default_factory=list)

    @property
    def granted_shards(self) -> int:
        """The shards of the last grant; `leased_shards` may be a larger set."""
        return max(self.grants, default=GrantedLease(0, 0, 0.0)).shards

    def leased_shards(self, now_ms: float) -> int:
        """Return all shards that the process may hold, and drop expired grants."""
        self.grants = [grant for grant in self.grants if grant.ends_at_ms > now_ms]
        shards = 0
        for grant in self.grants:
            shards |= grant.shards
        return shards


@dataclass
class ShardAllocator:
    """Grants leases of shards while this controller leads. All times are in ms by its clock.

    Requests identify the leadership by `epoch`. No fencing token above `max_token` is granted.
    """

    timings: LeaseTimings
    tasks: TaskCatalog
    epoch: int = 0
    first_round: int = 0  # lowest round by which a request can name the current term
    leader_since_ms: float | None = None
    learning_until_ms: float = float("inf")  # time by which all leases of the predecessor have expired
    last_token: int = 0
    max_token: int = 0
    leases: dict[ProcessKey, ProcessLeases] = field(default_factory=dict)
    learned_shards: int = 0  # shards leased by the predecessor, as reported by their holders
    last_held_at_ms: dict[tuple[int, int], float] = field(default_factory=dict)  # last grant, by (shard, controller)
    planned_shards: dict[int, int] = field(default_factory=dict)  # planned shards, by controller
    planned_at_ms: float = float("-inf")
    stale_requests: int = 0  # requests that name a previous term
    mismatched_requests: int = 0  # requests of controllers with a different task configuration
    rejected: int = 0  # requests of processes beyond `MAX_PROCESSES`
    moved_shards: int = 0  # shards granted to a different controller than their last holder
    last_holder: dict[int, int] = field(default_factory=dict)  # controller that held it last, by shard

    @property
    def grant_expiry_ms(self) -> float:
        """Time after which a grant has certainly expired, in ms from its reply on."""
        return self.timings.expiry_ms(self.timings.lease_ms)

    def begin_term(self, now_ms: float, first_round: int, first_token: int) -> None:
        """Begin a term, or begin it again after an interruption. Tokens are granted above `first_token`."""
        self.leader_since_ms = now_ms
        self.learning_until_ms = now_ms + self.grant_expiry_ms
        self.first_round = first_round
        self.leases = {}
        self.learned_shards = 0
        self.last_token = max(self.last_token, first_token)
        self.planned_at_ms = float("-inf")

    @property
    def wanted_max_token(self) -> int:
        """The highest token to announce to the voters.

        It is ahead of the last token by the wall clock's progress during half a vote lease. Even if all voters lose it,
        the wall clock, at which the tokens of the next leader start, has passed it before they elect that leader.
        """
        return self.last_token + (int(self.timings.vote_lease_ms / 2.0) << TOKEN_SALT_BITS)

    def on_request(self, now_ms: float, sender: int, request: LeaseRequest) -> LeaseGrant | None:
        """Return the grant for a request; None if the request is late, mismatched, or of one process too many.

        Call it only while this controller leads.
        """
        if request.leader_epoch != self.epoch or request.leader_round < self.first_round:
            self.stale_requests += 1
            return None
        if request.tasks_digest != self.tasks.digest:
            self.mismatched_requests += 1
            return None
        key = ProcessKey(sender, request.incarnation)
        held = unpack(request.held_shards)
        leases = self.leases.get(key) or self._register(now_ms, key, held)
        if leases is None or request.round <= leases.last_round:
            return None  # late or repeated: already answered, and its content is outdated
        leases.last_round = request.round
        leases.requested_at_ms = now_ms
        leases.wanted_shards = unpack(request.wanted_shards)
        # The next token must exceed those that fenced resources have accepted.
        self.last_token = max(self.last_token, request.highest_token)
        self.settle_grants(now_ms, leases, request.applied_round, held)
        return self.grant(now_ms, key, leases, request)

    def _register(self, now_ms: float, key: ProcessKey, held: int) -> ProcessLeases | None:
        """Return a new record for a process; None if its controller already has `MAX_PROCESSES`."""
        if self._process_count(key.controller) >= MAX_PROCESSES:
            self._drop_expired(now_ms)
        if self._process_count(key.controller) >= MAX_PROCESSES:
            self.rejected += 1
            return None
        if now_ms < self.learning_until_ms:
            self.learned_shards |= held
        leases = self.leases[key] = ProcessLeases()
        return leases

    def _process_count(self, controller: int) -> int:
        return sum(key.controller == controller for key in self.leases)

    def settle_grants(self, now_ms: float, leases: ProcessLeases, applied_round: int, held: int) -> None:
        """Replace the grants up to `applied_round` by the part of them that the process still holds.

        The process has applied the grant of that round, will apply no earlier one, and holds or acts on at most `held`
        of all these. Later grants may still be in flight and are kept.
        """
        settled = [grant for grant in leases.grants if grant.round <= applied_round]
        leases.grants = [grant for grant in leases.grants if grant.round > applied_round and grant.ends_at_ms > now_ms]
        ends_at_ms = max((grant.ends_at_ms for grant in settled), default=now_ms)
        if now_ms < self.learning_until_ms:
            leases.grants.append(GrantedLease(applied_round, held, max(ends_at_ms, self.learning_until_ms)))
        elif settled and held:
            granted = 0
            for grant in settled:
                granted |= grant.shards
            leases.grants.append(GrantedLease(applied_round, held & granted, ends_at_ms))

    def grant(self, now_ms: float, key: ProcessKey, leases: ProcessLeases, request: LeaseRequest) -> LeaseGrant:
        """Grant the shards that are planned for the process and that no other process may hold."""
        leased_to_others = self._leased_to_others(now_ms, key)
        learned = self.learned_shards if now_ms < self.learning_until_ms else ALL_SHARDS
        before = leases.leased_shards(now_ms)
        shards = self._planned_for(now_ms, key.controller) & leases.wanted_shards & learned & ~leased_to_others
        if (shards & ~before) or (shards and leases.fencing_token <= request.highest_token):
            token = self._next_token()
            if token <= self.max_token:
                self.last_token = token
                leases.fencing_token = token
            else:
                shards &= before  # no majority knows a higher token yet: grant no new shards
        self._record_holder(now_ms, key.controller, shards)
        leases.grants.append(GrantedLease(request.round, shards, now_ms + self.grant_expiry_ms))
        return LeaseGrant(request.incarnation, request.round, pack(shards), leases.fencing_token)

    def _leased_to_others(self, now_ms: float, key: ProcessKey) -> int:
        """Return the shards that other processes may hold; drop their expired grants, which a plan must not count."""
        shards = 0
        for other, leases in self.leases.items():
            if other != key:
                shards |= leases.leased_shards(now_ms)
        return shards

    def _next_token(self) -> int:
        """Return the next token: the next count, with low bits that differ between leaders."""
        salt = self.epoch % (1 << TOKEN_SALT_BITS)
        return ((self.last_token >> TOKEN_SALT_BITS) + 1 << TOKEN_SALT_BITS) | salt

    def _record_holder(self, now_ms: float, controller: int, shards: int) -> None:
        for shard in shard_list(shards):
            self.last_held_at_ms[shard, controller] = now_ms
            self.moved_shards += self.last_holder.get(shard, controller) != controller
            self.last_holder[shard] = controller

    def _planned_for(self, now_ms: float, controller: int) -> int:
        """Return the planned shards of a controller; recompute a plan that is too old or lacks the controller."""
        if now_ms - self.planned_at_ms > PLAN_VALID_MS or controller not in self.planned_shards:
            self._make_plan(now_ms)
        return self.planned_shards.get(controller, 0)

    def _make_plan(self, now_ms: float) -> None:
        newest = self._newest_processes(now_ms)
        wanted = {controller: leases.wanted_shards for controller, leases in newest.items()}
        held: dict[int, int] = {}
        taken = 0
        for controller in sorted(newest):
            # During a handover two controllers may hold a shard: count it for the first only.
            held[controller] = newest[controller].granted_shards & ~taken
            taken |= held[controller]
        self.planned_shards = plan_shards(
            held, wanted, self.tasks.shard_weights, self.last_held_at_ms, self.tasks.sticky_shards
        )
        self.planned_at_ms = now_ms
        horizon_ms = FAIRNESS_LEASES * self.timings.lease_ms
        self.last_held_at_ms = {key: at for key, at in self.last_held_at_ms.items() if now_ms - at < horizon_ms}

    def _newest_processes(self, now_ms: float) -> dict[int, ProcessLeases]:
        """Return, for each controller with a recent request, the process that sent its latest one."""
        newest: dict[int, ProcessLeases] = {}
        for key, leases in self.leases.items():
            if now_ms - leases.requested_at_ms > self.timings.lease_ms:
                continue
            known = newest.get(key.controller)
            if known is None or leases.requested_at_ms > known.requested_at_ms:
                newest[key.controller] = leases
        return newest

    def _drop_expired(self, now_ms: float) -> None:
        """Forget processes that hold nothing and sent no recent request."""
        self.leases = {
            key: leases
            for key, leases in self.leases.items()
            if leases.leased_shards(now_ms) or now_ms - leases.requested_at_ms <= self.timings.lease_ms
        }
