"""One owned shard: gathers one batch at a time, commits it, and has its orders sent."""

from collections.abc import Callable
from typing import NamedTuple

from absl import logging
from gevent import spawn
from gevent.event import Event

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import LedgerConflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import OwnershipLost
from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.collect import collect_events
from laburnumswitch.process.ledger.collect import collect_lapses
from laburnumswitch.process.ledger.collect import collect_withdrawals
from laburnumswitch.process.ledger.collect import collect_workers
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import journal_prefix
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.inbox import inbox_prefix
from laburnumswitch.process.ledger.inbox import take_in
from laburnumswitch.process.ledger.journal import Batch
from laburnumswitch.process.ledger.journal import commit_batch
from laburnumswitch.process.ledger.journal import HadNoEffect
from laburnumswitch.process.ledger.journal import settle_batch
from laburnumswitch.process.ledger.journal import TookEffect
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Run
from laburnumswitch.process.ledger.moves import cancel_jobs
from laburnumswitch.process.ledger.moves import Moves
from laburnumswitch.process.ledger.moves import retire_replicas
from laburnumswitch.process.ledger.ownership import release
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.snapshot import SNAPSHOT_EVERY_BATCHES
from laburnumswitch.process.ledger.snapshot import snapshot_name
from laburnumswitch.process.ledger.snapshot import store_ledger
from laburnumswitch.process.ledger.snapshot import trimmed_keys
from laburnumswitch.process.operating.zones import PREFIX as ZONE_PREFIX
from laburnumswitch.process.placing.policy import IN_FORCE
from laburnumswitch.process.placing.policy import Policies
from laburnumswitch.process.placing.policy import ShardPolicy
from laburnumswitch.process.placing.usage_history import Learned
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.lease import HEAD_REFRESH_INTERVAL_S
from laburnumswitch.process.workers.replicas import list_upstreams
from laburnumswitch.process.workers.shard_workers import run_worker_exchanges
from laburnumswitch.process.workers.shard_workers import ShardWorkers
from laburnumswitch.process.workers.task_spec import TaskKey
from laburnumswitch.upstream import Upstream

COMMIT_EVERY_S = 0.25
INBOX_EVERY_S = 0.5
OUTCOME_BY_TAG = {"Head": "Committed", "NoneType": "HadNoEffect"}


class Ownership(NamedTuple):
    """A takeover that committed: ``sent_s`` before it was sent, ``known_s`` after its answer.

    ``first_seq`` is the first journal row that was still there.
    """

    head: Head
    ledger: Ledger
    sent_s: float
    known_s: float
    first_seq: int = 1


