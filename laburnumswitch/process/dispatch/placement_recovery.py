"""What a new owner does with the stored placements of long-running tasks."""

from collections import Counter
from collections.abc import Iterable

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import task_name
from laburnumswitch.process.dispatch.down_time import update_ready_since
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.placements import collect_placements
from laburnumswitch.process.dispatch.placements import Placement
from laburnumswitch.process.dispatch.placements import RowKey
from laburnumswitch.process.dispatch.run_ends import EndKind
from laburnumswitch.process.dispatch.run_ends import Evidence
from laburnumswitch.process.dispatch.run_ends import has_ended
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.leadership.succession import may_send_commands
from laburnumswitch.process.leadership.succession import Succession
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.rows.table import Row

# Longest wait for one commit, in seconds, before its state is checked again.
COMMIT_WAIT_S = 1.0
# Interval, in seconds, at which to check whether the jobs of all reported runs are known.
ORPHANS_INTERVAL_S = 0.1


def announce_commands(dispatcher: Dispatcher) -> None:
    """Store that this owner may send commands to workers; none is sent before this is committed."""
    store_succession(dispatcher, may_send_commands(dispatcher.succession))


def store_succession(dispatcher: Dispatcher, succession: Succession) -> bool:
    """Store the state of the succession, and return whether the term still goes on after that."""
    batch = _queue_succession(dispatcher, succession)
    while not (dispatcher.is_stopped() or dispatcher.recorder.wait_for(batch, COMMIT_WAIT_S)):
        continue
    return not dispatcher.is_stopped()


def _queue_succession(dispatcher: Dispatcher, succession: Succession) -> int:
    dispatcher.succession = succession
    return dispatcher.recorder.queue_row(SUCCESSION_KEY, succession)


def restore_placements(dispatcher: Dispatcher, rows: Iterable[Row], knows_fleet: bool) -> None:
    """Adopt the long-running runs that may exist, once the stored jobs and workers are loaded.

    The others have certainly ended, unless earlier owners have not stored all of them.

    :param knows_fleet: whether the stored list of workers could be read. A worker that is not in it
        has certainly ended.
    """

    def report_malformed(malformed: RowMalformed) -> None:
        dispatcher.context.log.note("placements_malformed", malformed.key, reason=malformed.reason)

    placements = dispatcher.placements
    placements.is_complete = dispatcher.succession.knows_placements
    stored = collect_placements(rows, report_malformed)
    placements.malformed_names = stored.malformed_names
    placements.unreadable_job_ids |= stored.unreadable_job_ids
    if placements.is_complete and not knows_fleet:
        placements.is_complete = False
        _queue_succession(dispatcher, dispatcher.succession._replace(knows_placements=False))
    # How many tasks may run, and how many do not.
    counts: Counter[bool] = Counter()
    for key, tasks in stored.placements_by_key.items():
        placements.note_loaded(key, tasks)
        job = dispatcher.jobs_by_id.get(key.job_id)
        if key.job_id in dispatcher.final_by_id:
            placements.remove_job(key.job_id)
        elif job is not None:
            contain = dispatcher.job_faults.contain
            arguments = (_restore_row, dispatcher, job, key, tasks, counts)
            contain(key.job_id, "loading its placements", *arguments)
    for ready in dispatcher.ready_step_by_key.values():
        update_ready_since(ready.step_state)
    dispatcher.context.log.note(
        "placements",
        str(dispatcher.epoch),
        complete=placements.is_complete,
        unreadable=len(placements.unreadable_job_ids),
        active=counts[True],
        waiting=counts[False],
    )


def _restore_row(
    dispatcher: Dispatcher,
    job: Job,
    key: RowKey,
    placements: tuple[Placement, ...],
    counts: Counter[bool],
) -> None:
    for placement in placements:
        task_key = TaskKey(key.job_id, key.occurrence, key.step, placement.index)
        counts[_restore(dispatcher, job, task_key, placement)] += 1
    dispatcher.refresh_ready_steps(job)


def _restore(dispatcher: Dispatcher, job: Job, key: TaskKey, placement: Placement) -> bool:
    """Apply the placement of a task, and return whether a run of it may exist."""
    task = job.task(key)
    if task is None:
        dispatcher.context.log.note("placement_unknown", task_name(key), run=placement.run)
        return False
    if placement.down_since_s is not None:
        task.down_since_s = dispatcher.store_time.from_store_s(placement.down_since_s)
    if not dispatcher.placements.is_complete:
        return False
    if placement.is_done and not task.is_done:
        job.mark_done(task)
    worker = dispatcher.workers_by_id.get(placement.worker_id)
    if worker is None or job.job_id in dispatcher.placements.unreadable_job_ids:
        task.last_run = max(task.last_run, placement.run)
        if placement.worker_id:
            task.down_since_s = dispatcher.began_s
        return False
    earlier = dispatcher.workers_by_id.get(task.worker_id)
    run = earlier and earlier.runs_by_task[key]
    if run and has_ended(run, Evidence(EndKind.LATER_PLACEMENT, run=placement.run)):
        # Another row of an earlier owner names it.
        reason = f"run {placement.run} was placed after it"
        dispatcher.release_run(earlier, run, EndKind.LATER_PLACEMENT, reason)
    report = RunReport(key, placement.run, "", 0.0, 0.0)
    if dispatcher.adopt_run(worker, report):
        # It started in an earlier term, and is not to blame if its worker has crashed since.
        run = worker.runs_by_task[key]
        run.confirmed_s = float("-inf")
        run.is_inherited = True
    return bool(task.active_run)


def complete_placements(dispatcher: Dispatcher) -> None:
    """Store all placements once all runs are known, unless earlier owners have done so."""
    placements = dispatcher.placements
    if placements.is_complete and not placements.unreadable_job_ids:
        return
    # A run whose job is not known yet has no placement.
    while dispatcher.orphan_by_task or dispatcher.orphan_ends_by_job_id:
        dispatcher.context.sleep(ORPHANS_INTERVAL_S)
        if dispatcher.is_stopped():
            return
    placements.unreadable_job_ids.clear()
    for job in dispatcher.jobs_by_id.values():
        placements.note_all(job)
    if not placements.wait_until_all_stored():
        return
    placements.remove_malformed()
    if not placements.is_complete:
        placements.is_complete = True
        _queue_succession(dispatcher, dispatcher.succession._replace(knows_placements=True))
    dispatcher.context.log.note("placements_complete", str(dispatcher.epoch))
