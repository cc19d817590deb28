"""Giving the store and other files to another process, and taking them back."""

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
    """Only one process at a time has the store; this one is paused while it has not."""

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
        """Save what is unsaved and close all files."""
        self._host_sources.save()
        self._persistence.release()
        if self._peers.cluster:
            self._peers.cluster.release_files()

    def take_back(self) -> None:
        """Open the files again after a handover that failed, and go on.

        A store that cannot be opened, as on a full disk, is tried again later; tables are published unsaved until
        then. Raises StoreLockedError if the store is another controller's.
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
            log.error("the store cannot be opened again; tables go out unsaved", why=str(error))
            self._persistence.on_failure(self._context.clock(), str(error), 1)
            self._pause_control.resume(is_stale=True)  # nobody can say what the new process did
            return
        was_used = self._persistence.note_reopened(contents)
        if was_used:
            # The new process had the store, and may have sent and saved orders before it was ended.
            log.warning("the new process had become active; tables are read again", start_number=contents.start_number)
            self._recording.end("the new process may have written to it")
            self._engine.reconcile(self._context.clock(), contents)
        self._pause_control.resume(is_stale=was_used)
        self._proxy_admission.greet_all()
