"""Links of forwarders: who joins and at what pace, what is sent to whom, silence noticed."""

from __future__ import annotations

import asyncio
import socket

from .. import interface as api
from ..telemetry import log
from ..wire import frames
from .acceptor import Listener
from .components import Parts
from .proxy_protocol import ProxyConnection


class Joining(Parts):
    """Sits between the sockets, the channel and the engine."""

    def make_listener(self, host: str, port: int, given: socket.socket | None) -> Listener:
        rate = self.config.forwarders.accepts_per_s
        said = lambda why: self.rate_limited_log.warn("link not taken", why=why)  # noqa: E731
        return Listener(host, port, 1024, rate, lambda: ProxyConnection(self), said, given)

    def pump(self) -> None:
        """Send what the channel lets go by now, and come again when it lets go more."""
        if self.paused:
            return
        now = self.clock()
        for forwarder, message in self.channel.due(now):
            link = self.forwarders.get(forwarder)
            if link is None:
                continue
            if message.mark >= 0 and not link.link.marked(message.at, message.mark):
                link.close("no-acks", "too many marks are not acked")
                continue
            link.send(message.frame)
        m = self.metrics
        m.channel_queued_lines.set(self.channel.waiting)
        m.channel_max_queued_lines.set(self.channel.most)
        m.lines_sent.inc(self.channel.lines_sent)
        m.messages_sent.inc(self.channel.messages_sent)
        m.orders_overtaken.inc(self.channel.overtaken)
        self.channel.lines_sent = self.channel.messages_sent = self.channel.overtaken = 0
        if self.pump_timer:
            self.pump_timer.cancel()
            self.pump_timer = None
        at = self.channel.next_at(now)
        if at is not None and self.stopped and not self.stopped.done():
            loop = asyncio.get_running_loop()
            self.pump_timer = loop.call_later(max(0.0005, (at - now) / 1000.0), self.pump)

    def frame(self, link: ProxyConnection, frame: frames.Frame) -> None:
        now = self.clock()
        match frame:
            case frames.Hello():
                self.hello(link, frame)
            case frames.Ack() if link.is_joined:
                # The link has checked it and knows since when the mark was out.
                number, at = link.link.acks.popleft()
                self.engine.add_event(now, api.VersionAcked(link.proxy, number, now - at))
                self.metrics.ack_seconds.observe((now - at) / 1000.0)
            case frames.Sums() if link.is_joined:
                self.engine.on_usage_report(now, link.proxy, frame)
            case frames.Read():
                link.is_joined = False
                self.joins.request(now, link.proxy)
                self.admit()
            case frames.Held():
                if changed := self.engine.on_recalled_tables(now, frame):
                    log.warning("tables recalled", forwarder=link.proxy, seq=frame.seq, slices=len(changed))
                self.join(link)
            case frames.Bye():
                link.close("bye")
            case _ if link.is_joined and self.cluster:
                self.cluster.on_proxy_frame(link.proxy, frame)
        self.wake()

    def takes(self, link: ProxyConnection, takes: bool) -> None:
        """A forwarder's socket takes no more for now, or takes more again."""
        if link.is_joined and self.forwarders.get(link.proxy) is link:
            self.channel.block(link.proxy, not takes)
            if takes:
                self.pump()

    def hello(self, link: ProxyConnection, hello: frames.Hello) -> None:
        if hello.zone >= len(self.config.zones):
            link.close("malformed", f"zone {hello.zone}: there are {len(self.config.zones)}")
            return
        if hello.forwarder >= self.config.forwarders.most:
            link.close("full", f"forwarder {hello.forwarder}: numbers end at {self.config.forwarders.most - 1}")
            return
        former = self.forwarders.get(hello.forwarder)
        if former and former.link.hello and former.link.hello.session != hello.session:
            # Two processes under one number: the one at work stays; silence takes it away soon enough.
            self.rate_limited_log.warn("forwarder number in use", forwarder=hello.forwarder)
            link.close("number-in-use", "another process holds this number")
            return
        if former:
            former.close("superseded", "the same forwarder joined again")
        self.forwarders[hello.forwarder] = link
        self.strangers.pop(link, None)
        self.joins.request(self.clock(), hello.forwarder)
        self.admit()

    def admit(self) -> None:
        """Joins are let in at the pace of the settings: each reads all tables."""
        if self.paused:
            return
        now = self.clock()
        for forwarder in self.joins.admit_due(now):
            if (link := self.forwarders.get(forwarder)) and link.link.hello and not link.is_joined:
                self.welcome(link, link.link.hello)
        if self.admitting:
            self.admitting.cancel()
            self.admitting = None
        if (at := self.joins.next_at(now)) is not None and self.stopped and not self.stopped.done():
            wait = max(0.001, (at - now) / 1000.0)
            self.admitting = asyncio.get_running_loop().call_later(wait, self.admit)

    def greet(self, link: ProxyConnection) -> None:
        c = self.config
        welcome = frames.Welcome(
            frames.VERSION,
            c.steward.number,
            self.engine.start_number,
            c.forwarders.beat_ms,
            c.forwarders.silence_ms,
            c.reports.every_ms,
            self.settings.slice_count,
        )
        link.send(frames.encode(welcome))

    def greet_all(self) -> None:
        """The store's life has changed under links that stand."""
        for link in [x for x in self.links if x.is_joined and not x.is_closed]:
            self.greet(link)

    def welcome(self, link: ProxyConnection, hello: frames.Hello) -> None:
        self.greet(link)
        if self.engine.needs_recall(self.clock(), hello):
            link.link.recalled = True
            link.send(frames.encode(frames.Recall()))
            wait = self.config.forwarders.beat_ms / 1000.0
            asyncio.get_running_loop().call_later(wait, self.join, link)
        else:
            self.join(link)

    def join(self, link: ProxyConnection) -> None:
        """The forwarder gets its tables, and counts as joined from here on."""
        hello = link.link.hello
        if link.is_closed or link.is_joined or hello is None or self.forwarders.get(link.proxy) is not link:
            return
        now = self.clock()
        link.is_joined = True
        link.link.marks.clear()
        self.channel.join(link.proxy)
        self.channel.block(link.proxy, link.is_write_paused)
        link.send(self.engine.on_proxy_joined(now, hello))
        self.metrics.table_reads.inc()
        self.metrics.proxies.set(len(self.engine.proxy_zones))
        log.info("forwarder joined", forwarder=link.proxy, zone=hello.zone, fresh=hello.fresh)
        if self.cluster:
            self.cluster.on_proxy_joined(link.proxy)
        self.wake()

    def gone(self, link: ProxyConnection) -> None:
        """A link is over: its forwarder has left, unless a later link of its has taken the place."""
        self.links.pop(link, None)
        self.strangers.pop(link, None)
        f = link.proxy
        if self.forwarders.get(f) is link:
            del self.forwarders[f]
            self.joins.cancel(f)
            self.channel.leave(f)
            self.engine.on_proxy_left(self.clock(), f)
            self.metrics.proxies.set(len(self.engine.proxy_zones))
            log.info("forwarder left", forwarder=f)
            if self.cluster:
                self.cluster.on_proxy_left(f)
            self.wake()

    def watch_links(self) -> None:
        """Beats out, silence noticed; a quarter of the beat at a time."""
        if self.stopped is None or self.stopped.done():
            return
        now, beat = self.clock(), self.config.forwarders.beat_ms
        late = max(0.0, now - self.watched_at - beat / 4.0)
        self.engine.overload.on_lateness(late)
        self.metrics.loop_lag_seconds.observe(late / 1000.0)
        self.metrics.deferred_turns.set(self.engine.overload.delayed_timers)
        self.watched_at = now
        if self.engine.overload.is_overloaded != self.strained:
            self.strained = not self.strained
            o = self.engine.overload
            log.warning(
                "late: ordinary moves wait" if self.strained else "in time again",
                lag_ms=round(o.lateness_ms, 1),
                busy=round(o.busy_share, 2),
            )
        data = frames.encode(frames.Beat(now))
        for link in () if self.paused else list(self.links):
            if why := link.link.overdue(now):
                self.rate_limited_log.warn("link closed", forwarder=link.proxy, why=why)
                link.close(why.replace(" ", "-"), why)
            elif link.is_joined and now - link.heartbeat_sent_at >= beat:
                link.heartbeat_sent_at = now
                link.send(data)
        if self.roster_dirty and not self.paused:
            self.keep_roster()
        asyncio.get_running_loop().call_later(beat / 4000.0, self.watch_links)
