"""Runs one owned shard: builds batches and commits them one at a time."""

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
from laburnumswitch.process.ledger.evacuation import cancel_jobs
from laburnumswitch.process.ledger.evacuation import Evacuation
from laburnumswitch.process.ledger.evacuation import retire_replicas
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import journal_prefix
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.inbox import inbox_prefix
from laburnumswitch.process.ledger.inbox import receive_chunks
from laburnumswitch.process.ledger.journal import Batch
from laburnumswitch.process.ledger.journal import commit_batch
from laburnumswitch.process.ledger.journal import HadNoEffect
from laburnumswitch.process.ledger.journal import settle_batch
from laburnumswitch.process.ledger.journal import TookEffect
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ledger import Run
from laburnumswitch.process.ledger.ownership import release_ownership
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.snapshot import SNAPSHOT_EVERY_BATCHES
from laburnumswitch.process.ledger.snapshot import snapshot_name
from laburnumswitch.process.ledger.snapshot import store_ledger
from laburnumswitch.process.ledger.snapshot import trimmed_keys
from laburnumswitch.process.ledger.worker_records import add_lapses
from laburnumswitch.process.ledger.worker_records import add_run_ends
from laburnumswitch.process.ledger.worker_records import add_withdrawals
from laburnumswitch.process.ledger.worker_records import add_worker_changes
from laburnumswitch.process.operating.zones import PREFIX as ZONE_PREFIX
from laburnumswitch.process.placing.policy import DEFAULT_POLICIES
from laburnumswitch.process.placing.policy import PolicySet
from laburnumswitch.process.placing.policy import ShardPolicy
from laburnumswitch.process.placing.usage_history import LearnedModels
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.lease import HEAD_REFRESH_INTERVAL_S
from laburnumswitch.process.workers.replicas import list_upstreams
from laburnumswitch.process.workers.shard_workers import run_worker_exchanges
from laburnumswitch.process.workers.shard_workers import ShardWorkers
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.upstream import Upstream

# Pause between cycles, and between attempts to settle an unknown commit.
CYCLE_INTERVAL_S = 0.25
INBOX_INTERVAL_S = 0.5
# Metric label by type name of the outcome, where they differ. The outcome is the new ``Head`` if
# the commit succeeded, and ``None`` if it was unknown at first and had no effect.
METRIC_OUTCOME_BY_TAG = {"Head": "Committed", "NoneType": "HadNoEffect"}


class CommittedTakeover(NamedTuple):
    """A committed takeover of a shard.

    :ivar sent_s: time before the takeover was sent.
    :ivar confirmed_s: time after its answer arrived.
    :ivar first_seq: number of the first journal row that has not been trimmed.
    """

    head: Head
    ledger: Ledger
    sent_s: float
    confirmed_s: float
    first_seq: int = 1


