"""Membership by probes, suspicion and updates that travel on probes (SWIM, with the local health of Lifeguard).

The views of two controllers need not be equal. They decide whom a controller asks first and with whom it reckons. No
quota and no lease rests on them: a view that is wrong costs time, and never lets two use one right.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..wire.peer_messages import OutgoingMessage
from .config import MembershipConfig
from .messages import Ack, AnyMessage, MemberUpdate, Ping, PingRequest
from .table import CLAIMED_GONE, RECKONED_WITH, Action, IndirectProbe, MemberState, Probe
from .view import MAX_INCARNATION, MembershipView

MAX_SUSPECTS_PINGED = 4  # in one tick: of a cluster that is cut in two, half are suspects
MAX_INDIRECT_PROBES = 64  # for other members at one time
ANNOUNCEMENTS = 8  # members that are told of a start or a planned end; the others learn it from them
GONE_PROBE_CHANCE = 0.25  # of a member that is gone, when its turn comes: two halves find each other again


class Membership:
    """The membership protocol of one controller. All times are in ms by its clock.

    `random_fraction` returns a number from 0 to below 1. Calls return actions in the order in which they are to be
    done.
    """

    def __init__(
        self,
        controller_id: int,
        peer_ids: Iterable[int],
        process_incarnation: int,
        config: MembershipConfig,
        random_fraction: Callable[[], float],
        started_at: float,
    ) -> None:
        self.controller_id = controller_id
        self.process_incarnation = process_incarnation
        self.config = config
        self.random_fraction = random_fraction
        self.view = MembershipView(controller_id, peer_ids, config, started_at)
        self.members = self.view.members
        self.rejected = 0  # messages that were nonsense, too many, or from unknown numbers
        self.sequence = 0
        self.probe: Probe | None = None
        self.probe_order: list[int] = []
        self.indirect_probes: dict[int, IndirectProbe] = {}  # by our sequence number
        self.next_probe_at = started_at
        self.last_tick_at = started_at

    def alive_members(self) -> list[int]:
        """The members that are reckoned with, this controller and suspects among them."""
        return self.view.alive_members()

    def state_of(self, number: int) -> MemberState:
        """The state of a member, or of this controller."""
        return self.view.state_of(number)

    def on_message(self, now: float, sender: int, message: AnyMessage) -> list[Action]:
        """Take a message of a peer, whose address the owner of the socket checked against its number."""
        peer = self.members.get(sender)
        if peer is None or not 0 < message.incarnation < MAX_INCARNATION or not peer.rate_limiter.try_take(now):
            self.rejected += 1
            return []
        is_new_process = peer.process_incarnation != message.process_incarnation
        peer.process_incarnation = message.process_incarnation
        if is_new_process and peer.state in CLAIMED_GONE and message.incarnation <= peer.incarnation:
            # A new process cannot know what was claimed of the one before it: told, it refutes that.
            self.view.queue_update(sender)
        actions: list[Action] = []
        for member, state, incarnation in message.updates:
            actions += self.view.apply_update(now, member, state, incarnation)
        actions += self.view.apply_update(now, sender, MemberState.ALIVE, message.incarnation)
        match message:
            case Ping():
                actions += self._on_ping(sender, message)
            case PingRequest():
                actions += self._on_ping_request(now, sender, message)
            case Ack():
                actions += self._on_ack(now, sender, message)
        return actions

    def _on_ping(self, sender: int, ping: Ping) -> list[Action]:
        if ping.target not in (-1, self.controller_id):
            self.rejected += 1
            return []
        return [self._ack(sender, ping.sequence)]

    def _on_ping_request(self, now: float, sender: int, request: PingRequest) -> list[Action]:
        if request.target not in self.members or len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return []
        self.sequence += 1
        self.indirect_probes[self.sequence] = IndirectProbe(sender, request.sequence, now)
        ping = Ping(self.sequence, self.process_incarnation, self.view.incarnation, [], request.target)
        return [OutgoingMessage(request.target, ping)]

    def _on_ack(self, now: float, sender: int, ack: Ack) -> list[Action]:
        probe = self.probe
        if probe and ack.sequence == probe.sequence and probe.member in (sender, ack.target):
            if not probe.is_indirect:
                self.view.raise_local_health()
            self.probe = None
            return self.view.apply_update(now, probe.member, MemberState.ALIVE, self.members[probe.member].incarnation)
        if indirect := self.indirect_probes.pop(ack.sequence, None):
            return [self._ack(indirect.requester, indirect.sequence, target=sender)]
        return []

    def tick(self, now: float) -> list[Action]:
        """The actions that are due; to be called at least four times in a probe timeout."""
        self._check_for_pause(now)
        interval_ms = self.config.probe_interval_ms
        self.indirect_probes = {
            sequence: probe for sequence, probe in self.indirect_probes.items() if now - probe.started_at < interval_ms
        }
        actions = self._check_suspects(now)
        actions += self._probe_indirectly(now)
        if now >= self.next_probe_at:
            actions += self._end_probe(now)
            actions += self._start_probe(now)
            self.next_probe_at = now + interval_ms * (1 + self.view.local_health)
        return actions

    def _check_for_pause(self, now: float) -> None:
        """If this process did not run for a while, what went unanswered meanwhile proves nothing against others."""
        pause_ms = now - self.last_tick_at
        self.last_tick_at = now
        if pause_ms <= self.config.probe_interval_ms:
            return
        self.view.lower_local_health()
        self.probe = None
        for member in self.members.values():
            member.suspicion_deadline += pause_ms

    def _check_suspects(self, now: float) -> list[Action]:
        """Take suspects for dead whose time is over, and ping the others: they may refute it in time."""
        actions: list[Action] = []
        for number, member in self.members.items():
            if member.state != MemberState.SUSPECT:
                continue
            if now >= member.suspicion_deadline:
                actions += self.view.apply_update(now, number, MemberState.DEAD, member.incarnation)
            elif now - member.pinged_at >= self.config.probe_timeout_ms and len(actions) < MAX_SUSPECTS_PINGED:
                member.pinged_at = now
                self.sequence += 1
                actions.append(self._ping(number, self.sequence))
        return actions

    def _probe_indirectly(self, now: float) -> list[Action]:
        """Ask other members to probe the one that has not answered within the timeout."""
        probe = self.probe
        timeout_ms = self.config.probe_timeout_ms * (1 + self.view.local_health)
        if probe is None or probe.is_indirect or now - probe.started_at < timeout_ms:
            return []
        probe.is_indirect = True
        alive = [n for n, member in self.members.items() if member.state == MemberState.ALIVE and n != probe.member]
        return [
            OutgoingMessage(helper, PingRequest(probe.sequence, *self._header(helper), probe.member))
            for helper in self._sample(alive, self.config.indirect_probe_count)
        ]

    def _end_probe(self, now: float) -> list[Action]:
        """The turn of the present probe is over: a member that did not answer is a suspect."""
        probe = self.probe
        self.probe = None
        if probe is None:
            return []
        member = self.members[probe.member]
        if member.state != MemberState.ALIVE:
            return []
        self.view.lower_local_health()
        return self.view.apply_update(now, probe.member, MemberState.SUSPECT, max(1, member.incarnation))

    def _start_probe(self, now: float) -> list[Action]:
        """Probe the next member, in an order that is drawn anew for each round; members that are gone less often."""
        for _ in range(len(self.members) * 2):
            if not self.probe_order:
                self.probe_order = self._sample(list(self.members), len(self.members))
            number = self.probe_order.pop()
            if self.members[number].state in RECKONED_WITH or self.random_fraction() < GONE_PROBE_CHANCE:
                self.sequence += 1
                self.probe = Probe(number, self.sequence, now)
                return [self._ping(number, self.sequence)]
        return []

    def announce(self) -> list[Action]:
        """Ping a few members at the start, so that this controller is known after one exchange."""
        return [self._ping(number, 0) for number in self._sample(list(self.members), ANNOUNCEMENTS)]

    def leave(self) -> list[Action]:
        """Tell a few members of a planned end."""
        self.view.is_leaving = True
        self.view.queue_update(self.controller_id)
        alive = [n for n, member in self.members.items() if member.state == MemberState.ALIVE]
        return [self._ack(number, 0) for number in self._sample(alive, ANNOUNCEMENTS)]

    def _sample(self, numbers: list[int], count: int) -> list[int]:
        """Up to `count` of the numbers, in random order."""
        rest = list(numbers)
        drawn: list[int] = []
        while rest and len(drawn) < count:
            drawn.append(rest.pop(int(self.random_fraction() * len(rest))))
        return drawn

    def _header(self, receiver: int) -> tuple[int, int, list[MemberUpdate]]:
        """The fields of a message behind its sequence number."""
        return self.process_incarnation, self.view.incarnation, self.view.collect_updates(receiver)

    def _ping(self, member: int, sequence: int) -> OutgoingMessage:
        return OutgoingMessage(member, Ping(sequence, *self._header(member), member))

    def _ack(self, receiver: int, sequence: int, target: int = -1) -> OutgoingMessage:
        return OutgoingMessage(receiver, Ack(sequence, *self._header(receiver), target))
