"""Metrics of the daemon in ``dispatch_entry.py``."""

from collections.abc import Callable
from math import inf

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.client_limits import RefusalCounter
from laburnumswitch.connection.connection_limit import ConnectionLimit
from laburnumswitch.organisation_metrics import register_organisation_metrics
from laburnumswitch.organisation_metrics import register_usage_metrics
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.start_delays import DOWN_BOUNDS_S
from laburnumswitch.process.dispatch.start_delays import DownCount
from laburnumswitch.process.dispatch.start_delays import WaitReason
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.process.observing.metrics import Sample
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.rows.reach import Reach
from laburnumswitch.request.job_server import InFlightCounter
from laburnumswitch.request.refusal_log import RefusalLog


def register_dispatch_metrics(
    metrics: Metrics,
    leadership: Leadership,
    in_flight: InFlightCounter,
    log: DecisionLog,
    worker_connections: ConnectionLimit,
) -> None:
    """Register the metrics of an entry; those of the dispatcher are 0 unless it is the owner."""

    def gauge_reader(read: Callable[[Dispatcher], float]) -> Callable[[], float]:
        return lambda: read(leadership.dispatcher) if leadership.dispatcher else 0.0

    metrics.add_counters(
        "laburnumswitch_caller_answers_total",
        "Answers to callers, by status.",
        lambda: [
            Sample({"status": str(status)}, count)
            for status, count in in_flight.answered_by_status.items()
        ],
    )
    metrics.add_gauge(
        "laburnumswitch_in_flight", "Requests being answered.", lambda: in_flight.count
    )
    metrics.add_gauge(
        "laburnumswitch_is_owner",
        "1 on the owner.",
        lambda: float(leadership.dispatcher is not None),
    )
    metrics.add_counter(
        "laburnumswitch_takeovers_total", "Takeovers.", lambda: leadership.takeovers
    )
    metrics.add_counter(
        "laburnumswitch_log_lines_dropped_total", "Log lines dropped.", lambda: log.dropped
    )
    metrics.add_gauge(
        "laburnumswitch_worker_connections",
        "Open connections to workers.",
        lambda: worker_connections.open_count,
    )
    metrics.add_gauge(
        "laburnumswitch_worker_connections_limit",
        "Largest number of open connections to workers.",
        lambda: worker_connections.max_open,
    )
    metrics.add_counter(
        "laburnumswitch_worker_connections_closed_total",
        "Idle connections to workers closed because of the limit.",
        lambda: worker_connections.closed_idle_count,
    )
    metrics.add_counter(
        "laburnumswitch_worker_connections_refused_total",
        "Connections to workers not opened because all that the limit allows were in use.",
        lambda: worker_connections.refused_count,
    )
    gauges: dict[str, tuple[str, Callable[[Dispatcher], float]]] = {
        "waiting_steps": ("Steps with tasks to start.", lambda d: len(d.ready_step_by_key)),
        "jobs": ("Jobs known.", lambda d: len(d.jobs_by_id)),
        "job_faults": (
            "Unexpected errors for which jobs were set aside.",
            lambda d: d.job_faults.count,
        ),
        "failed_tasks": (
            "Tasks of the owner that began anew after an unexpected error.",
            lambda d: d.counters.failed_tasks,
        ),
        "parked_jobs": (
            "Stored jobs that are not loaded for want of memory.",
            lambda d: len(d.parked_jobs.by_id),
        ),
        "job_bytes": (
            "Estimated memory of the jobs known, in bytes.",
            lambda d: d.job_memory.used_bytes,
        ),
        "workers": ("Workers known.", lambda d: len(d.workers_by_id)),
        "starts": ("Starts sent by this owner.", lambda d: d.counters.starts),
        "refused_starts": ("Starts refused.", lambda d: d.counters.refused_starts),
        "uncertain_starts": ("Starts unanswered.", lambda d: d.counters.uncertain_starts),
        "rejected_jobs": (
            "Long-running jobs rejected for want of room.",
            lambda d: d.counters.rejected_jobs,
        ),
        "renewals": ("Lease renewals sent.", lambda d: d.counters.renewals),
        "throttles": ("Throttles sent.", lambda d: d.counters.throttles),
        "vm_list_readings": ("Readings of the list of VMs.", lambda d: d.counters.vm_list_readings),
        "duplicate_runs": (
            "Runs that a worker reported while their task also ran elsewhere.",
            lambda d: d.counters.duplicate_runs,
        ),
        "near_tasks": (
            "Tasks started in the rack that they prefer.",
            lambda d: d.place_waits.near_tasks,
        ),
        "elsewhere_tasks": (
            "Tasks started outside the rack that they prefer.",
            lambda d: d.place_waits.elsewhere_tasks,
        ),
        "place_wait_seconds": (
            "Time that steps waited for a preferred rack although others had room.",
            lambda d: d.place_waits.waited_s,
        ),
        "batches": ("Batches committed.", lambda d: d.recorder.batches),
    }
    for name, (help_text, read) in gauges.items():
        metrics.add_gauge(f"laburnumswitch_owner_{name}", help_text, gauge_reader(read))
    register_start_delay_metrics(metrics, lambda: leadership.dispatcher)
    register_organisation_metrics(metrics, lambda: leadership.dispatcher)
    register_usage_metrics(metrics, lambda: leadership.dispatcher)


