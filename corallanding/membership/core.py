"""Membership by probes, suspicion and updates piggybacked on probes (SWIM, with the local health of Lifeguard).

The views of two controllers may differ. They determine which peers a controller contacts first and considers alive. No
quota or lease relies on them for safety: a wrong view costs time, but never lets two controllers use the same grant.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..wire.peer_messages import OutgoingMessage
from .config import MembershipConfig
from .messages import Ack, AnyMessage, MemberUpdate, Ping, PingRequest
from .table import ALIVE_STATES, REFUTABLE_STATES, Action, IndirectProbe, MemberState, Probe
from .view import MAX_INCARNATION, MembershipView

MAX_SUSPECTS_PINGED = 4  # per tick; in a network partition, half of the cluster may be suspects
MAX_INDIRECT_PROBES = 64  # concurrent probes on behalf of other members
MAX_ANNOUNCEMENT_RECEIVERS = 8  # members notified of a start or planned stop; the others learn it from them
INACTIVE_PROBE_PROBABILITY = 0.25  # per turn of a dead, left or unknown member; reunites partitions


class Membership:
    """The membership protocol of one controller. All times are in ms by its clock.

    `random_fraction` returns a number from 0 to below 1. Calls return actions in the order in which they are to be
    carried out.
    """

    def __init__(
        self,
        controller_id: int,
        peer_ids: Iterable[int],
        process_incarnation: int,
        config: MembershipConfig,
        random_fraction: Callable[[], float],
        started_at_ms: float,
    ) -> None:
        self.controller_id = controller_id
        self.process_incarnation = process_incarnation
        self.config = config
        self.random_fraction = random_fraction
        self.view = MembershipView(controller_id, peer_ids, config, started_at_ms)
        self.members = self.view.members
        self.rejected_count = 0  # messages that were invalid, above the rate limit, or from unknown senders
        self.sequence = 0
        self.probe: Probe | None = None
        self.probe_order: list[int] = []
        self.indirect_probes: dict[int, IndirectProbe] = {}  # own sequence number -> probe
        self.next_probe_at_ms = started_at_ms
        self.last_tick_at_ms = started_at_ms

    def alive_members(self) -> list[int]:
        """Return the members considered alive, including this controller and suspects."""
        return self.view.alive_members()

    def state_of(self, number: int) -> MemberState:
        """Return the state of a member, or of this controller."""
        return self.view.state_of(number)

    def on_message(self, now_ms: float, sender: int, message: AnyMessage) -> list[Action]:
        """Process a message of a peer. The caller has checked the sender's address against its number."""
        peer = self.members.get(sender)
        if peer is None or not 0 < message.incarnation < MAX_INCARNATION or not peer.rate_limiter.try_take(now_ms):
            self.rejected_count += 1
            return []
        is_new_process = peer.process_incarnation != message.process_incarnation
        peer.process_incarnation = message.process_incarnation
        if is_new_process and peer.state in REFUTABLE_STATES and message.incarnation <= peer.incarnation:
            # A new process doesn't know the claims on its predecessor; it refutes them once it receives them.
            self.view.queue_update(sender)
        actions: list[Action] = []
        for member, state, incarnation in message.updates:
            actions += self.view.apply_update(now_ms, member, state, incarnation)
        actions += self.view.apply_update(now_ms, sender, MemberState.ALIVE, message.incarnation)
        match message:
            case Ping():
                actions += self._on_ping(sender, message)
            case PingRequest():
                actions += self._on_ping_request(now_ms, sender, message)
            case Ack():
                actions += self._on_ack(now_ms, sender, message)
        return actions

    def _on_ping(self, sender: int, ping: Ping) -> list[Action]:
        if ping.target not in (-1, self.controller_id):
            self.rejected_count += 1
            return []
        return [self._ack(sender, ping.sequence)]

    def _on_ping_request(self, now_ms: float, sender: int, request: PingRequest) -> list[Action]:
        if request.target not in self.members or len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return []
        self.sequence += 1
        self.indirect_probes[self.sequence] = IndirectProbe(sender, request.sequence, now_ms)
        ping = Ping(self.sequence, self.process_incarnation, self.view.incarnation, [], request.target)
        return [OutgoingMessage(request.target, ping)]

    def _on_ack(self, now_ms: float, sender: int, ack: Ack) -> list[Action]:
        probe = self.probe
        if probe and ack.sequence == probe.sequence and probe.member in (sender, ack.target):
            if not probe.is_indirect:
                self.view.improve_local_health()
            self.probe = None
            return self.view.apply_update(
                now_ms, probe.member, MemberState.ALIVE, self.members[probe.member].incarnation
            )
        if indirect := self.indirect_probes.pop(ack.sequence, None):
            return [self._ack(indirect.requester, indirect.sequence, target=sender)]
        return []

    def tick(self, now_ms: float) -> list[Action]:
        """Return the actions that are due; to be called at least four times per probe timeout."""
        self._check_for_pause(now_ms)
        interval_ms = self.config.probe_interval_ms
        self.indirect_probes = {
            sequence: probe
            for sequence, probe in self.indirect_probes.items()
            if now_ms - probe.started_at_ms < interval_ms
        }
        actions = self._check_suspects(now_ms)
        actions += self._probe_indirectly(now_ms)
        if now_ms >= self.next_probe_at_ms:
            actions += self._end_probe(now_ms)
            actions += self._start_probe(now_ms)
            self.next_probe_at_ms = now_ms + interval_ms * (1 + self.view.local_health)
        return actions

    def _check_for_pause(self, now_ms: float) -> None:
        """Discard the probe and extend suspicions after a pause of this process: missed replies prove nothing."""
        pause_ms = now_ms - self.last_tick_at_ms
        self.last_tick_at_ms = now_ms
        if pause_ms <= self.config.probe_interval_ms:
            return
        self.view.worsen_local_health()
        self.probe = None
        for member in self.members.values():
            member.suspicion_deadline_ms += pause_ms

    def _check_suspects(self, now_ms: float) -> list[Action]:
        """Declare suspects dead after their deadline, and ping the others so that they can refute the suspicion."""
        actions: list[Action] = []
        for number, member in self.members.items():
            if member.state != MemberState.SUSPECT:
                continue
            if now_ms >= member.suspicion_deadline_ms:
                actions += self.view.apply_update(now_ms, number, MemberState.DEAD, member.incarnation)
            elif now_ms - member.pinged_at_ms >= self.config.probe_timeout_ms and len(actions) < MAX_SUSPECTS_PINGED:
                member.pinged_at_ms = now_ms
                self.sequence += 1
                actions.append(self._ping(number, self.sequence))
        return actions

    def _probe_indirectly(self, now_ms: float) -> list[Action]:
        """Request other members to probe the one that has not replied within the timeout."""
        probe = self.probe
        timeout_ms = self.config.probe_timeout_ms * (1 + self.view.local_health)
        if probe is None or probe.is_indirect or now_ms - probe.started_at_ms < timeout_ms:
            return []
        probe.is_indirect = True
        alive_numbers = [
            number
            for number, member in self.members.items()
            if member.state == MemberState.ALIVE and number != probe.member
        ]
        return [
            OutgoingMessage(helper, PingRequest(probe.sequence, *self._header(helper), probe.member))
            for helper in self._sample(alive_numbers, self.config.indirect_probe_count)
        ]

    def _end_probe(self, now_ms: float) -> list[Action]:
        """End the current probe: a member that did not reply becomes a suspect."""
        probe = self.probe
        self.probe = None
        if probe is None:
            return []
        member = self.members[probe.member]
        if member.state != MemberState.ALIVE:
            return []
        self.view.worsen_local_health()
        return self.view.apply_update(now_ms, probe.member, MemberState.SUSPECT, max(1, member.incarnation))

    def _start_probe(self, now_ms: float) -> list[Action]:
        """Probe the next member of a round in random order; members that are not alive are probed less often."""
        for _ in range(len(self.members) * 2):
            if not self.probe_order:
                self.probe_order = self._sample(list(self.members), len(self.members))
            number = self.probe_order.pop()
            if self.members[number].state in ALIVE_STATES or self.random_fraction() < INACTIVE_PROBE_PROBABILITY:
                self.sequence += 1
                self.probe = Probe(number, self.sequence, now_ms)
                return [self._ping(number, self.sequence)]
        return []

    def announce(self) -> list[Action]:
        """Ping a few members at the start, so that they know this controller after one exchange."""
        return [self._ping(number, 0) for number in self._sample(list(self.members), MAX_ANNOUNCEMENT_RECEIVERS)]

    def leave(self) -> list[Action]:
        """Notify a few members that this controller is about to stop as planned."""
        self.view.is_leaving = True
        self.view.queue_update(self.controller_id)
        alive_numbers = [number for number, member in self.members.items() if member.state == MemberState.ALIVE]
        return [self._ack(number, 0) for number in self._sample(alive_numbers, MAX_ANNOUNCEMENT_RECEIVERS)]

    def _sample(self, numbers: list[int], count: int) -> list[int]:
        """Return up to `count` of the numbers, in random order."""
        remaining = list(numbers)
        sample: list[int] = []
        while remaining and len(sample) < count:
            sample.append(remaining.pop(int(self.random_fraction() * len(remaining))))
        return sample

    def _header(self, receiver: int) -> tuple[int, int, list[MemberUpdate]]:
        """Return the fields of a message that follow its sequence number."""
        return self.process_incarnation, self.view.incarnation, self.view.collect_updates(receiver)

    def _ping(self, member: int, sequence: int) -> OutgoingMessage:
        return OutgoingMessage(member, Ping(sequence, *self._header(member), member))

    def _ack(self, receiver: int, sequence: int, target: int = -1) -> OutgoingMessage:
        return OutgoingMessage(receiver, Ack(sequence, *self._header(receiver), target))
