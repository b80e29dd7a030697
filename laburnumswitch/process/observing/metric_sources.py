"""Definitions of the entry daemon's metrics: their names, and how their values are read.

``docs/operators/metrics.md`` describes each metric. Label values are bounded: services, outcomes
and failure tags.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.process.observing.metrics import Sample
from laburnumswitch.process.observing.request_counts import RequestCounts

REQUEST_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0)
STORE_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class TaskStats(NamedTuple):
    """Tasks of the shards that this entry owns.

    ``urgent_wait_s`` is the longest time that an urgent job or a service has waited for a start.
    """

    pending: int = 0
    running: int = 0
    urgent_wait_s: float = 0.0


class ServiceLoad(Protocol):
    """Queued requests and requests in flight of one service."""

    queue: object
    in_flight: int


class EntryMetricReaders(NamedTuple):
    """Callables that return the current values of an entry's gauges and counters.

    ``control_bytes`` returns the bytes exchanged with peers, ``live_entries`` the number of entries
    with a recent heartbeat, this one included.
    """

    is_ready: Callable[[], bool]
    configuration_version: Callable[[], int]
    shards_owned: Callable[[], int]
    live_entries: Callable[[], int]
    events_lost: Callable[[], int]
    control_bytes: Callable[[], int]
    heartbeats_missed: Callable[[], int]
    tasks: Callable[[], TaskStats]


def add_request_metrics(
    metrics: Metrics,
    counts: RequestCounts,
    state_by_service: Mapping[str, ServiceLoad],
    retries_refused: Callable[[], int],
) -> None:
    """Register the metrics of the request path.

    Sends and retries are counted when a request is written to an upstream, shed requests when they
    are rejected before that, and replays when a request with a repeated idempotency key gets the
    stored answer.
    """
    metrics.add_counters(
        "laburnumswitch_requests_total",
        "Callers' requests, by service and outcome.",
        lambda: [
            Sample({"service": service, "outcome": outcome}, number)
            for (service, outcome), number in counts.by_outcome.items()
        ],
    )
    for name, help_text, read in (
        ("sends", "Requests written to an upstream.", lambda: counts.sends),
        ("retries", "Requests written again.", lambda: counts.retries),
        ("retries_refused", "Repeats that the retry budget refused.", retries_refused),
        ("hedges", "Slow reads written to a second upstream.", lambda: counts.hedges),
        ("shed", "Requests shed before they were written.", lambda: counts.shed),
        ("replayed", "Orders answered with the answer kept.", lambda: counts.replayed),
    ):
        metrics.add_counter(f"laburnumswitch_{name}_total", help_text, read)
    metrics.add_gauges(
        "laburnumswitch_queue_length",
        "Requests that wait for a slot, by service.",
        lambda: _samples_by_service(state_by_service, lambda state: len(state.queue)),
    )
    metrics.add_gauges(
        "laburnumswitch_requests_in_flight",
        "Requests at upstreams, by service.",
        lambda: _samples_by_service(state_by_service, lambda state: state.in_flight),
    )
    seconds = metrics.add_histogram(
        "laburnumswitch_request_seconds",
        "From a request's first byte to the outcome, by service.",
        REQUEST_BUCKETS_S,
    )
    counts.observe_seconds = lambda service, taken_s: seconds.add({"service": service}, taken_s)


def add_entry_metrics(metrics: Metrics, readers: EntryMetricReaders) -> None:
    """Register the metrics of peers, shards, tasks, configuration and readiness."""
    for name, help_text, read in (
        ("control_bytes", "Bytes exchanged for control.", readers.control_bytes),
        ("events_lost", "Events dropped before they were stored.", readers.events_lost),
        ("heartbeats_missed", "Heartbeats not answered by a peer.", readers.heartbeats_missed),
        ("evictions", "Runs ended by eviction.", lambda: metrics.run_ends_by_how["evicted"]),
        (
            "shard_takeovers",
            "Shards taken over.",
            lambda: metrics.events_by_kind["shard_taken_over"],
        ),
    ):
        metrics.add_counter(f"laburnumswitch_{name}_total", help_text, read)
    for name, help_text, read in (
        ("ready", "1 while the balancer may send callers here.", readers.is_ready),
        (
            "configuration_version",
            "Version of the configuration in force.",
            readers.configuration_version,
        ),
        ("shards_owned", "Shards owned.", readers.shards_owned),
        ("live_entries", "Entries heard, this one included.", readers.live_entries),
        ("tasks_pending", "Tasks that wait in owned shards.", lambda: readers.tasks().pending),
        ("tasks_running", "Runs in owned shards.", lambda: readers.tasks().running),
        (
            "oldest_pending_urgent_seconds",
            "How long the urgent job or service that waits longest has had no start.",
            lambda: readers.tasks().urgent_wait_s,
        ),
    ):
        metrics.add_gauge(f"laburnumswitch_{name}", help_text, read)


def add_table_metrics(metrics: Metrics) -> Callable[[str, str, float], None]:
    """Register metrics of calls to the platform's table.

    :return: callback that records one call.
    """
    calls = metrics.add_direct_counter(
        "laburnumswitch_table_calls_total", "Calls of the platform's table, by call and outcome."
    )
    seconds = metrics.add_histogram(
        "laburnumswitch_table_call_seconds",
        "Seconds of calls of the platform's table, by call.",
        STORE_BUCKETS_S,
    )

    def observe_call(call: str, outcome: str, taken_s: float) -> None:
        calls.inc({"call": call, "outcome": outcome})
        seconds.add({"call": call}, taken_s)

    return observe_call


def add_commit_metrics(metrics: Metrics) -> Callable[[str, float], None]:
    """Register metrics of shard commits; a duration includes the resolution of a lost answer.

    :return: callback that records one commit.
    """
    commits = metrics.add_direct_counter(
        "laburnumswitch_shard_commits_total", "Commits of batches by owned shards, by outcome."
    )
    seconds = metrics.add_histogram(
        "laburnumswitch_shard_commit_seconds",
        "Seconds until a batch of a shard was decided.",
        STORE_BUCKETS_S,
    )

    def observe_commit(outcome: str, taken_s: float) -> None:
        commits.inc({"outcome": outcome})
        seconds.add({}, taken_s)

    return observe_commit


def _samples_by_service(
    state_by_service: Mapping[str, ServiceLoad], read: Callable[[ServiceLoad], float]
) -> Iterable[Sample]:
    return [Sample({"service": name}, read(state)) for name, state in state_by_service.items()]