def register_start_delay_metrics(
    metrics: Metrics, find_dispatcher: Callable[[], Dispatcher | None]
) -> None:
    """Register how long long-running tasks are down, and why; 0 unless on the owner.

    :param find_dispatcher: returns the dispatcher of this entry, ``None`` unless it is the owner.
    """

    def read_down(read: Callable[[DownCount], float]) -> Callable[[], list[Sample]]:
        def read_all() -> list[Sample]:
            dispatcher = find_dispatcher()
            counts = dispatcher.start_delays.down_by_reason if dispatcher else {}
            return [
                Sample({"reason": str(reason)}, read(counts.get(reason, DownCount(0, 0.0))))
                for reason in WaitReason
            ]

        return read_all

    def read_starts() -> list[Sample]:
        dispatcher = find_dispatcher()
        starts = dispatcher.start_delays.starts_by_bound_s if dispatcher else {}
        return [
            Sample({"below_s": f"{bound_s:g}"}, starts.get(bound_s, 0))
            for bound_s in (*DOWN_BOUNDS_S, inf)
        ]

    def read_longest() -> float:
        dispatcher = find_dispatcher()
        return dispatcher.start_delays.longest_down_s if dispatcher else 0.0

    metrics.add_gauges(
        "laburnumswitch_owner_long_running_down",
        "Long-running tasks that do not run, by reason.",
        read_down(lambda count: count.tasks),
    )
    metrics.add_gauges(
        "laburnumswitch_owner_long_running_down_seconds",
        "How long the first of the long-running tasks that do not run has been down, by reason.",
        read_down(lambda count: count.longest_s),
    )
    metrics.add_gauges(
        "laburnumswitch_owner_long_running_starts",
        "Starts of long-running tasks by this owner, by how long they were down.",
        read_starts,
    )
    metrics.add_gauge(
        "laburnumswitch_owner_long_running_start_delay_max_seconds",
        "Longest time that a long-running task was down before a start of this owner.",
        read_longest,
    )


def register_client_metrics(
    metrics: Metrics, refusals: RefusalCounter, clients_of_ports: tuple[PortClients, ...]
) -> None:
    """Register the metrics of the clients of an entry's ports."""
    metrics.add_counters(
        "laburnumswitch_clients_refused_total",
        "Requests refused and connections closed at the bounds of a port, by port and cause.",
        lambda: [
            Sample({"port": port, "cause": cause}, count)
            for (port, cause), count in refusals.counts.items()
        ],
    )
    metrics.add_gauges(
        "laburnumswitch_client_connections",
        "Open connections of clients, by port.",
        lambda: [Sample({"port": each.port}, each.open_count) for each in clients_of_ports],
    )
    metrics.add_gauges(
        "laburnumswitch_client_body_bytes",
        "Bytes that request bodies take until they are answered, by port.",
        lambda: [Sample({"port": each.port}, each.budget.used_bytes) for each in clients_of_ports],
    )


def register_configuration_metrics(
    metrics: Metrics,
    operations: Operations,
    refusal_log: RefusalLog,
    store_client: Client,
    store_reach: Reach,
    boot_clock: Callable[[], float],
) -> None:
    """Register which configuration an entry answers by, and how it is kept up to date.

    :param boot_clock: includes the time for which the VM was suspended.
    """
    metrics.add_gauge(
        "laburnumswitch_configuration_version",
        "Version of the configuration in force, 0 without one.",
        operations.version,
    )
    metrics.add_gauge(
        "laburnumswitch_configuration_confirmed_age_seconds",
        "Time since the configuration in force was certainly the newest version.",
        lambda: operations.confirmed_age_s(boot_clock()),
    )
    metrics.add_counters(
        "laburnumswitch_configuration_adoptions_total",
        "Versions of the configuration put in force, by where they came from.",
        lambda: [
            Sample({"source": source}, count)
            for source, count in operations.adoptions_by_source.items()
        ],
    )
    metrics.add_counters(
        "laburnumswitch_calls_refused_total",
        "Calls refused by the configuration in force, by status and reason.",
        lambda: [
            Sample({"status": str(status), "reason": reason}, count)
            for (status, reason), count in refusal_log.counts.items()
        ],
    )
    metrics.add_counter(
        "laburnumswitch_store_calls_failed_total",
        "Calls to the store that were not answered or refused.",
        lambda: store_reach.failures,
    )
    metrics.add_counter(
        "laburnumswitch_store_received_bytes_total",
        "Bytes received from the store.",
        lambda: store_client.bytes_received,
    )
