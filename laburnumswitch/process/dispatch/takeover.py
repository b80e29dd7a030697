"""Start of an owner's term: loads the stored jobs and finds the runs of earlier owners."""

from collections import Counter

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.crashes import collect_crashes
from laburnumswitch.process.dispatch.crashes import CRASHES_TABLE
from laburnumswitch.process.dispatch.dispatcher import DispatchContext
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.dispatcher import FLEET_TABLE
from laburnumswitch.process.dispatch.earlier_lapses import decode_earlier_lapses
from laburnumswitch.process.dispatch.earlier_lapses import earlier_lapse_s
from laburnumswitch.process.dispatch.earlier_lapses import EARLIER_LAPSES_KEY
from laburnumswitch.process.dispatch.earlier_lapses import EarlierLapse
from laburnumswitch.process.dispatch.earlier_lapses import limit_by_earlier_lapses
from laburnumswitch.process.dispatch.earlier_lapses import store_earlier_lapses
from laburnumswitch.process.dispatch.feeds import apply_cancellation_row
from laburnumswitch.process.dispatch.feeds import apply_submission_row
from laburnumswitch.process.dispatch.feeds import follow_cancellations
from laburnumswitch.process.dispatch.feeds import follow_submissions
from laburnumswitch.process.dispatch.feeds import follow_workers
from laburnumswitch.process.dispatch.feeds import read_late_jobs
from laburnumswitch.process.dispatch.feeds import read_until_success
from laburnumswitch.process.dispatch.fleet import RunsKnownBy
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.handover import collect_handover
from laburnumswitch.process.dispatch.handover import HandedOverRun
from laburnumswitch.process.dispatch.handover import Handover
from laburnumswitch.process.dispatch.handover import HANDOVER_CLOCK_TABLE
from laburnumswitch.process.dispatch.handover import HANDOVER_TABLE
from laburnumswitch.process.dispatch.handover import WorkerHandover
from laburnumswitch.process.dispatch.jobs import FINAL_STATES
from laburnumswitch.process.dispatch.jobs import JobSource
from laburnumswitch.process.dispatch.kept_leases import collect_kept_leases
from laburnumswitch.process.dispatch.kept_leases import KEPT_LEASES_TABLE
from laburnumswitch.process.dispatch.kept_leases import KeptLeases
from laburnumswitch.process.dispatch.lease_keeping import run_lease_keeping
from laburnumswitch.process.dispatch.load_report import run_load_report
from laburnumswitch.process.dispatch.model_store import load_parameters
from laburnumswitch.process.dispatch.model_store import run_learning
from laburnumswitch.process.dispatch.organisation_update import note_loaded_jobs
from laburnumswitch.process.dispatch.parked_loading import load_parked_jobs
from laburnumswitch.process.dispatch.placement_recovery import announce_commands
from laburnumswitch.process.dispatch.placement_recovery import complete_placements
from laburnumswitch.process.dispatch.placement_recovery import restore_placements
from laburnumswitch.process.dispatch.placements import may_have_unknown_runs
from laburnumswitch.process.dispatch.placements import PLACEMENTS_TABLE
from laburnumswitch.process.dispatch.planner import run_planner
from laburnumswitch.process.dispatch.planner import run_relocation
from laburnumswitch.process.dispatch.progress import CANCELLATIONS_TABLE
from laburnumswitch.process.dispatch.progress import decode_progress
from laburnumswitch.process.dispatch.progress import PROGRESS_TABLE
from laburnumswitch.process.dispatch.progress import SUBMISSIONS_TABLE
from laburnumswitch.process.dispatch.queue_store import collect_queues
from laburnumswitch.process.dispatch.queue_store import QUEUES_TABLE
from laburnumswitch.process.dispatch.queue_store import run_queue_store
from laburnumswitch.process.dispatch.queue_store import store_queues
from laburnumswitch.process.dispatch.recorder import Recorder
from laburnumswitch.process.dispatch.recorder import RecorderContext
from laburnumswitch.process.dispatch.retention import run_retention
from laburnumswitch.process.dispatch.silences import collect_silences
from laburnumswitch.process.dispatch.silences import Silence
from laburnumswitch.process.dispatch.silences import SILENCES_TABLE
from laburnumswitch.process.dispatch.unread_workers import describe_unread
from laburnumswitch.process.dispatch.unread_workers import missing_listings
from laburnumswitch.process.dispatch.unread_workers import UnreadRows
from laburnumswitch.process.dispatch.vm_watch import watch_vms
from laburnumswitch.process.dispatch.worker_protocol import RunReport
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.dispatch.worker_session import run_worker
from laburnumswitch.process.leadership.predecessor import Predecessor
from laburnumswitch.process.leadership.succession import decode_succession
from laburnumswitch.process.leadership.succession import Succession
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.operating.operations import KnownQueue
from laburnumswitch.process.rows.table import Changes
from laburnumswitch.process.rows.table import Row

