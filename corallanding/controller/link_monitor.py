"""Monitors the links of proxies: sends heartbeats, closes silent links, measures the lag of the event loop."""

from __future__ import annotations

import asyncio

from ..telemetry import log
from ..wire import frames
from .close_codes import CloseCode
from .context import Context
from .engine import Engine
from .host_sources import HostSources
from .link_registry import LinkRegistry

CHECKS_PER_HEARTBEAT = 4.0


class LinkMonitor:
    """Runs several checks per heartbeat interval; also saves the host list when it has changed."""

    def __init__(self, context: Context, engine: Engine, registry: LinkRegistry, host_sources: HostSources) -> None:
        self._context = context
        self._engine = engine
        self._registry = registry
        self._host_sources = host_sources
        self._checked_at_ms = 0.0
        self._is_overloaded = False  # overload state as last logged

    def start(self) -> None:
        """Start the periodic checks."""
        self._checked_at_ms = self._context.clock() - self._interval_ms
        self._check()

    @property
    def _interval_ms(self) -> float:
        return self._context.config.forwarders.beat_ms / CHECKS_PER_HEARTBEAT

    def _check(self) -> None:
        if not self._context.lifecycle.is_running:
            return
        now_ms = self._context.clock()
        self._measure_lag(now_ms)
        self._log_overload()
        if not self._context.lifecycle.is_paused:
            self._check_links(now_ms)
            if self._host_sources.is_unsaved:
                self._host_sources.save()
        asyncio.get_running_loop().call_later(self._interval_ms / 1000.0, self._check)

    def _measure_lag(self, now_ms: float) -> None:
        lag_ms = max(0.0, now_ms - self._checked_at_ms - self._interval_ms)
        self._checked_at_ms = now_ms
        self._engine.overload.on_lateness(lag_ms)
        self._context.metrics.loop_lag_seconds.observe(lag_ms / 1000.0)
        self._context.metrics.deferred_turns.set(self._engine.overload.delayed_timers)

    def _log_overload(self) -> None:
        overload = self._engine.overload
        if overload.is_overloaded == self._is_overloaded:
            return
        self._is_overloaded = overload.is_overloaded
        log.warning(
            "overloaded: ordinary moves are delayed" if self._is_overloaded else "overload ended",
            lag_ms=round(overload.lateness_ms, 1),
            busy=round(overload.busy_share, 2),
        )

    def _check_links(self, now_ms: float) -> None:
        heartbeat_interval_ms = self._context.config.forwarders.beat_ms
        heartbeat = frames.encode(frames.Heartbeat(now_ms))
        for link in list(self._registry.links):
            if why := link.link.close_reason(now_ms):
                self._context.rate_limited_log.warn("link closed", proxy=link.proxy, why=why)
                link.close(CloseCode(why.replace(" ", "-")), why)
            elif link.is_joined and now_ms - link.heartbeat_sent_at >= heartbeat_interval_ms:
                link.heartbeat_sent_at = now_ms
                link.send(heartbeat)
