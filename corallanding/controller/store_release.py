"""Releases the store, host list and record files to a new process, and reopens them if the handover fails."""

from __future__ import annotations

from ..store import StoreError, StoreLockedError
from ..telemetry import log
from .active_recording import ActiveRecording
from .context import Context
from .engine import Engine
from .host_sources import HostSources
from .pause_control import PauseControl
from .peer_services import PeerServices
from .persistence import TablePersistence
from .proxy_admission import ProxyAdmission


class StoreRelease:
    """Closes and reopens the files of this controller during a handover to a new process.

    Only one process at a time has the store open. This process neither sends nor receives while its store is closed.
    """

    def __init__(
        self,
        context: Context,
        engine: Engine,
        pause_control: PauseControl,
        persistence: TablePersistence,
        host_sources: HostSources,
        proxy_admission: ProxyAdmission,
        peers: PeerServices,
        recording: ActiveRecording,
    ) -> None:
        self._context = context
        self._engine = engine
        self._pause_control = pause_control
        self._persistence = persistence
        self._host_sources = host_sources
        self._proxy_admission = proxy_admission
        self._peers = peers
        self._recording = recording

    def release(self) -> None:
        """Save the host list, and close the store and the files of the records. The recording stays open."""
        self._host_sources.save()
        self._persistence.release()
        if self._peers.cluster:
            self._peers.cluster.release_files()

    def reopen_and_resume(self) -> None:
        """Reopen the files after a failed handover, and resume.

        If the store cannot be opened, for instance on a full disk, `TablePersistence` retries with backoff; until then
        tables are published without being stored. Raises StoreLockedError if another process holds the store.
        """
        if not self._persistence.is_released:
            self._pause_control.resume()
            return
        if self._peers.cluster:
            self._peers.cluster.reopen_files()
        try:
            contents = self._persistence.store.open()
        except StoreLockedError:
            raise
        except StoreError as error:
            log.error("the store cannot be reopened; tables are published unsaved", why=str(error))
            self._persistence.on_failure(self._context.clock(), str(error), 1)
            # It is unknown whether the new process has sent tables, so all proxies receive their tables again.
            self._pause_control.resume(is_stale=True)
            return
        was_opened_elsewhere = self._persistence.on_store_reopened(contents)
        if was_opened_elsewhere:
            # Before the new process was killed, it may have sent table changes to proxies and stored them.
            log.warning(
                "the new process was active before it failed; tables are reloaded", start_number=contents.start_number
            )
            self._recording.end("the new process may have written to the recording")
            self._engine.reconcile(self._context.clock(), contents)
        self._pause_control.resume(is_stale=was_opened_elsewhere)
        # Opening the store has increased the start number, also if no other process opened it.
        self._proxy_admission.send_welcome_to_joined()