# Pause in seconds before a failed read is repeated.
RETRY_S = 0.1
# Interval in seconds at which to check whether the runs of earlier owners are known.
SETTLE_INTERVAL_S = 0.05
# Workers that have not answered this long after the start of a term, in seconds, are logged; the
# others answer within some milliseconds.
SETTLE_LOG_DELAY_S = 0.5
# Maximum number of workers named in one log line.
MAX_LOGGED_WORKERS = 20


def begin_dispatch(
    context: DispatchContext,
    held_term: VersionedTerm,
    term_committed_s: float,
    predecessor: Predecessor,
) -> Dispatcher:
    """Start dispatching under a newly acquired term.

    :param term_committed_s: when the commit of the term was sent, on the boot clock.
    :param predecessor: what is known about the earlier owner.
    """
    recorder_context = RecorderContext(
        context.table, context.log, context.clock, context.boot_clock, context.sleep
    )
    recorder = Recorder(recorder_context, held_term, term_committed_s)
    dispatcher = Dispatcher(context, recorder)
    command_window_s = max(0.0, predecessor.commands_until_s - context.clock())
    dispatcher.limit_unknown_runs(dispatcher.longest_lapse_s() + command_window_s)
    dispatcher.settled = dispatcher.epoch == 1
    dispatcher.late_jobs.may_be_started = predecessor.state is not PredecessorState.ENDED
    dispatcher.spawn(recorder.run, dispatcher.is_stopped)
    dispatcher.spawn(_run, dispatcher)
    return dispatcher


