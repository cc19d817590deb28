"""Handing over to a new process, and taking over from an old one. `handover` drives it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path

from ..assignment import Assigner
from ..snapshot.assigner_state import StoredHostEntry
from ..snapshot.assigner_state import load as load_assigner
from ..snapshot.rankings import StoredRanking, dump_rankings, load_rankings
from ..store import StoreError, StoreLockedError
from ..telemetry import log
from ..upgrade.pipe import peer_credentials
from .handover_sender import HandoverSender, HandoverSource, handover_obstacle, successor_command
from .handover_state import HandoverState, restore_handover
from .recovery import StateMismatchError, boot_id, check_state
from .task_service import UPGRADE

FLUSH = 300.0  # ms that a link may take to send what was written before a handover
RANKED = 300  # lists of marks made ready for a handover at a time: a few milliseconds


class Passing(HandoverSource):
    """Nothing is said by two processes at once: what was paused goes on only once the other is gone."""

    def can_take(self, h: HandoverState) -> None:
        """Whether this process can go on from there. Raises `Unfit`."""
        check_state(h.controller, self.config.steward.number, self.settings, boot_id(), h.controller.start_number + 1)
        try:
            self.loaded = load_assigner(self.settings, h.controller.assigner)
        except (ValueError, TypeError) as fault:
            raise StateMismatchError(str(fault)) from None

    def take_over(self, h: HandoverState, now: float, ranked: Sequence[StoredRanking]) -> None:
        v = self.view
        v.version, v.entries = h.host_list_version, {e.host: e for e in map(StoredHostEntry.entry, h.host_entries)}
        v.addresses, v.starts, v.known = dict(h.host_addresses), dict(h.host_starts), set(h.known_hosts)
        v.origins = {(host, started): since for host, started, since in h.controller.host_origins}
        self.engine.publisher.addresses = v.addresses
        restore_handover(self.engine, h, self.channel, self.joins, now, self.loaded)
        if self.loaded:
            load_rankings(self.loaded.rendezvous, ranked)
        self.loaded = None
        self.listed, self.factors = True, dict(h.load_factors)
        self.metrics.lowered_weights.set(len(self.factors))

    async def pause(self) -> None:
        """Say nothing and hear nothing from here on; what was written has left, or its link ends."""
        self.paused, self.paused_at = True, self.clock()
        for handle in (self.timer, self.pump_timer, self.admitting):
            if handle:
                handle.cancel()
        self.timer, self.timer_at = None, float("inf")
        self.listener.suspend()
        if self.feed:
            self.feed.hold()
        if self.peers:
            self.peers.suspend()
        for output in self.engine.publish(False):
            self.carry_out(self.clock(), output)
        for link in self.links:
            if link.transport:
                link.transport.pause_reading()
        end = self.clock() + FLUSH
        while (full := [x for x in self.links if x.unsent_bytes]) and self.clock() < end:
            await asyncio.sleep(0.001)
        for link in full:
            link.close("not-reading", "")

    async def ranked(self) -> list[StoredRanking]:
        """The module's lists of marks, a few slices at a time: this process is at work."""
        module = self.engine.assigner
        if not isinstance(module, Assigner):
            return []
        found, slices = list[StoredRanking](), list(module.rendezvous.rankings)
        for k in range(0, len(slices), RANKED):
            found += dump_rankings(module.rendezvous, slices[k : k + RANKED])
            await asyncio.sleep(0.001)
        return found

    def let_go(self) -> None:
        """The store is for another process now."""
        self.keep_roster()
        self.store.close()
        self.store_shut = True
        if self.cluster:
            self.cluster.release_files()

    def take_back(self) -> None:
        """Nothing came of the handover. Raises `StoreLockedError` if the store is another's; one that cannot be
        opened, as on a full disk, is tried again later, and tables go out unsaved until then."""
        if not self.store_shut:
            self.resume()
            return
        if self.cluster:
            self.cluster.reopen_files()
        try:
            life = self.store.open()
        except StoreLockedError:
            raise
        except StoreError as fault:
            log.error("the store cannot be opened again; tables go out unsaved", why=str(fault))
            self.store_failed(self.clock(), str(fault), 1)
            self.resume(True)  # nobody can say what the new process did
            return
        spoke = self.reopened(life)
        if spoke:
            # The new one had the store, and may have sent and kept orders before it was ended.
            log.warning("the new process had begun to speak; tables are read again", life=life.start_number)
            if self.recorder:
                log.error("the recording ends here", why="the new process may have written to it")
                self.recorder.close()
                self.recorder = None
            self.engine.reconcile(self.clock(), life)
        self.resume(spoke)
        self.greet_all()

    def resume(self, anew: bool = False) -> None:
        """Nothing came of the handover: all goes on. anew: forwarders may have heard another; all read again."""
        self.paused = False
        if self.feed:
            self.feed.resume(anew)
        if self.peers:
            self.peers.resume()
        if anew:
            for link in [x for x in self.links if x.is_joined and not x.is_closed]:
                link.is_joined = False
                self.join(link)
        self.listener.resume()
        for link in list(self.links):
            if link.transport and not link.is_closed:
                link.transport.resume_reading()
        self.admit()
        self.pump()
        self.wake()

    async def upgrade(self, command: list[str] | None = None) -> str:
        """Hand over to a new process; why nothing came of it, or "" once it speaks."""
        if self.giving:
            return "a handover is under way"
        if why := handover_obstacle(self):
            return why
        self.giving = True
        begun = self.clock()
        try:
            command = command or successor_command(str(self.path))
            log.info("handing over", command=" ".join(command))
            giver = HandoverSender(self, command, self.config.steward.upgrade_within_ms)
            why = await giver.run()
            self.successor = giver.process.pid if giver.process else 0
        finally:
            self.giving = False
        if why:
            log.error("handover came to nothing; this process carries on", why=why)
        else:
            now = self.clock()
            log.info("handed over", ms=round(now - begun), silent_ms=round(now - self.paused_at, 1))
        return why

    async def open_control(self, path: str) -> None:
        """The socket that `corallanding upgrade` speaks to: this user's only. Raises OSError."""
        if Path(path).is_socket():
            Path(path).unlink()  # of the process before this one
        elif Path(path).exists():
            raise OSError(f"steward.control: {path} is there, and is no socket")
        self.control = await asyncio.start_unix_server(self.controlled, path)
        os.chmod(path, 0o600)

    async def turn_to_upgrade(self) -> float:
        """One steward of the fleet at a time, where `task "upgrade"` says so: ms that it waited, below 0 if in vain."""
        tasks, begun = self.cluster.tasks if self.cluster else None, self.clock()
        if tasks is None or UPGRADE not in tasks.core.tasks.by_name:
            return 0.0
        while not tasks.begin_act_on(UPGRADE):
            if self.clock() - begun > self.config.tasks.wait_most_ms or self.cluster is None:
                return -1.0
            await asyncio.sleep(0.02)
        return max(1.0, self.clock() - begun)

    async def controlled(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            _, uid = peer_credentials(writer.get_extra_info("socket"))
            words = (await asyncio.wait_for(reader.readline(), 2.0)).decode("utf-8", "replace").split("\0")
            if uid != os.getuid():
                answer = "failed: another user"
            elif words[0].strip() != "upgrade":
                answer = f"failed: {words[0].strip()[:40]!r} is not known here"
            else:
                waited = await self.turn_to_upgrade()
                why = await self.upgrade([w.strip() for w in words[1:]] or None) if waited >= 0 else "no turn came"
                after = f" after {waited / 1000.0:.1f} s for its turn" if waited > 0 else ""
                answer = f"failed: {why}" if why else f"ok{after}: handed over to process {self.successor}"
                if self.cluster and self.cluster.tasks:
                    self.cluster.tasks.release_task(UPGRADE)
            writer.write(answer.encode() + b"\n")
            await writer.drain()
        except (OSError, TimeoutError):
            pass
        finally:
            writer.close()
