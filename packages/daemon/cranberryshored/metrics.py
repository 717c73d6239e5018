"""Prometheus metrics of the daemon."""

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_SECONDS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)


def _counter(name: str, text: str, *labels: str):
    return attrs.field(
        default=attrs.Factory(
            lambda self: Counter(name, text, labels, registry=self.registry), takes_self=True
        )
    )


def _gauge(name: str, text: str, *labels: str):
    return attrs.field(
        default=attrs.Factory(
            lambda self: Gauge(name, text, labels, registry=self.registry), takes_self=True
        )
    )


def _histogram(name: str, text: str, *labels: str):
    return attrs.field(
        default=attrs.Factory(
            lambda self: Histogram(
                name, text, labels, buckets=LATENCY_BUCKETS_SECONDS, registry=self.registry
            ),
            takes_self=True,
        )
    )


@attrs.define(slots=False)
class Metrics:
    """All metrics of one daemon, described in docs/OPERATIONS.md."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    store_calls: Counter = _counter("cranberryshore_store_calls", "Store calls.", "kind")
    messages: Counter = _counter("cranberryshore_messages", "Messages by kind.", "kind")
    peer_bytes: Counter = _counter("cranberryshore_peer_bytes", "Bytes sent to peers.")
    wasted_messages: Counter = _counter(
        "cranberryshore_wasted_messages", "Wasted messages.", "reason"
    )
    accepted_tasks: Counter = _counter("cranberryshore_accepted_tasks", "Accepted tasks.")
    jobs: Counter = _counter("cranberryshore_jobs", "Settled jobs.", "outcome")
    requests: Counter = _counter("cranberryshore_requests", "Requests.", "outcome")
    refusals: Counter = _counter("cranberryshore_refusals", "Refusals.", "type")
    job_seconds: Histogram = _histogram("cranberryshore_job_seconds", "Response time of jobs.")
    request_seconds: Histogram = _histogram(
        "cranberryshore_request_seconds", "Response time of requests.", "service"
    )
    loop_lag: Histogram = _histogram(
        "cranberryshore_loop_lag_seconds", "How late the event loop runs its timers."
    )
    queued_tasks: Gauge = _gauge("cranberryshore_queued_tasks", "Tasks that wait for room.")
    queued_requests: Gauge = _gauge(
        "cranberryshore_queued_requests", "Requests that wait.", "service"
    )
    free_slots: Gauge = _gauge("cranberryshore_free_slots", "Free assigned slots.", "service")
    config_age: Gauge = _gauge(
        "cranberryshore_configuration_age_seconds", "Time since it was known to be the newest one."
    )
    lost_workers: Counter = _counter(
        "cranberryshore_lost_workers", "Workers lost with runs on them.", "crash"
    )
    judged_losses: Counter = _counter(
        "cranberryshore_judged_losses",
        "Lost workers by what the registrations tell of them.",
        "departure",
    )
    failed_jobs: Counter = _counter(
        "cranberryshore_failed_jobs", "Jobs of a pool that failed, by cause.", "cause"
    )
    cancels: Counter = _counter(
        "cranberryshore_cancels", "Cancels by callers of a pool.", "outcome"
    )
    denied_requests: Counter = _counter(
        "cranberryshore_denied_requests", "Requests without a queue, by answer.", "answer"
    )
    evacuations_revision: Gauge = _gauge(
        "cranberryshore_evacuations_revision", "Store revision of the known evacuations."
    )
    evacuations_age: Gauge = _gauge(
        "cranberryshore_evacuations_age_seconds", "Time since they were known to be the newest."
    )
    evacuated_zones: Gauge = _gauge(
        "cranberryshore_evacuated_zones", "1 for each zone whose evacuation is in force.", "zone"
    )
    revision: Gauge = _gauge("cranberryshore_configuration_revision", "Revision in force.")
    untried_jobs: Counter = _counter(
        "cranberryshore_untried_jobs",
        "Jobs that ended untried after more than a quarter of their target response time.",
        "cause",
    )
    overload_credit: Gauge = _gauge(
        "cranberryshore_overload_credit",
        "Jobs that may be in flight at an overloaded scheduler; -1 if it keeps up.",
    )
    live_peers: Gauge = _gauge("cranberryshore_live_peers", "Live peers of the zone.")
    uneven_workers: Gauge = _gauge(
        "cranberryshore_uneven_workers", "Workers whose different speeds are used.", "service"
    )
    interfering_pairs: Gauge = _gauge(
        "cranberryshore_interfering_pairs", "Pairs of queues that slow each other down."
    )
    open_workers: Gauge = _gauge("cranberryshore_open_workers", "Workers with a session.")
    outdated_registrations: Gauge = _gauge(
        "cranberryshore_outdated_registrations",
        "Held workers without new tasks, since a former process has written their registration.",
    )
    refused_clients: Counter = _counter(
        "cranberryshore_refused_clients",
        "Clients refused because of their input.",
        "cause",
        "address",
    )
    client_connections: Gauge = _gauge(
        "cranberryshore_client_connections", "Connections of HTTP clients.", "address"
    )
    client_input_bytes: Gauge = _gauge(
        "cranberryshore_client_input_bytes", "Memory held or reserved for requests."
    )