def _run(dispatcher: Dispatcher) -> None:
    succession, lapses = _load_succession(dispatcher)
    dispatcher.succession = succession
    handover = _load_handover(dispatcher, succession)
    kept = _load_kept_leases(dispatcher, succession, handover)
    epochs = kept.last_epochs()
    limit_by_earlier_lapses(dispatcher, lapses, max(epochs))
    if not dispatcher.settled:
        dispatcher.spawn(store_earlier_lapses, dispatcher, lapses, epochs)
    silence_rows = _load(dispatcher, SILENCES_TABLE).rows
    silence_by_id = _collect_silences(dispatcher, silence_rows, succession.acted_epoch)
    unread = _load_fleet(dispatcher, handover, kept, silence_by_id)
    _limit_leases(dispatcher, kept, lapses)
    dispatcher.spawn(run_lease_keeping, dispatcher, kept)
    version = _load_jobs(dispatcher)
    _load_crashes(dispatcher)
    load_parameters(dispatcher)
    stored_queues = _load_queues(dispatcher)
    _await_configuration(dispatcher)
    # Not left to the first interval of the queue store: this owner may end before.
    stored_queues = store_queues(dispatcher, stored_queues)
    placements = _load(dispatcher, PLACEMENTS_TABLE).rows
    if dispatcher.is_stopped():
        return
    _adopt_runs(dispatcher, handover, silence_by_id)
    restore_placements(dispatcher, placements, knows_fleet=not unread.keys)
    note_loaded_jobs(dispatcher)
    # From here on this owner hands over what it knows, so what it was told is not lost with it.
    dispatcher.is_loaded.set()
    dispatcher.silences.announce(row.key for row in silence_rows)
    announce_commands(dispatcher)
    if dispatcher.is_stopped():
        return
    for worker in dispatcher.workers_by_id.values():
        dispatcher.spawn(run_worker, dispatcher, worker)
    dispatcher.spawn(follow_submissions, dispatcher, version)
    if dispatcher.late_jobs.may_be_started:
        dispatcher.spawn(read_late_jobs, dispatcher, version)
    dispatcher.spawn(follow_cancellations, dispatcher, version)
    dispatcher.spawn(follow_workers, dispatcher)
    dispatcher.spawn(run_planner, dispatcher)
    dispatcher.spawn(run_relocation, dispatcher)
    dispatcher.spawn_restarted(run_retention, dispatcher)
    dispatcher.spawn(load_parked_jobs, dispatcher)
    dispatcher.spawn_restarted(run_queue_store, dispatcher, stored_queues)
    dispatcher.spawn_restarted(run_learning, dispatcher)
    dispatcher.spawn_restarted(run_load_report, dispatcher)
    if dispatcher.context.list_vms is not None:
        dispatcher.spawn(watch_vms, dispatcher, dispatcher.context.list_vms)
    if not dispatcher.settled:
        _settle(dispatcher, unread)
    if not dispatcher.is_stopped():
        complete_placements(dispatcher)


def _await_configuration(dispatcher: Dispatcher) -> None:
    """Wait until this entry knows the queues, and with them how many runs of a task may fail."""
    context = dispatcher.context
    while context.operations.configuration is None and not dispatcher.is_stopped():
        context.sleep(RETRY_S)


def _load_jobs(dispatcher: Dispatcher) -> int:
    """Load all jobs and return the version of the store as of which they were read."""
    dispatcher.late_jobs.note_read()
    submissions = _load(dispatcher, SUBMISSIONS_TABLE)
    progress = _load(dispatcher, PROGRESS_TABLE)
    cancellations = _load(dispatcher, CANCELLATIONS_TABLE)
    progress_by_id = {}
    unreadable_ids = set()
    for row in progress.rows:
        job_id = row.key.partition("/")[2]
        decoded = decode_progress(row.key, row.value)
        if isinstance(decoded, RowMalformed):
            dispatcher.context.log.note("progress_malformed", job_id, reason=decoded.reason)
            unreadable_ids.add(job_id)
            continue
        progress_by_id[job_id] = decoded
        if decoded.state in FINAL_STATES:
            dispatcher.note_final(job_id, decoded.state)
    for row in submissions.rows:
        job_id = row.key.partition("/")[2]
        if job_id in unreadable_ids:
            # Which of its tasks are done is not known, so none may start.
            dispatcher.job_faults.set_aside(job_id, "reading its progress")
            continue
        progress = progress_by_id.get(job_id)
        apply_submission_row(dispatcher, row, JobSource.LOADED, progress)
    for row in cancellations.rows:
        apply_cancellation_row(dispatcher, row)
    return submissions.version


def _load_crashes(dispatcher: Dispatcher) -> None:
    def report_malformed(malformed: RowMalformed) -> None:
        dispatcher.context.log.note("crashes_malformed", malformed.key, reason=malformed.reason)

    rows = _load(dispatcher, CRASHES_TABLE).rows
    contain = dispatcher.job_faults.contain
    for crashed in collect_crashes(rows, report_malformed):
        job_id = crashed.task.job_id
        contain(job_id, "loading its crashes", dispatcher.restore_crashes, crashed)


