"""What happens to the hosts, proxies and controllers of a simulated day."""

from __future__ import annotations

from collections.abc import Callable

from corallanding import interface as api

from .controller import Controller
from .day import Day, Host

LIST_PERIOD_MS = 400.0
LISTED_AFTER_MS = 500.0
REJOIN_MS = (200.0, 600.0)


class Disruptions:
    """Schedules disruptions; changes of hosts are published as one list a period."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.clock = day.clock
        self.changed: list[Host] = []
        self.replaced: set[int] = set()  # hosts that drain or have ended for good
        self.clock.every(LIST_PERIOD_MS, self._publish)

    def _publish(self) -> None:
        if self.changed:
            self.day.publish(self.changed)
            self.changed = []

    def zone_hosts(self, zone: int) -> list[Host]:
        """Return the present hosts of a zone."""
        return [host for host in self.day.hosts.values() if host.zone == zone and host.state is api.HostState.UP]

    def lose_zone(self, zone: int, seconds: float, *, is_listed: bool = False) -> None:
        """Let all hosts of a zone die and start again cold; with `is_listed` the list tells of their end."""
        hosts = self.zone_hosts(zone)
        for host in hosts:
            host.is_alive = False
            host.held = 0
            if is_listed:
                host.state = api.HostState.REMOVED
        if is_listed:
            self.changed += hosts

        def restart() -> None:
            returning = [host for host in hosts if host.id not in self.replaced]
            for host in returning:
                host.is_alive = True
                host.state = api.HostState.UP
                host.started_at_ms = self.clock.now_ms
            self.clock.after(LISTED_AFTER_MS, lambda: self.changed.extend(returning))

        self.clock.after(seconds * 1_000.0, restart)

    def list_as_gone(self, hosts: list[Host], seconds: float) -> None:
        """List hosts as gone, and later as they were: only discovery lost sight of them."""
        self._set_state(hosts, api.HostState.REMOVED)

        def restore() -> None:
            self._set_state([host for host in hosts if host.id not in self.replaced], api.HostState.UP)

        self.clock.after(seconds * 1_000.0, restore)

    def take_out(self, hosts: list[Host], away_ms: float) -> None:
        """List the hosts in service among these as draining, and later as up again unless they are replaced."""
        taken = [host for host in hosts if host.state is api.HostState.UP]
        self._set_state(taken, api.HostState.DRAINING)

        def restore() -> None:
            self._set_state([host for host in taken if host.id not in self.replaced], api.HostState.UP)

        self.clock.after(away_ms, restore)

    def _set_state(self, hosts: list[Host], state: api.HostState) -> None:
        for host in hosts:
            host.state = state
        self.changed += hosts

    def replace(self, hosts: list[Host], end_after_ms: float) -> None:
        """Let hosts drain, end them later, and start replacements under new ids."""
        self.replaced.update(host.id for host in hosts)
        self._set_state(hosts, api.HostState.DRAINING)

        def end() -> None:
            for host in hosts:
                host.state = api.HostState.REMOVED
                host.is_alive = False
            self.changed.extend(hosts)
            new = [self.day.new_host(zone=host.zone, started_at_ms=self.clock.now_ms) for host in hosts]
            self.clock.after(LISTED_AFTER_MS, lambda: self.changed.extend(new))

        self.clock.after(end_after_ms, end)

    def deploy(self, hosts: list[Host], step: int, period_ms: float, end_after_ms: float) -> None:
        """Replace hosts in steps."""
        for number, first in enumerate(range(0, len(hosts), step)):
            self.clock.after(number * period_ms, self._replacement(hosts[first : first + step], end_after_ms))

    def _replacement(self, hosts: list[Host], end_after_ms: float) -> Callable[[], None]:
        return lambda: self.replace(hosts, end_after_ms)

    def restart_controller(self, number: int, away_ms: float) -> None:
        """Kill a controller and start it again; the proxies come back soon after."""
        self.day.controllers[number].kill()
        saved = self.day.entries()

        def start() -> None:
            controller = Controller(self.day, number)
            self.day.controllers[number] = controller
            controller.start(saved)
            for proxy in self.day.proxies:
                self.clock.after(self.day.rng.uniform(*REJOIN_MS), self._connection(proxy.number, number))

        self.clock.after(away_ms, start)

    def _connection(self, proxy: int, controller: int) -> Callable[[], None]:
        def connect() -> None:
            if not self.day.proxies[proxy].connections[controller].is_joined:
                self.day.connect(self.day.proxies[proxy], controller)

        return connect

    def break_streams(self, share: float, away_ms: float) -> None:
        """Break the streams of a share of the proxies from all controllers for a while."""
        for proxy in self.day.proxies:
            if self.day.rng.random() < share:
                for controller in range(self.day.site.controllers):
                    self.day.disconnect(proxy, controller)
                    self.clock.after(away_ms, self._connection(proxy.number, controller))