class Shard:
    """State of one owned shard. ``lost`` is set once this entry does not own it any more."""

    def __init__(
        self,
        context: SchedulerContext,
        shared: SharedRows,
        ownership: Ownership,
        learned: Learned,
        policies: Policies = IN_FORCE,
    ) -> None:
        self.shard = ownership.head.shard
        self.head = ownership.head
        self.ledger = ownership.ledger
        self.lost = False
        self.woken = Event()
        self.workers = ShardWorkers(
            context, shared, self.shard, self.head.epoch, self.ledger, ownership.sent_s
        )
        self.policy = ShardPolicy(context, learned, self.head, self.ledger, self.workers, policies)
        self._context = context
        self._shared = shared
        self.moves = Moves()
        self.upstreams: tuple[Upstream, ...] = ()
        self.upstream_revision = 0
        self._taken_over_s = ownership.known_s
        self._inbox_due_s = ownership.known_s
        self._taken_s_by_group: dict[int, float] = {}
        self._trimmed_seq = ownership.first_seq - 1
        self._stored_snapshot = self.head.snapshot
        self._old_snapshot = 0
        self._zone_revision = shared.revision
        self._batches = 0
        self._last_failure = ""

    def turn(self) -> bool:
        """Gather one batch and commit it.

        :return: whether the next turn is due at once.
        """
        if self.lost:
            return False
        now_s = self._context.clock()
        self.workers.addresses()
        if self._zone_revision != self._shared.revision:
            self._zone_revision = self._shared.revision
            self.policy.all_changed()
        self.workers.ending_tasks = set()
        batch = BatchBuilder(self.workers.ending_tasks)
        self._gather(batch, now_s)
        snapshot = self._stored_snapshot if self._stored_snapshot > self.head.snapshot else 0
        trimmed = trimmed_keys(self.shard, self._trimmed_seq, self.head.snapshot)
        batch.delete(*trimmed)
        if batch.is_empty and not snapshot:
            self._touch(now_s)
            return False
        conflict = self.ledger.verify(batch.records)
        if conflict is not None:
            self._stop_on(conflict)
            return False
        self._add_zone_conditions(batch)
        if not self._commit(batch, snapshot):
            return False
        self._trimmed_seq += len(trimmed)
        return batch.urgent

    def wake(self) -> None:
        """Have the inbox read by a turn that is due at once."""
        self._inbox_due_s = float("-inf")
        self.woken.set()

    def refresh_upstreams(self) -> None:
        """List the running replicas anew, and raise the revision where the list changed.

        The revision stays 0 until the workers have told a new owner what they run.
        """
        if not self.upstream_revision and not self.workers.knows_running_replicas():
            return
        upstreams = list_upstreams(self.ledger, self.workers, self.moves)
        if upstreams != self.upstreams or not self.upstream_revision:
            self.upstreams = upstreams
            self.upstream_revision += 1

    def give_up(self) -> None:
        """Release the shard, after which any entry may take it at once."""
        if self.lost:
            return
        self.lost = True
        self.workers.close()
        outcome = release(self._context.table, self.head)
        self._context.timeline.record(
            "shard_released", str(self.shard), outcome=type(outcome).__name__
        )

    def store_snapshot(self) -> None:
        """Store a snapshot where one is due; a later batch writes it into the head."""
        if self._old_snapshot and self._old_snapshot < self.head.snapshot:
            self._context.objects.remove(snapshot_name(self.shard, self._old_snapshot))
            self._old_snapshot = 0
        newest = max(self._stored_snapshot, self.head.snapshot)
        if self.lost or self.ledger.seq - newest < SNAPSHOT_EVERY_BATCHES:
            return
        stored = store_ledger(self._context.objects, self.shard, self.ledger)
        if not isinstance(stored, Failure):
            self._old_snapshot = self.head.snapshot
            self._stored_snapshot = stored

    def _gather(self, batch: BatchBuilder, now_s: float) -> None:
        workers = self.workers
        state_by_worker_id = workers.state_by_worker_id
        states = state_by_worker_id.values()
        collect_events(batch, self.ledger, states, self.policy.run_ended)
        collect_lapses(batch, self.ledger, state_by_worker_id, self._taken_over_s, now_s)
        collect_withdrawals(batch, self.ledger, states, workers.must_drain)
        collect_workers(batch, self.ledger, workers.shard_vms, state_by_worker_id)
        cancel_jobs(batch, self.ledger, self._shared.cancelled, state_by_worker_id, now_s)
        self.moves.leave_workers(
            batch,
            self.ledger,
            state_by_worker_id,
            workers.must_drain,
            workers.is_unresponsive,
            now_s,
        )
        self.moves.drain_final(self.ledger, state_by_worker_id, workers.must_drain, now_s)
        retire_replicas(
            batch, self.ledger, self._shared, self._taken_s_by_group, self._taken_over_s
        )
        batch.seal_ends()
        self._take_in(batch, now_s)
        self.policy.plan(batch, now_s)

    def _take_in(self, batch: BatchBuilder, now_s: float) -> None:
        if now_s < self._inbox_due_s:
            return
        self._inbox_due_s = now_s + INBOX_EVERY_S
        rows = self._context.table.scan(inbox_prefix(self.shard))
        if isinstance(rows, Failure):
            return
        job_ids = take_in(batch, rows)

        def note_taken() -> None:
            for job_id in job_ids:
                group = self.ledger.find_group(job_id)
                if group is not None:
                    self._taken_s_by_group[group.number] = now_s

        if job_ids:
            batch.on_commit.append(note_taken)

    def _add_zone_conditions(self, batch: BatchBuilder) -> None:
        for record in batch.records:
            if isinstance(record, Started):
                worker = self.ledger.worker_by_number[record.worker]
                batch.condition(self._shared.zone_condition(worker.availability_zone))

    def _touch(self, now_s: float) -> None:
        if now_s - self.workers.last_commit_sent_s >= HEAD_REFRESH_INTERVAL_S:
            self._commit(BatchBuilder(), 0)

    def _commit(self, builder: BatchBuilder, snapshot: int) -> bool:
        self._batches += 1
        batch_id = f"{self._context.vm_id}-{self.head.epoch}-{self._batches}"
        touches = builder.is_empty and not snapshot
        batch = builder.build(self.head.batch if touches else batch_id, snapshot)
        sent_s = self._context.clock()
        outcome = commit_batch(self._context.table, self.head, batch)
        if isinstance(outcome, OutcomeUnknown):
            self._context.timeline.record("commit_unknown", str(self.shard), batch=batch_id)
            outcome = self._settle(batch)
        tag = outcome.tag if isinstance(outcome, Failure) else type(outcome).__name__
        self._context.note_commit(OUTCOME_BY_TAG.get(tag, tag), self._context.clock() - sent_s)
        if isinstance(outcome, Head):
            self._take_effect(builder, batch, outcome, sent_s)
            return not self.lost
        self.policy.batch_failed()
        if isinstance(outcome, Conflict):
            self._resolve_conflict(outcome)
        elif isinstance(outcome, Failure) and not isinstance(outcome, OwnershipLost):
            self._note_failure(outcome)
        return False

    def _note_failure(self, failure: Failure) -> None:
        if failure.tag != self._last_failure:
            logging.warning("commit failed shard=%d reason=%s", self.shard, failure.describe())
            self._context.timeline.record("commit_failed", str(self.shard), reason=failure.tag)
        self._last_failure = failure.tag

    def _settle(self, batch: Batch) -> Head | Failure | None:
        # Nothing else is committed or started before this is decided.
        while not self.lost:
            settled = settle_batch(self._context.table, self.head, batch)
            if isinstance(settled, TookEffect):
                return settled.head
            if isinstance(settled, HadNoEffect):
                self.head = settled.head
                return None
            if isinstance(settled, OwnershipLost):
                self._lose(settled.owner, settled.epoch)
                return settled
            self._context.sleep(COMMIT_EVERY_S)
        return None

    def _take_effect(self, builder: BatchBuilder, batch: Batch, head: Head, sent_s: float) -> None:
        ended_by_key = self._find_ended(batch)
        conflict = self.ledger.apply_all(batch.records)
        if conflict is not None:
            self._stop_on(conflict)
            return
        self._last_failure = ""
        self.head = head
        self.ledger.seq = head.seq
        self.workers.last_commit_sent_s = sent_s
        for act in builder.on_commit:
            act()
        for key in ended_by_key:
            self.moves.forget_run(key)
        self.policy.records_applied(batch.records, ended_by_key)

    def _find_ended(self, batch: Batch) -> dict[TaskKey, Run]:
        ended_by_key = {}
        for record in batch.records:
            if isinstance(record, Ended):
                for index in record.indexes:
                    key = TaskKey(record.group, index)
                    ended_by_key[key] = self.ledger.find_run(key)
        return ended_by_key

    def _resolve_conflict(self, conflict: Conflict) -> None:
        if conflict.key.startswith(ZONE_PREFIX):
            self._shared.refresh_zones()
            return
        if conflict.key.startswith(inbox_prefix(self.shard)):
            return
        now = read_head(self._context.table, self.shard)
        if isinstance(now, Head) and now.version != self.head.version:
            self._lose(now.owner, now.epoch)

    def _lose(self, owner: str, epoch: int) -> None:
        self.lost = True
        self.workers.close()
        self._context.timeline.record("shard_lost", str(self.shard), owner=owner, epoch=epoch)

    def _stop_on(self, conflict: LedgerConflict) -> None:
        # A batch that the ledger refuses is a fault of the planner: nothing of it may be committed.
        logging.error("batch refused shard=%d reason=%s", self.shard, conflict.describe())
        self._context.timeline.record(
            "batch_refused", str(self.shard), record=conflict.record, reason=conflict.reason
        )
        self.lost = True
        self.workers.close()


def find_first_seq(context: SchedulerContext, shard: int) -> int:
    """Return the number of the first journal row that was not trimmed, 1 where there is none."""
    rows = context.table.scan(journal_prefix(shard))
    if isinstance(rows, Failure) or not rows:
        return 1
    return int(rows[0].key.rpartition("/")[2])


def run_shard(
    shard: Shard,
    must_stop: Callable[[], bool],
    sleep: Callable[[float], None],
    wait: Callable[[Event, float], None],
) -> None:
    """Run an owned shard until it is lost or given up, with one task for each worker address."""
    links = spawn(run_worker_exchanges, shard.workers, sleep)
    while not shard.lost and not must_stop():
        # Cleared first, so that a wake-up during the turn counts for the next one.
        shard.woken.clear()
        while shard.turn():
            pass
        shard.refresh_upstreams()
        shard.store_snapshot()
        wait(shard.woken, COMMIT_EVERY_S)
    shard.give_up()
    shard.workers.close()
    links.join()