def _load_succession(dispatcher: Dispatcher) -> tuple[Succession, tuple[EarlierLapse, ...]]:
    """Load which earlier owner may have sent commands: the last one, unless it is known better.

    :return: also when leases of earlier owners expire, as far as these have stored it.
    """
    context = dispatcher.context
    unknown = Succession(dispatcher.epoch, dispatcher.epoch - 1, knows_placements=False)
    while not dispatcher.is_stopped():
        rows = context.table.read((SUCCESSION_KEY, EARLIER_LAPSES_KEY))
        if not isinstance(rows, Failure):
            lapses = decode_earlier_lapses(rows[EARLIER_LAPSES_KEY])
            if isinstance(lapses, RowMalformed):
                context.log.note("earlier_lapses_malformed", lapses.key, reason=lapses.reason)
                lapses = ()
            stored = decode_succession(rows[SUCCESSION_KEY])
            is_current = isinstance(stored, Succession) and stored.epoch == dispatcher.epoch
            return (stored if is_current else unknown), lapses
        context.log.note("load_failed", SUCCESSION_KEY, reason=rows.describe())
        context.sleep(RETRY_S)
    return unknown, ()


def _load_handover(dispatcher: Dispatcher, succession: Succession) -> Handover:
    """Load what the last owner that may have sent commands has handed over."""

    def report_malformed(malformed: RowMalformed) -> None:
        dispatcher.context.log.note("handover_malformed", malformed.key, reason=malformed.reason)

    rows = _load(dispatcher, HANDOVER_TABLE).rows
    clock_rows = _load(dispatcher, HANDOVER_CLOCK_TABLE).rows
    return collect_handover(rows, clock_rows, succession.acted_epoch, report_malformed)


def _load_kept_leases(
    dispatcher: Dispatcher, succession: Succession, handover: Handover
) -> KeptLeases:
    """Load whose leases may have been extended since all owners that did so told of the ends."""

    def report_malformed(malformed: RowMalformed) -> None:
        dispatcher.context.log.note("kept_leases_malformed", malformed.key, reason=malformed.reason)

    since_epoch = max(succession.acted_epoch, handover.epoch)
    epoch_by_id: dict[str, int] | None = {}
    if succession.kept_epoch > since_epoch:
        rows = _load(dispatcher, KEPT_LEASES_TABLE).rows
        kept_epoch = succession.kept_epoch
        epoch_by_id = collect_kept_leases(rows, kept_epoch, since_epoch, report_malformed)
    return KeptLeases(dispatcher.epoch, since_epoch, succession.kept_epoch, epoch_by_id)


def _load_queues(dispatcher: Dispatcher) -> dict[str, KnownQueue]:
    """Load the queues that earlier owners knew, of which some may have been removed since."""

    def report_malformed(malformed: RowMalformed) -> None:
        dispatcher.context.log.note("queues_malformed", malformed.key, reason=malformed.reason)

    stored = collect_queues(_load(dispatcher, QUEUES_TABLE).rows, report_malformed)
    for known in stored.values():
        dispatcher.context.operations.remember_queue(known)
    return stored


def _collect_silences(
    dispatcher: Dispatcher, rows: tuple[Row, ...], acted_epoch: int
) -> dict[str, Silence]:
    def report_malformed(malformed: RowMalformed) -> None:
        dispatcher.context.log.note("silences_malformed", malformed.key, reason=malformed.reason)

    return collect_silences(rows, acted_epoch, report_malformed)


