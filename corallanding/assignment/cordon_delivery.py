"""Tracks which hosts have a cordon order that some joined proxy may lack.

A message reaches only the proxies that are joined when it is published. A proxy whose connection breaks loses the
messages on their way, and joins again with the cordons that it held before, also those of a controller that has been
restarted since. The store holds tables, but no cordons. So an order counts as delivered to a proxy only once that proxy
has acknowledged its message.
"""

from __future__ import annotations

import math

from .. import interface as api
from .pending_versions import UNKNOWN_MESSAGE, PendingVersions
from .state import Host


class CordonDelivery:
    """The last cordon order of each host, by message number, and the hosts whose order has to be published again.

    Message 0 stands for the orders of earlier runs of this controller, which are unknown. `hosts` are all known hosts,
    by id. Invariant: a host is due from the time at which a proxy joins that may lack its last order, until that order
    is published again; so a proxy lacks no order of a message up to the one that it has acknowledged last.
    """

    def __init__(self, hosts: dict[int, Host], pending_versions: PendingVersions) -> None:
        self.hosts = hosts
        self.pending_versions = pending_versions
        self.order_messages: dict[int, int] = {}  # by host id
        self.due_hosts: dict[int, None] = {}  # host ids in the order in which they became due
        self.has_fresh_list = False  # the states of hosts are certain
        # A proxy may hold a cordon of a host that is not known: from an earlier run, or from before it was forgotten.
        self.are_new_hosts_due = False
        # Of the proxies that joined, or may have joined, since the last `update`:
        self.oldest_applied_message: float = math.inf
        self.may_lack_cordons = False

    def on_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Take note of what a proxy may lack; it has been added to the pending versions already."""
        applied_message = self.pending_versions.applied_messages[event.proxy]
        self.oldest_applied_message = min(self.oldest_applied_message, applied_message)
        self.are_new_hosts_due = self.are_new_hosts_due or applied_message == UNKNOWN_MESSAGE
        self.may_lack_cordons = self.may_lack_cordons or event.has_no_tables

    def on_acks_lost(self) -> None:
        """Take note of what the joined proxies may lack: any of them may have joined again unnoticed."""
        applied_messages = self.pending_versions.applied_messages
        joined = [applied_messages[proxy] for proxy in self.pending_versions.unacked_by_proxy]
        self.oldest_applied_message = min([self.oldest_applied_message, *joined])
        self.may_lack_cordons = True

    def needs_lift(self, host: Host) -> bool:
        """Return whether an entry of a usable host is of no use at some proxy until its cordon is lifted there."""
        return self.has_fresh_list and host.id in self.due_hosts and host.is_eligible and not host.is_cordoned

    def on_published(self, host: Host) -> None:
        """Record that the next message carries the state of this host."""
        self.order_messages[host.id] = self.pending_versions.next_message
        self.due_hosts.pop(host.id, None)

    def update(self) -> None:
        """Find the hosts whose last order may be lacking at a proxy that has joined, and hosts that are new."""
        self._add_new_hosts()
        if self.oldest_applied_message < math.inf:
            lacking = [host for host in self.hosts.values() if self._may_be_lacking(host)]
            self.due_hosts.update(dict.fromkeys(host.id for host in lacking))
        self.oldest_applied_message = math.inf
        self.may_lack_cordons = False

    def _add_new_hosts(self) -> None:
        if len(self.order_messages) == len(self.hosts):
            return
        new_hosts = [host_id for host_id in self.hosts if host_id not in self.order_messages]
        self.order_messages.update(dict.fromkeys(new_hosts, 0))
        if self.are_new_hosts_due:
            self.due_hosts.update(dict.fromkeys(new_hosts))

    def _may_be_lacking(self, host: Host) -> bool:
        is_missed = self.order_messages[host.id] > self.oldest_applied_message
        return is_missed or (host.is_cordoned and self.may_lack_cordons)

    def forget(self, hosts: list[Host]) -> None:
        """Stop tracking hosts that are removed from memory."""
        for host in hosts:
            self.due_hosts.pop(host.id, None)
            if self.order_messages.pop(host.id, 0):
                self.are_new_hosts_due = True
