"""Metrics of one steward, in a registry of its own. Times are seconds, as the exposition format wants."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

FINE = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    def __init__(self) -> None:
        r = self.registry = CollectorRegistry()
        p = "corallanding_"
        self.step_seconds = Histogram(p + "step_seconds", "Time of one step, store included", registry=r, buckets=FINE)
        self.step_delay_seconds = Histogram(
            p + "step_late_seconds", "How late a due step began", registry=r, buckets=FINE
        )
        self.loop_lag_seconds = Histogram(p + "loop_lag_seconds", "How late the loop came", registry=r, buckets=FINE)
        self.deferred_turns = Gauge(
            p + "turns_put_off", "Ordinary turns that waited while the steward was late", registry=r
        )
        self.ack_seconds = Histogram(p + "publish_to_ack_seconds", "From order to ack", registry=r, buckets=FINE)
        self.events = Counter(p + "events", "Events handed to the module", ["kind"], registry=r)
        self.actions = Counter(p + "actions", "Actions of the module", ["kind"], registry=r)
        self.proxies = Gauge(p + "forwarders", "Forwarders joined", registry=r)
        self.links_closed = Counter(p + "links_closed", "Links closed, by reason", ["reason"], registry=r)
        self.channel_queued_lines = Gauge(p + "channel_waiting_lines", "Lines waiting, heads included", registry=r)
        self.channel_max_queued_lines = Gauge(p + "channel_most_lines", "The most that ever waited", registry=r)
        self.lines_sent = Counter(p + "lines_sent", "Table lines sent", registry=r)
        self.messages_sent = Counter(p + "messages_sent", "Messages sent", registry=r)
        self.orders_overtaken = Counter(
            p + "orders_overtaken", "Forwarders at which a drain passed what waited", registry=r
        )
        self.table_reads = Counter(p + "table_reads", "Whole tables given to joining forwarders", registry=r)
        self.health_checks = Counter(p + "probes", "Probes ended, by end", ["end"], registry=r)
        self.store_failures = Counter(p + "store_faults", "Writes that the store did not take", registry=r)
        self.store_writable = Gauge(p + "store_well", "1 while the store takes writes", registry=r)
        self.unsaved_tables = Gauge(p + "unsaved_tables", "Tables published and not yet kept", registry=r)
        taken = "Time that a snapshot takes from the loop"
        self.snapshot_seconds = Histogram(p + "snapshot_seconds", taken, registry=r, buckets=FINE)
        self.snapshot_bytes = Gauge(p + "snapshot_bytes", "Size of the last snapshot", registry=r)
        self.host_list_version = Gauge(p + "roster_version", "Version of the list held", registry=r)
        self.host_source_failures = Counter(p + "roster_faults", "Failures of the roster's source", registry=r)
        self.rejected_host_entries = Counter(p + "roster_bad_rows", "Entries of lists left out", registry=r)
        self.hosts_listed = Gauge(p + "hosts_listed", "Hosts on the list", registry=r)
        self.dropped_usage_rows = Gauge(p + "sums_dropped", "Rows of sums on unknown things", registry=r)
        self.discarded_orders = Gauge(p + "orders_discarded", "Orders outside the charge", registry=r)
        self.dropped_peer_datagrams = Counter(
            p + "peer_messages_dropped", "Peer datagrams that were not taken", registry=r
        )
        self.controllers_alive = Gauge(p + "stewards_alive", "Stewards reckoned with, this one among them", registry=r)
        self.quota_leader = Gauge(
            p + "budget_divider", "Number of the steward that divides; -1: none is known", registry=r
        )
        self.rejected_peer_messages = Gauge(p + "peer_words_refused", "Words of peers that cannot be", registry=r)
        self.quota_granted = Gauge(
            p + "budget_held", "Rights that are ours now, over all hosts", ["budget"], registry=r
        )
        self.quota_in_use = Gauge(p + "budget_in_use", "Rights in use", ["budget"], registry=r)
        self.quota_denied = Counter(p + "budget_refused", "Not done for want of a right", ["budget"], registry=r)
        self.tasks_held = Gauge(p + "tasks_held", "Tasks of the fleet that this steward holds", registry=r)
        self.task_fencing_token = Gauge(p + "task_fence", "The fence under which it holds them", registry=r)
        self.task_changes = Counter(p + "tasks_changed", "Tasks taken up, given up, lost", ["what"], registry=r)
        self.run_answers = Counter(p + "runs_told", "Answers to forwarders on runs, by answer", ["answer"], registry=r)
        self.record_count = Gauge(p + "records", "Copies of records of the fleet kept here", registry=r)
        self.pending_queries = Gauge(p + "record_questions", "Asked on records, and no answer yet", registry=r)
        self.routes_without_host = Gauge(
            p + "run_routes_without_host", "Slices and versions that no host serves", registry=r
        )
        self.jobs = Counter(p + "jobs", "Jobs that may wait, by what became of them", ["operation", "end"], registry=r)
        self.queued_jobs = Gauge(p + "jobs_waiting", "Jobs that wait here", ["operation"], registry=r)
        self.stale_fencing_tokens = Counter(p + "fences_refused", "Acts of others behind a later one", registry=r)

        self.load_reports = Gauge(
            p + "load_reports", "Load reports so far, by what became of them", ["end"], registry=r
        )
        self.load_report_senders = Gauge(p + "load_report_senders", "Senders that are kept a slot for", registry=r)
        self.lowered_weights = Gauge(p + "load_factors_below_one", "Hosts whose listed weight is lowered", registry=r)

    def exposition(self) -> bytes:
        return generate_latest(self.registry)