def _load_fleet(
    dispatcher: Dispatcher,
    handover: Handover,
    kept: KeptLeases,
    silence_by_id: dict[str, Silence],
) -> UnreadRows:
    """Load the workers on which earlier owners may have left runs.

    :param handover: what the last owner that may have sent commands knew of them at its end.
    :param kept: whose leases were extended since.
    :param silence_by_id: what it knew of those that did not answer.
    :return: the rows that could not be read.
    """
    unread_keys = []
    rows = _load(dispatcher, FLEET_TABLE).rows
    if dispatcher.is_stopped():
        # It may have stopped before it had read the list, which lacks all workers then.
        return UnreadRows(dispatcher, ())
    for row in rows:
        try:
            listings = convert(row.value, list[WorkerListing])
        except ValidationError as error:
            dispatcher.context.log.note("fleet_malformed", row.key, reason=str(error))
            unread_keys.append(row.key)
            continue
        for listing in listings:
            _load_worker(dispatcher, listing, handover, kept, silence_by_id)
    for listing in missing_listings(dispatcher, silence_by_id, handover.by_worker_id):
        _load_worker(dispatcher, listing, handover, kept, silence_by_id)
    unread = describe_unread(dispatcher, rows, tuple(unread_keys), handover.epoch)
    unread.store()
    return unread


def _limit_leases(
    dispatcher: Dispatcher, kept: KeptLeases, lapses: tuple[EarlierLapse, ...]
) -> None:
    """Limit the lease of each worker by the end of the last owner that may have extended it."""
    lapses_s_by_epoch = {
        epoch: earlier_lapse_s(dispatcher, lapses, epoch) for epoch in kept.last_epochs()
    }
    for worker in dispatcher.workers_by_id.values():
        lapses_s = lapses_s_by_epoch[kept.last_epoch(worker.worker_id)]
        worker.lapse_bound_s = min(worker.lapse_bound_s, lapses_s)


def _load_worker(
    dispatcher: Dispatcher,
    listing: WorkerListing,
    handover: Handover,
    kept: KeptLeases,
    silence_by_id: dict[str, Silence],
) -> None:
    worker = dispatcher.add_worker(listing)
    worker.lapse_bound_s = dispatcher.unknown_runs_until_s
    worker.has_unknown_runs = True
    silence = silence_by_id.get(worker.worker_id)
    if silence is not None:
        _apply_silence(dispatcher, worker, silence)
    known = handover.by_worker_id.get(worker.worker_id)
    if known is not None:
        _apply_handover(dispatcher, worker, handover, known, kept)


def _apply_handover(
    dispatcher: Dispatcher,
    worker: Worker,
    handover: Handover,
    known: WorkerHandover,
    kept: KeptLeases,
) -> None:
    """Apply what was handed over of a worker, but for its runs."""
    _apply_knowledge(worker, known.has_unknown_runs, RunsKnownBy.HANDOVER)
    if kept.last_epoch(worker.worker_id) > kept.since_epoch:
        return
    # It was written before this term began, so the sum is no earlier than the lapse.
    lapse_bound_s = dispatcher.began_s + known.lapses_in_s
    if handover.written_s is not None:
        lapses_s = handover.written_s + known.lapses_in_s
        lapse_bound_s = min(lapse_bound_s, _from_store_s(dispatcher, lapses_s))
    worker.lapse_bound_s = min(worker.lapse_bound_s, lapse_bound_s)


def _apply_silence(dispatcher: Dispatcher, worker: Worker, silence: Silence) -> None:
    """Apply what was stored of a silent worker, but for its runs."""
    lapse_bound_s = _from_store_s(dispatcher, silence.lapses_s)
    worker.lapse_bound_s = min(worker.lapse_bound_s, lapse_bound_s)
    _apply_knowledge(worker, silence.has_unknown_runs, RunsKnownBy.SILENCE)
    quiet_since_s = _from_store_s(dispatcher, silence.quiet_since_s)
    worker.known_since_s = min(worker.known_since_s, quiet_since_s)
    if worker.listing.incarnation in (0, silence.incarnation):
        worker.listing = worker.listing._replace(vm_id=silence.vm_id)
    dispatcher.silences.inherit(silence, worker.lapse_bound_s)


def _apply_knowledge(worker: Worker, has_unknown_runs: bool, source: RunsKnownBy) -> None:
    if has_unknown_runs:
        worker.has_unknown_runs = True
    else:
        worker.note_runs_known(source)


