"""Metrics of one controller, in a separate registry. Times are in seconds, as the exposition format requires.

Names and labels of metrics are an interface to the users' dashboards; names of the attributes here are internal.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

PREFIX = "corallanding_"
BUCKETS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    """All metrics of one controller; each is updated at the place of the event that it counts."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._add_decisions()
        self._add_proxies()
        self._add_store()
        self._add_hosts()
        self._add_cluster()
        self._add_pinning_and_jobs()
        self._add_load_reports()

    def exposition(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def _histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(PREFIX + name, help_text, registry=self.registry, buckets=BUCKETS_S)

    def _gauge(self, name: str, help_text: str, *labels: str) -> Gauge:
        return Gauge(PREFIX + name, help_text, labels, registry=self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(PREFIX + name, help_text, labels, registry=self.registry)

    def _add_decisions(self) -> None:
        self.step_seconds = self._histogram("step_seconds", "Time of one decision step, store included")
        self.step_delay_seconds = self._histogram("step_late_seconds", "Delay of a step that was due")
        self.loop_lag_seconds = self._histogram("loop_lag_seconds", "Delay of the event loop")
        self.deferred_turns = self._gauge(
            "turns_put_off", "Ordinary steps deferred while the controller was overloaded"
        )
        self.ack_seconds = self._histogram("publish_to_ack_seconds", "From the publication of a version to its ack")
        self.events = self._counter("events", "Events handed to the assigner", "kind")
        self.actions = self._counter("actions", "Actions of the assigner", "kind")

    def _add_proxies(self) -> None:
        self.proxies = self._gauge("forwarders", "Proxies joined")
        self.links_closed = self._counter("links_closed", "Connections closed, by reason", "reason")
        self.partial_frame_bytes = self._gauge("partial_frame_bytes", "Bytes of incomplete frames, of all connections")
        self.channel_queued_lines = self._gauge("channel_waiting_lines", "Lines in the channel, overheads included")
        self.channel_max_queued_lines = self._gauge(
            "channel_most_lines", "The most lines that ever were in the channel"
        )
        self.lines_sent = self._counter("lines_sent", "Table lines sent")
        self.messages_sent = self._counter("messages_sent", "Messages sent")
        self.orders_overtaken = self._counter("orders_overtaken", "Proxies at which a drain passed queued messages")
        self.table_reads = self._counter("table_reads", "Complete tables sent to joining proxies")
        self.health_checks = self._counter("probes", "Health checks ended, by outcome", "end")

    def _add_store(self) -> None:
        self.store_failures = self._counter("store_faults", "Writes that the store did not take")
        self.store_writable = self._gauge("store_well", "1 while the store takes writes")
        self.unsaved_tables = self._gauge("unsaved_tables", "Tables published and not stored yet")
        self.snapshot_seconds = self._histogram("snapshot_seconds", "Time that a snapshot takes from the event loop")
        self.snapshot_bytes = self._gauge("snapshot_bytes", "Size of the last snapshot")

    def _add_hosts(self) -> None:
        self.host_list_version = self._gauge("roster_version", "Version of the host list")
        self.host_source_failures = self._counter("roster_faults", "Failures of the source of the host list")
        self.rejected_host_entries = self._counter("roster_bad_rows", "Entries of host lists rejected")
        self.hosts_listed = self._gauge("hosts_listed", "Hosts on the list")
        self.hosts_warming_up = self._gauge(
            "hosts_warming_up", "Listed hosts whose process is younger than its warm-up"
        )
        self.max_warming_utilization = self._gauge(
            "warming_load_ratio", "Load counted at a warming host divided by its fair load, the highest of all hosts"
        )
        self.unreported_slices = self._gauge(
            "slices_unreported", "Owned slices without a usage report, whose load is assumed"
        )
        self.dropped_usage_rows = self._gauge("sums_dropped", "Rows of usage reports on unknown hosts or slices")
        self.discarded_orders = self._gauge("orders_discarded", "Actions on slices that this controller does not own")

    def _add_cluster(self) -> None:
        self.dropped_peer_datagrams = self._counter("peer_messages_dropped", "Datagrams of controllers not taken")
        self.controllers_alive = self._gauge("stewards_alive", "Controllers alive, this one among them")
        self.quota_leader = self._gauge("budget_divider", "Number of the leader that grants quota; -1: none is known")
        self.rejected_peer_messages = self._gauge("peer_words_refused", "Messages of controllers rejected")
        self.quota_granted = self._gauge("budget_held", "Quota granted to this controller, over all hosts", "budget")
        self.quota_in_use = self._gauge("budget_in_use", "Quota in use", "budget")
        self.quota_denied = self._counter("budget_refused", "Actions not taken for want of quota", "budget")
        self.tasks_held = self._gauge("tasks_held", "Tasks that this controller holds")
        self.task_fencing_token = self._gauge("task_fence", "The fencing token under which it holds them")
        self.task_changes = self._counter("tasks_changed", "Tasks taken up, given up, lost", "what")

    def _add_pinning_and_jobs(self) -> None:
        self.run_answers = self._counter("runs_told", "Answers to proxies on workflow runs, by answer", "answer")
        self.record_count = self._gauge("records", "Quorum records in this replica")
        self.pending_queries = self._gauge("record_questions", "Queries on quorum records without an answer yet")
        self.routes_without_host = self._gauge("run_routes_without_host", "Slices and versions that no host serves")
        self.jobs = self._counter("jobs", "Jobs that may wait, by what became of them", "operation", "end")
        self.queued_jobs = self._gauge("jobs_waiting", "Jobs that wait here", "operation")
        self.stale_fencing_tokens = self._counter("fences_refused", "Acts of others rejected by their fencing token")

    def _add_load_reports(self) -> None:
        self.load_reports = self._gauge("load_reports", "Load reports so far, by what became of them", "end")
        self.load_report_senders = self._gauge("load_report_senders", "Senders of load reports that are tracked")
        self.lowered_weights = self._gauge("load_factors_below_one", "Hosts whose listed weight is lowered")
