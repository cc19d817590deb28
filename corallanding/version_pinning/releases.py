"""The release register of the fleet: written by the release task's holder, in force once a majority accepted it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from ..quorum_records.core import QuorumRecords
from ..wire.peer_messages import OutgoingMessage
from .limits import PinningLimits
from .messages import MAX_COUNTED_SETS, RegisterAnnouncement, RunCount, RunCountQuery, RunCountReport
from .release_register import ReleaseRegister, unpack_register
from .rollout import first_register, next_register

REGISTER_KEY = 1  # key of the register's record in its group


def ignore_change(text: str) -> None:
    """Ignore a change of releases: the default `on_change`."""


@dataclass
class RunCounts:
    """The pending query for run counts and the replies to it.

    `runs_by_replica` maps a replica to its number of live runs per release set; `register_by_replica` maps it to the
    packed register that it had accepted when it counted.
    """

    round: int = 0
    queried_at_ms: float = float("-inf")
    runs_by_replica: dict[int, dict[int, int]] = field(default_factory=dict)
    register_by_replica: dict[int, int] = field(default_factory=dict)


class ReleaseCoordinator:
    """Performs releases while this controller holds the release task, and follows the announced register otherwise.

    `register` is the latest known register in force. `on_change` receives a text when the register changes or when
    something blocks a release.
    """

    def __init__(
        self,
        member: int,
        peers: tuple[int, ...],
        incarnation: int,
        records: QuorumRecords,
        group: int,
        limits: PinningLimits,
        on_change: Callable[[str], None] = ignore_change,
    ) -> None:
        self.member = member
        self.peers = peers
        self.incarnation = incarnation
        self.records = records
        self.group = group
        self.limits = limits
        self.on_change = on_change
        self.register: ReleaseRegister | None = None
        self.run_counts = RunCounts()
        self.announced_at_ms = float("-inf")
        self.obstacle = ""  # what blocks the wanted release, as last passed to `on_change`

    def accepted_register(self) -> ReleaseRegister | None:
        """Return the register accepted by this replica, in force or not; it decides which runs the replica accepts."""
        record = self.records.replica.groups.get(self.group, {}).get(REGISTER_KEY)
        return unpack_register(record.value) if record else None

    def may_accept(self, release_set: int, is_new_run: bool) -> bool:
        """Return whether this replica may accept the record of a run with that release set."""
        register = self.accepted_register()
        return register is not None and release_set in (register.open_sets if is_new_run else register.live_sets)

    def tick(
        self, now_ms: float, wanted_set: int, configured_sets: Collection[int], capacities: Mapping[int, float]
    ) -> list[OutgoingMessage]:
        """Advance the release if this controller holds the task, and return the messages to send."""
        proposer = self.records.proposers.get(self.group)
        if proposer is None or not proposer.is_ready or proposer.superseded_by:
            self.run_counts = RunCounts()
            return []
        proposer.decided_keys.clear()
        record = proposer.get(REGISTER_KEY)
        if record is None:
            if wanted_set in configured_sets:
                proposer.write(now_ms, REGISTER_KEY, first_register(wanted_set).pack(), now_ms)
            return []
        if not proposer.confirm(now_ms, REGISTER_KEY):
            return []
        register = unpack_register(record.value)
        if register is None:
            return []
        messages = self._announce(now_ms, register)
        unused_sets = [number for number in register.closed_sets if self.is_unused(record.value, number)]
        if register.closed_sets and now_ms - self.run_counts.queried_at_ms > self.limits.announce_interval_ms:
            messages += self._query_run_counts(now_ms)
        decision = next_register(register, wanted_set, configured_sets, capacities, unused_sets)
        if decision.register is None:
            self._report_obstacle(decision.reason)
        else:
            self.on_change(decision.reason)
            self.obstacle = ""
            self.run_counts = RunCounts()
            proposer.write(now_ms, REGISTER_KEY, decision.register.pack(), record.created_at_ms, is_initial=False)
        return messages

    def _report_obstacle(self, obstacle: str) -> None:
        """Report once what blocks a release; "" if nothing does."""
        if obstacle not in ("", self.obstacle):
            self.on_change(obstacle)
        self.obstacle = obstacle

    def _announce(self, now_ms: float, register: ReleaseRegister) -> list[OutgoingMessage]:
        """Return announcements of the register in force: when it is new, and once per announce interval."""
        is_new = self.register is None or register.version > self.register.version
        if not is_new and now_ms - self.announced_at_ms < self.limits.announce_interval_ms:
            return []
        self.register = register
        self.announced_at_ms = now_ms
        announcement = RegisterAnnouncement(self.incarnation, 0, register.pack())
        return [OutgoingMessage(peer, announcement) for peer in self.peers]

    def on_announcement(self, message: RegisterAnnouncement) -> None:
        """Adopt the announced register if it is newer than the known one."""
        register = unpack_register(message.packed_register)
        if register and (self.register is None or register.version > self.register.version):
            self.register = register

    def _query_run_counts(self, now_ms: float) -> list[OutgoingMessage]:
        """Start a new query for run counts; the local replica is counted at once."""
        self.run_counts = RunCounts(next(self.records.rounds), now_ms)
        query = RunCountQuery(self.incarnation, self.run_counts.round)
        if self.records.has_replica:
            self.on_run_count_report(self.member, self.on_run_count_query(query))
        return [OutgoingMessage(replica, query) for replica in self.records.replica_ids if replica != self.member]

    def on_run_count_query(self, query: RunCountQuery) -> RunCountReport:
        """Return the number of live runs of this replica per release set.

        The report is empty while the replica recovers and when there are more sets than fit into it, because a set that
        is missing from a report would count as unused.
        """
        record = self.records.replica.groups.get(self.group, {}).get(REGISTER_KEY)
        counts = sorted(self.records.replica.value_counts.items(), key=lambda count: (-count[1], count[0]))
        if record is None or not self.records.recovery.is_ready or len(counts) > MAX_COUNTED_SETS:
            return RunCountReport(query.incarnation, query.round)
        return RunCountReport(query.incarnation, query.round, record.value, [RunCount(*count) for count in counts])

    def on_run_count_report(self, replica: int, report: RunCountReport) -> None:
        """Record the report of a replica if it answers the pending query."""
        is_answer = report.incarnation == self.incarnation and report.round == self.run_counts.round
        if is_answer and replica in self.records.replica_ids:
            self.run_counts.runs_by_replica[replica] = dict(report.run_counts)
            self.run_counts.register_by_replica[replica] = report.packed_register

    def is_unused(self, packed_register: int, release_set: int) -> bool:
        """Return whether no run has that closed release set.

        This is the case if a majority of replicas have accepted the register that closed the set, so that they accept
        no new run of it, and none of these replicas has a live run of it.
        """
        counts = self.run_counts
        replicas = [replica for replica, packed in counts.register_by_replica.items() if packed == packed_register]
        if len(replicas) <= len(self.records.replica_ids) // 2:
            return False
        return not any(counts.runs_by_replica[replica].get(release_set) for replica in replicas)