def _adopt_runs(
    dispatcher: Dispatcher, handover: Handover, silence_by_id: dict[str, Silence]
) -> None:
    """Adopt the runs of workers until these report or their leases expire.

    Of several runs of a task the last is adopted: its starter knew that the others had ended.
    """
    known_by_id = silence_by_id | handover.by_worker_id
    pairs = [
        (run, worker)
        for worker in dispatcher.workers_by_id.values()
        if worker.worker_id in known_by_id
        for run in known_by_id[worker.worker_id].runs
    ]
    contain = dispatcher.job_faults.contain
    for run, worker in sorted(pairs, key=lambda pair: pair[0].run, reverse=True):
        arguments = (dispatcher, worker, run)
        contain(run.task.job_id, "adopting a run", _adopt_known_run, *arguments)


def _adopt_known_run(dispatcher: Dispatcher, worker: Worker, run: HandedOverRun) -> None:
    report = RunReport(run.task, run.run, run.checkpoint, 0.0, 0.0)
    if not dispatcher.knows_job(run.task.job_id):
        # Adopted once the job's submission arrives.
        dispatcher.note_orphan(worker, report)
    elif dispatcher.adopt_run(worker, report):
        adopted = worker.runs_by_task[run.task]
        adopted.is_inherited = True
        # Nothing was started there after that.
        adopted.started_s = min(adopted.started_s, worker.known_since_s)


def _from_store_s(dispatcher: Dispatcher, store_s: float) -> float:
    instant_s = dispatcher.store_time.from_store_s(store_s)
    return float("inf") if instant_s is None else instant_s


def _settle(dispatcher: Dispatcher, unread: UnreadRows) -> None:
    """Wait until the runs of earlier owners are known or have certainly lapsed.

    :param unread: rows of the list of workers that could not be read.
    """
    context = dispatcher.context
    began_s = context.clock()
    inherited = list(dispatcher.workers_by_id.values())
    noted: list[str] | None = None
    while not dispatcher.is_stopped():
        unknown = [
            worker.worker_id
            for worker in inherited
            if worker.has_unknown_runs and not (worker.is_dropped or dispatcher.has_lapsed(worker))
        ]
        is_waiting = bool(unknown) or unread.may_run()
        is_late = context.clock() - began_s >= SETTLE_LOG_DELAY_S
        if is_waiting and is_late and unknown != noted:
            noted = unknown
            _note_wait(dispatcher, unknown, unread)
        if not is_waiting:
            dispatcher.settled = True
            unread.replace()
            dispatcher.organisation_usage.forget_ended()
            dispatcher.wake.set()
            context.log.note(
                "settled",
                str(dispatcher.epoch),
                after_s=round(context.clock() - began_s, 3),
                known_by=_count_sources(inherited),
            )
            return
        unread.store()
        context.sleep(SETTLE_INTERVAL_S)


def _count_sources(workers: list[Worker]) -> dict[str, int]:
    """Return by how many workers what told that their runs are known, for the log."""
    counts = Counter("dropped" if each.is_dropped else each.runs_known_by for each in workers)
    return {str(source or RunsKnownBy.LAPSE): count for source, count in counts.items()}


def _note_wait(dispatcher: Dispatcher, unknown: list[str], unread: UnreadRows) -> None:
    context = dispatcher.context
    until_s = dispatcher.unknown_runs_until_s if unknown else unread.until_s()
    waiting = sum(
        may_have_unknown_runs(dispatcher.placements, ready.job, ready.step_state.step)
        for ready in dispatcher.ready_step_by_key.values()
    )
    context.log.note(
        "settle_waits",
        str(dispatcher.epoch),
        workers=unknown[:MAX_LOGGED_WORKERS],
        count=len(unknown),
        unread_rows=len(unread.keys),
        steps=waiting,
        until_s=round(until_s - context.clock(), 3),
    )


def _load(dispatcher: Dispatcher, table: str) -> Changes:
    return read_until_success(dispatcher, table, dispatcher.store_time.load, table)
