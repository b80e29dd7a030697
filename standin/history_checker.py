"""Checks the guarantees of the daemon in ``entry.py`` against the stand-ins' records.

``standin/fleet/invariant_checker.py`` checks those of the daemon in ``dispatch_entry.py``.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from msgspec.json import decode

from standin.expectation import Expectation
from standin.finished_tasks import count_finished_tasks
from standin.finished_tasks import tasks_counted_wrongly
from standin.records import Asked
from standin.records import ConfigurationSeen
from standin.records import Cut
from standin.records import DrainBegan
from standin.records import Executed
from standin.records import ProcessStopped
from standin.records import Record
from standin.records import RefusedWhileDraining
from standin.records import RowPut
from standin.records import RunStarted
from standin.records import WorkerUp
from standin.run_intervals import run_intervals
from standin.run_intervals import RunInterval
from standin.run_intervals import tasks_in_two_places
from standin.run_intervals import worst_commitment

ZONE_PREFIX = "zone/"
CONFIGURATION_KEY = "configuration"
ZONE_OUT = "out"
NOT_EXECUTED_OUTCOMES = ("not-run", "not-sent")
# Longest time from taking a zone out of service to the last start of a run in it.
MAX_START_AFTER_ZONE_OUT_S = 3.0
# Longest time from the beginning of a replica's drain to the last request sent to it.
MAX_REQUEST_AFTER_DRAIN_S = 5.0
# Longest time from the publication of a configuration until every running entry has adopted it.
MAX_CONFIGURATION_ADOPTION_S = 17.0
COMMITMENT_LIMIT = 1.0
FIRST_ERROR_STATUS = 400
PLANNED_END_KINDS = ("finished", "killed", "evicted")


class HistoryReport(NamedTuple):
    """The figures of one history.

    Durations are in seconds; a ``worst_commitment`` of 1.0 is a fully committed worker.
    ``attempts`` and ``attempts_*`` count the attempts of requests; ``not_run`` and ``unknown``
    count requests by the outcome of all their attempts. ``orders_run_twice`` counts ``POST``
    requests that were executed more than once, ``foreign_answers`` the answers that are incomplete
    or belong to another request. ``configuration_everywhere_s`` is the longest time from the
    publication of a version until every running entry had adopted it.
    """

    requests: int
    answered: int
    answered_with_error: int
    attempts: int
    attempts_not_run: int
    attempts_unknown: int
    not_run: int
    unknown: int
    orders_run_twice: int
    not_run_but_ran: int
    foreign_answers: int
    runs: int
    tasks_finished: int
    tasks_finished_twice: int
    tasks_finished_unreported: int
    tasks_counted_wrongly: int
    tasks_in_two_places: int
    tasks_lost: int
    checkpoints_resumed_twice: int
    evictions: int
    worst_commitment: float
    last_start_in_zone_out_s: float
    last_request_to_leaving_upstream_s: float
    requests_cut_by_planned_stops: int
    configuration_reverts: int
    configuration_everywhere_s: float


def evaluate_history(records: Iterable[Record], expectation: Expectation) -> HistoryReport:
    """Return the figures of the history in ``records``."""
    records = list(records)
    by_type: dict[type, list] = {}
    for record in records:
        by_type.setdefault(type(record), []).append(record)
    asked = by_type.get(Asked, [])
    executed = by_type.get(Executed, [])
    workers = by_type.get(WorkerUp, [])
    rows = by_type.get(RowPut, [])
    stops = by_type.get(ProcessStopped, [])
    observations = by_type.get(ConfigurationSeen, [])
    starts = by_type.get(RunStarted, [])
    intervals = run_intervals(records)
    outcomes = Counter(_outcome(attempts) for attempts in _by_request(asked).values())
    finished_tasks = count_finished_tasks(intervals, records)
    return HistoryReport(
        requests=sum(outcomes.values()),
        answered=outcomes["answered"],
        answered_with_error=sum(
            attempt.outcome == "answered" and attempt.status >= FIRST_ERROR_STATUS
            for attempt in asked
        ),
        attempts=len(asked),
        attempts_not_run=sum(attempt.outcome in NOT_EXECUTED_OUTCOMES for attempt in asked),
        attempts_unknown=sum(attempt.outcome == "unknown" for attempt in asked),
        not_run=outcomes["not-run"],
        unknown=outcomes["unknown"],
        orders_run_twice=_orders_run_twice(executed),
        not_run_but_ran=_not_run_but_ran(asked, executed),
        foreign_answers=sum(attempt.outcome == "answered" and not attempt.own for attempt in asked),
        runs=len(intervals),
        tasks_finished=len(finished_tasks.finishes_by_task),
        tasks_finished_twice=finished_tasks.finished_twice,
        tasks_finished_unreported=finished_tasks.finished_unreported,
        tasks_counted_wrongly=tasks_counted_wrongly(records, expectation),
        tasks_in_two_places=len(tasks_in_two_places(intervals)),
        tasks_lost=_tasks_lost(intervals, finished_tasks.finishes_by_task, expectation),
        checkpoints_resumed_twice=_checkpoints_resumed_twice(starts),
        evictions=sum(interval.kind == "evicted" for interval in intervals),
        worst_commitment=worst_commitment(intervals, workers),
        last_start_in_zone_out_s=_last_start_in_zone_out_s(starts, workers, rows),
        last_request_to_leaving_upstream_s=_last_request_to_leaving_s(
            by_type.get(DrainBegan, []), by_type.get(RefusedWhileDraining, []), executed
        ),
        requests_cut_by_planned_stops=_cut_by_planned_stops(asked, by_type.get(Cut, []), stops),
        configuration_reverts=_configuration_reverts(observations),
        configuration_everywhere_s=_configuration_everywhere_s(rows, observations, stops),
    )


def violated_guarantees(report: HistoryReport) -> tuple[str, ...]:
    """Return the names of the figures that violate a guarantee."""
    must_be_zero = (
        "orders_run_twice",
        "not_run_but_ran",
        "foreign_answers",
        "tasks_finished_twice",
        "tasks_counted_wrongly",
        "tasks_in_two_places",
        "tasks_lost",
        "checkpoints_resumed_twice",
        "requests_cut_by_planned_stops",
        "configuration_reverts",
    )
    violated = [name for name in must_be_zero if getattr(report, name) != 0]
    if report.worst_commitment > COMMITMENT_LIMIT:
        violated.append("worst_commitment")
    if report.last_start_in_zone_out_s > MAX_START_AFTER_ZONE_OUT_S:
        violated.append("last_start_in_zone_out_s")
    if report.last_request_to_leaving_upstream_s > MAX_REQUEST_AFTER_DRAIN_S:
        violated.append("last_request_to_leaving_upstream_s")
    if report.configuration_everywhere_s > MAX_CONFIGURATION_ADOPTION_S:
        violated.append("configuration_everywhere_s")
    return tuple(violated)


def _by_request(asked: list[Asked]) -> dict[str, list[Asked]]:
    by_request: dict[str, list[Asked]] = {}
    for attempt in asked:
        by_request.setdefault(attempt.logical_id, []).append(attempt)
    return by_request


def _outcome(attempts: list[Asked]) -> str:
    outcomes = {attempt.outcome for attempt in attempts}
    if "answered" in outcomes:
        return "answered"
    if outcomes.issubset(NOT_EXECUTED_OUTCOMES):
        return "not-run"
    return "unknown"


def _orders_run_twice(executed: list[Executed]) -> int:
    orders = Counter(
        execution.key or execution.request_id
        for execution in executed
        if execution.method == "POST"
    )
    return sum(count > 1 for count in orders.values())


def _not_run_but_ran(asked: list[Asked], executed: list[Executed]) -> int:
    executed_ids = {execution.request_id for execution in executed}
    return sum(
        attempt.outcome in NOT_EXECUTED_OUTCOMES and attempt.request_id in executed_ids
        for attempt in asked
    )


def _tasks_lost(
    intervals: list[RunInterval], finished: Counter[str], expectation: Expectation
) -> int:
    finished_by_job = Counter(expectation.job_of(task_id) for task_id in finished)
    lost = sum(
        max(0, tasks - finished_by_job[job])
        for job, tasks in expectation.tasks_by_job.items()
        if job not in expectation.unfinished_jobs
    )
    started = {interval.task_id for interval in intervals if not interval.service}
    # A started task of a job that is not expected is also lost if it did not finish.
    unfinished_of_unknown_jobs = {
        task_id
        for task_id in started - finished.keys()
        if expectation.job_of(task_id) not in expectation.tasks_by_job
        and expectation.job_of(task_id) not in expectation.unfinished_jobs
    }
    return lost + len(unfinished_of_unknown_jobs)


def _checkpoints_resumed_twice(starts: list[RunStarted]) -> int:
    resumed = Counter(start.checkpoint for start in starts if start.checkpoint)
    return sum(count > 1 for count in resumed.values())


def _last_start_in_zone_out_s(
    starts: list[RunStarted], workers: list[WorkerUp], rows: list[RowPut]
) -> float:
    zone_by_worker = {worker.worker_id: worker.availability_zone for worker in workers}
    changes_by_zone: dict[str, list[tuple[float, bool]]] = {}
    for row in sorted(rows):
        if row.key.startswith(ZONE_PREFIX):
            zone = row.key[len(ZONE_PREFIX) :]
            changes_by_zone.setdefault(zone, []).append((row.at_s, _is_zone_out(row.value)))
    worst_s = 0.0
    for start in starts:
        changes = changes_by_zone.get(zone_by_worker[start.worker_id], [])
        worst_s = max(worst_s, _zone_out_duration_s(changes, start.at_s))
    return worst_s


def _zone_out_duration_s(changes: list[tuple[float, bool]], at_s: float) -> float:
    out_since_s = None
    for changed_s, out in changes:
        if changed_s > at_s:
            break
        if not out:
            out_since_s = None
        elif out_since_s is None:
            out_since_s = changed_s
    return 0.0 if out_since_s is None else at_s - out_since_s


def _is_zone_out(value: str) -> bool:
    decoded = decode(value)
    if isinstance(decoded, str):
        return decoded == ZONE_OUT
    return ZONE_OUT in (decoded.values() if isinstance(decoded, dict) else decoded)


def _last_request_to_leaving_s(
    drains: list[DrainBegan], refused: list[RefusedWhileDraining], executed: list[Executed]
) -> float:
    began_s_by_upstream = {drain.upstream_id: drain.at_s for drain in drains}
    delays_s = [
        call.at_s - began_s_by_upstream[call.upstream_id]
        for call in (*refused, *executed)
        if call.upstream_id in began_s_by_upstream
    ]
    return max(0.0, *delays_s) if delays_s else 0.0


def _cut_by_planned_stops(asked: list[Asked], cuts: list[Cut], stops: list[ProcessStopped]) -> int:
    cut = sum(record.requests for record in cuts if record.kind in PLANNED_END_KINDS)
    for stop in stops:
        if stop.planned:
            cut += sum(_was_cut_by(stop, attempt) for attempt in asked)
    return cut


def _was_cut_by(stop: ProcessStopped, attempt: Asked) -> bool:
    # An attempt without a status received no response before its connection ended.
    return (
        attempt.entry == stop.name
        and attempt.outcome == "unknown"
        and attempt.status == 0
        and attempt.sent_s <= stop.ended_s
        and attempt.ended_s >= stop.began_s
    )


def _configuration_reverts(observations: list[ConfigurationSeen]) -> int:
    highest_by_entry: dict[str, int] = {}
    reverts = 0
    for observation in sorted(observations):
        highest = highest_by_entry.get(observation.entry, 0)
        reverts += observation.version < highest
        highest_by_entry[observation.entry] = max(highest, observation.version)
    return reverts


def _configuration_everywhere_s(
    rows: list[RowPut], observations: list[ConfigurationSeen], stops: list[ProcessStopped]
) -> float:
    stopped_s_by_entry = {stop.name: stop.began_s for stop in stops}
    first_seen_s_by_entry: dict[str, float] = {}
    for observation in sorted(observations):
        first_seen_s_by_entry.setdefault(observation.entry, observation.at_s)
    worst_s = 0.0
    for row in rows:
        if row.key != CONFIGURATION_KEY:
            continue
        version = decode(row.value)["version"]
        for entry, first_seen_s in first_seen_s_by_entry.items():
            in_force_s = _in_force_s(observations, entry, version)
            # Entries that started later or stopped earlier need not have adopted the version.
            if first_seen_s > row.at_s or stopped_s_by_entry.get(entry, in_force_s) < in_force_s:
                continue
            worst_s = max(worst_s, in_force_s - row.at_s)
    return worst_s


def _in_force_s(observations: list[ConfigurationSeen], entry: str, version: int) -> float:
    return min(
        (
            observation.at_s
            for observation in observations
            if observation.entry == entry and observation.version >= version
        ),
        default=float("inf"),
    )