class Shard:
    """State of one owned shard.

    :ivar is_stopped: whether this entry has lost or released the shard, or has stopped it because
        of a batch that the ledger rejects.
    :ivar wake_event: starts the next cycle at once when set.
    :ivar upstream_revision: increases with each change of ``upstreams``.
    """

    def __init__(
        self,
        context: SchedulerContext,
        shared: SharedRows,
        takeover: CommittedTakeover,
        learned: LearnedModels,
        policies: PolicySet = DEFAULT_POLICIES,
    ) -> None:
        self.shard = takeover.head.shard
        self.head = takeover.head
        self.ledger = takeover.ledger
        self.is_stopped = False
        self.wake_event = Event()
        self.workers = ShardWorkers(
            context, shared, self.shard, self.head.epoch, self.ledger, takeover.sent_s
        )
        self.policy = ShardPolicy(context, learned, self.head, self.ledger, self.workers, policies)
        self._context = context
        self._shared = shared
        self.evacuation = Evacuation()
        self.upstreams: tuple[Upstream, ...] = ()
        self.upstream_revision = 0
        self._taken_over_s = takeover.confirmed_s
        self._inbox_due_s = takeover.confirmed_s
        self._received_s_by_group: dict[int, float] = {}
        self._trimmed_seq = takeover.first_seq - 1
        self._stored_snapshot = self.head.snapshot
        self._superseded_snapshot = 0
        self._zone_revision = shared.zones_revision
        self._batch_count = 0
        self._last_failure = ""

    def run_cycle(self) -> bool:
        """Build one batch and commit it.

        :return: whether the next cycle is due at once.
        """
        if self.is_stopped:
            return False
        now_s = self._context.clock()
        # Called only because it applies the latest list of VMs.
        self.workers.addresses()
        if self._zone_revision != self._shared.zones_revision:
            self._zone_revision = self._shared.zones_revision
            self.policy.mark_all_changed()
        self.workers.ending_tasks = set()
        batch = BatchBuilder(self.workers.ending_tasks)
        self._build_batch(batch, now_s)
        snapshot = self._stored_snapshot if self._stored_snapshot > self.head.snapshot else 0
        trimmed = trimmed_keys(self.shard, self._trimmed_seq, self.head.snapshot)
        batch.add_deletes(*trimmed)
        if batch.is_empty and not snapshot:
            self._touch_head(now_s)
            return False
        conflict = self.ledger.verify(batch.records)
        if conflict is not None:
            self._stop_on_rejection(conflict)
            return False
        self._add_zone_conditions(batch)
        if not self._commit(batch, snapshot):
            return False
        self._trimmed_seq += len(trimmed)
        return batch.urgent

    def wake(self) -> None:
        """Start a cycle at once that reads the inbox."""
        self._inbox_due_s = float("-inf")
        self.wake_event.set()

    def refresh_upstreams(self) -> None:
        """Update the list of running replicas, and increase its revision if it changed.

        The revision stays 0 until all responsive workers with replicas have reported to this owner.
        """
        if not self.upstream_revision and not self.workers.knows_running_replicas():
            return
        upstreams = list_upstreams(self.ledger, self.workers, self.evacuation)
        if upstreams != self.upstreams or not self.upstream_revision:
            self.upstreams = upstreams
            self.upstream_revision += 1

    def release_ownership(self) -> None:
        """Release the shard, so that any entry may take it over at once."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self.workers.close()
        outcome = release_ownership(self._context.table, self.head)
        self._context.timeline.record(
            "shard_released", str(self.shard), outcome=type(outcome).__name__
        )

    def store_snapshot(self) -> None:
        """Store a snapshot if one is due, and delete the one that the head no longer uses.

        A later batch records the new snapshot in the head.
        """
        if self._superseded_snapshot and self._superseded_snapshot < self.head.snapshot:
            self._context.objects.remove(snapshot_name(self.shard, self._superseded_snapshot))
            self._superseded_snapshot = 0
        newest = max(self._stored_snapshot, self.head.snapshot)
        if self.is_stopped or self.ledger.seq - newest < SNAPSHOT_EVERY_BATCHES:
            return
        stored = store_ledger(self._context.objects, self.shard, self.ledger)
        if not isinstance(stored, Failure):
            self._superseded_snapshot = self.head.snapshot
            self._stored_snapshot = stored

    def _build_batch(self, batch: BatchBuilder, now_s: float) -> None:
        workers = self.workers
        state_by_worker_id = workers.state_by_worker_id
        states = state_by_worker_id.values()
        add_run_ends(batch, self.ledger, states, self.policy.decide_outcome)
        add_lapses(batch, self.ledger, state_by_worker_id, self._taken_over_s, now_s)
        add_withdrawals(batch, self.ledger, states, workers.must_drain)
        add_worker_changes(batch, self.ledger, workers.shard_vms, state_by_worker_id)
        cancel_jobs(batch, self.ledger, self._shared.cancelled_job_ids, state_by_worker_id, now_s)
        self.evacuation.evacuate_workers(
            batch,
            self.ledger,
            state_by_worker_id,
            workers.must_drain,
            workers.is_unresponsive,
            now_s,
        )
        self.evacuation.drain_last_runs(self.ledger, state_by_worker_id, workers.must_drain, now_s)
        retire_replicas(
            batch, self.ledger, self._shared, self._received_s_by_group, self._taken_over_s
        )
        batch.add_ended_records()
        self._read_inbox(batch, now_s)
        self.policy.plan(batch, now_s)

    def _read_inbox(self, batch: BatchBuilder, now_s: float) -> None:
        if now_s < self._inbox_due_s:
            return
        self._inbox_due_s = now_s + INBOX_INTERVAL_S
        rows = self._context.table.scan(inbox_prefix(self.shard))
        if isinstance(rows, Failure):
            return
        job_ids = receive_chunks(batch, rows)

        def record_received() -> None:
            for job_id in job_ids:
                group = self.ledger.find_group(job_id)
                if group is not None:
                    self._received_s_by_group[group.number] = now_s

        if job_ids:
            batch.on_commit.append(record_received)

    def _add_zone_conditions(self, batch: BatchBuilder) -> None:
        for record in batch.records:
            if isinstance(record, Started):
                worker = self.ledger.worker_by_number[record.worker]
                batch.add_condition(self._shared.zone_condition(worker.availability_zone))

    def _touch_head(self, now_s: float) -> None:
        if now_s - self.workers.last_commit_sent_s >= HEAD_REFRESH_INTERVAL_S:
            self._commit(BatchBuilder(), 0)

    def _commit(self, builder: BatchBuilder, snapshot: int) -> bool:
        self._batch_count += 1
        batch_id = f"{self._context.vm_id}-{self.head.epoch}-{self._batch_count}"
        is_touch = builder.is_empty and not snapshot
        batch = builder.build(self.head.batch if is_touch else batch_id, snapshot)
        sent_s = self._context.clock()
        outcome = commit_batch(self._context.table, self.head, batch)
        if isinstance(outcome, OutcomeUnknown):
            self._context.timeline.record("commit_unknown", str(self.shard), batch=batch_id)
            outcome = self._settle_unknown_commit(batch)
        tag = outcome.tag if isinstance(outcome, Failure) else type(outcome).__name__
        self._context.note_commit(
            METRIC_OUTCOME_BY_TAG.get(tag, tag), self._context.clock() - sent_s
        )
        if isinstance(outcome, Head):
            self._apply_commit(builder, batch, outcome, sent_s)
            return not self.is_stopped
        self.policy.batch_failed()
        if isinstance(outcome, Conflict):
            self._handle_version_conflict(outcome)
        elif isinstance(outcome, Failure) and not isinstance(outcome, OwnershipLost):
            self._log_failure(outcome)
        return False

    def _log_failure(self, failure: Failure) -> None:
        if failure.tag != self._last_failure:
            logging.warning("commit failed shard=%d reason=%s", self.shard, failure.describe())
            self._context.timeline.record("commit_failed", str(self.shard), reason=failure.tag)
        self._last_failure = failure.tag

    def _settle_unknown_commit(self, batch: Batch) -> Head | Failure | None:
        # Nothing else is committed or started until the outcome is known.
        while not self.is_stopped:
            settled = settle_batch(self._context.table, self.head, batch)
            if isinstance(settled, TookEffect):
                return settled.head
            if isinstance(settled, HadNoEffect):
                self.head = settled.head
                return None
            if isinstance(settled, OwnershipLost):
                self._mark_lost(settled.owner, settled.epoch)
                return settled
            self._context.sleep(CYCLE_INTERVAL_S)
        return None

    def _apply_commit(self, builder: BatchBuilder, batch: Batch, head: Head, sent_s: float) -> None:
        ended_by_key = self._find_ended(batch)
        conflict = self.ledger.apply_all(batch.records)
        if conflict is not None:
            self._stop_on_rejection(conflict)
            return
        self._last_failure = ""
        self.head = head
        self.ledger.seq = head.seq
        self.workers.last_commit_sent_s = sent_s
        for callback in builder.on_commit:
            callback()
        for key in ended_by_key:
            self.evacuation.forget_run(key)
        self.policy.records_applied(batch.records, ended_by_key)

    def _find_ended(self, batch: Batch) -> dict[LedgerTaskKey, Run]:
        ended_by_key = {}
        for record in batch.records:
            if isinstance(record, Ended):
                for index in record.indexes:
                    key = LedgerTaskKey(record.group, index)
                    ended_by_key[key] = self.ledger.find_run(key)
        return ended_by_key

    def _handle_version_conflict(self, conflict: Conflict) -> None:
        if conflict.key.startswith(ZONE_PREFIX):
            self._shared.refresh_zones()
            return
        if conflict.key.startswith(inbox_prefix(self.shard)):
            return
        current_head = read_head(self._context.table, self.shard)
        if isinstance(current_head, Head) and current_head.version != self.head.version:
            self._mark_lost(current_head.owner, current_head.epoch)

    def _mark_lost(self, owner: str, epoch: int) -> None:
        self.is_stopped = True
        self.workers.close()
        self._context.timeline.record("shard_lost", str(self.shard), owner=owner, epoch=epoch)

    def _stop_on_rejection(self, conflict: LedgerConflict) -> None:
        # A batch that the ledger rejects is a bug, so the shard is stopped. The batch is not
        # committed if ``verify`` rejects it, but it already is if ``apply_all`` does.
        logging.error(
            "batch rejected by ledger shard=%d reason=%s", self.shard, conflict.describe()
        )
        self._context.timeline.record(
            "batch_refused", str(self.shard), record=conflict.record, reason=conflict.reason
        )
        self.is_stopped = True
        self.workers.close()


def find_first_seq(context: SchedulerContext, shard: int) -> int:
    """Return the number of the first journal row that was not trimmed, or 1 if there is none."""
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
    """Run an owned shard until it is lost or released, and exchange messages with its workers."""
    exchanges = spawn(run_worker_exchanges, shard.workers, sleep)
    while not shard.is_stopped and not must_stop():
        # Cleared before the cycle, so that a wake-up during the cycle triggers another one.
        shard.wake_event.clear()
        while shard.run_cycle():
            pass
        shard.refresh_upstreams()
        shard.store_snapshot()
        wait(shard.wake_event, CYCLE_INTERVAL_S)
    shard.release_ownership()
    shard.workers.close()
    exchanges.join()
