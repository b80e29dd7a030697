"""Runs the functions of the journal, the ledger and the zones along traces of the model."""

from typing import NamedTuple

from gevent import Greenlet
from gevent import sleep
from gevent import spawn
from gevent.event import AsyncResult

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.ledger.journal import Batch
from laburnumswitch.process.ledger.journal import commit_batch
from laburnumswitch.process.ledger.journal import HadNoEffect
from laburnumswitch.process.ledger.journal import replay_journal
from laburnumswitch.process.ledger.journal import settle_batch
from laburnumswitch.process.ledger.journal import TookEffect
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ownership import take_over
from laburnumswitch.process.ledger.records import ChunkTaken
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.operating.zones import set_zone
from laburnumswitch.process.operating.zones import zone_key
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size
from spec.model import Step
from spec.ownership import Batch as ModelBatch
from spec.ownership import SIZE_BY_TASK
from spec.ownership import State
from spec.ownership import TAKE_OVER
from spec.ownership import WORKER_CAPACITY
from standin.table import MemoryTable

SHARD = 0
ZONE = "z1"
BOOTSTRAP_ROWS = 1


class Divergence(NamedTuple):
    """A step at which the implementation differs from the trace."""

    action: str
    reason: str


class _PendingCommit(NamedTuple):
    transaction: Transaction
    answer: AsyncResult


class _DeferredTable:
    """Blocks a commit until the driver decides its outcome."""

    def __init__(self, table: MemoryTable) -> None:
        self.pending_commit: _PendingCommit | None = None
        self._table = table

    def read(self, keys):
        return self._table.read(keys)

    def commit(self, transaction):
        self.pending_commit = _PendingCommit(transaction, AsyncResult())
        return self.pending_commit.answer.get()


class _Entry:
    def __init__(self) -> None:
        self.head: Head | None = None
        self.ledger = Ledger()
        self.batch: Batch | None = None
        self.greenlet: Greenlet | None = None


class ShardDriver:
    """Two entries on one table, advanced step by step along a trace."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self._entries = [_Entry(), _Entry()]
        self._pending_by_batch: dict[ModelBatch, _PendingCommit] = {}
        self._bootstrap()

    def follow(self, trace: tuple[Step, ...]) -> Divergence | None:
        """Execute the steps of a trace and return the first divergence."""
        for before, step in zip(trace, trace[1:], strict=False):
            reason = _STEP_BY_ACTION[step.action](self, before.state, step.state)
            reason = reason or self._compare(step.state)
            if reason:
                return Divergence(step.action, reason)
        return None

    def _bootstrap(self) -> None:
        seen = WorkerSeen("w1", "boot", ZONE, "r1", Size(WORKER_CAPACITY, WORKER_CAPACITY))
        chunks = [
            ChunkTaken(f"c{task}", encode_task_spec(_task_spec(task, size)), 0, 1)
            for task, size in SIZE_BY_TASK.items()
        ]
        head = read_head(self.table, SHARD)
        commit_batch(self.table, head, Batch("bootstrap", (seen, *chunks)))

    def _compare(self, state: State) -> str:
        head = read_head(self.table, SHARD)
        owner = f"e{state.head.owner}" if state.head.epoch else ""
        expected = (state.head.epoch, owner, len(state.journal) + BOOTSTRAP_ROWS)
        found = (head.epoch, head.owner, head.seq)
        if found != expected:
            return f"head {found} instead of {expected}"
        ledger = replay_journal(self.table, head, Ledger())
        if not isinstance(ledger, Ledger):
            return ledger.describe()
        running = {group.number for group in ledger.group_by_number.values() if group.running}
        if running != {row.task for row in state.journal}:
            return f"running {running}"
        return ""

    def _take_over(self, before: State, after: State) -> str:
        batch = _sent_batch(before, after)
        entry = self._entries[batch.entry]
        head = read_head(self.table, SHARD)
        self._send(batch, lambda table: take_over(table, head, f"e{batch.entry}"))
        entry.batch = None
        return ""

    def _send_start(self, before: State, after: State) -> str:
        batch = _sent_batch(before, after)
        entry = self._entries[batch.entry]
        records = (Started(0, batch.task, (0,)),)
        refused = entry.ledger.verify(records)
        if refused is not None:
            return refused.describe()
        version = self.table.read((zone_key(ZONE),))[zone_key(ZONE)].version
        entry.batch = Batch(str(batch), records, (Condition(zone_key(ZONE), version),))
        head, real_batch = entry.head, entry.batch
        self._send(batch, lambda table: commit_batch(table, head, real_batch))
        return ""

    def _send(self, batch: ModelBatch, call) -> None:
        deferred_table = _DeferredTable(self.table)
        self._entries[batch.entry].greenlet = spawn(call, deferred_table)
        sleep(0)
        self._pending_by_batch[batch] = deferred_table.pending_commit

    def _deliver_commit(self, before: State, after: State) -> str:
        (batch,) = before.in_flight - after.in_flight
        pending = self._pending_by_batch.pop(batch)
        outcome = self.table.commit(pending.transaction)
        expected = Committed if after.head != before.head else Conflict
        if not isinstance(outcome, expected):
            return f"{outcome} instead of {expected.__name__}"
        waiting = before.entries[batch.entry]
        if waiting.batch == batch and not waiting.outcome_unknown:
            pending.answer.set(outcome)
            self._receive_answer(batch)
        return ""

    def _receive_answer(self, batch: ModelBatch) -> None:
        entry = self._entries[batch.entry]
        outcome = entry.greenlet.get()
        if not isinstance(outcome, Head):
            entry.head = None
            return
        self._record_ownership(entry, outcome, batch)

    def _record_ownership(self, entry: _Entry, head: Head, batch: ModelBatch) -> None:
        entry.head = head
        if batch.task == TAKE_OVER:
            entry.ledger = replay_journal(self.table, head, Ledger())
        else:
            entry.ledger.apply_all(entry.batch.records)

    def _refuse_commit(self, before: State, after: State) -> str:
        (batch,) = before.in_flight - after.in_flight
        self._pending_by_batch.pop(batch).answer.set(Unavailable("down"))
        outcome = self._entries[batch.entry].greenlet.get()
        return "" if isinstance(outcome, Unavailable) else f"{outcome}"

    def _lose_answer(self, before: State, after: State) -> str:
        index = _changed_entry(before, after)
        batch = before.entries[index].batch
        self._pending_by_batch[batch].answer.set(OutcomeUnknown("lost"))
        outcome = self._entries[index].greenlet.get()
        return "" if isinstance(outcome, OutcomeUnknown) else f"{outcome}"

    def _lose_commit(self, before: State, after: State) -> str:
        (batch,) = before.in_flight - after.in_flight
        del self._pending_by_batch[batch]
        return ""

    def _settle(self, before: State, after: State) -> str:
        index = _changed_entry(before, after)
        entry, batch = self._entries[index], before.entries[index].batch
        if batch.task == TAKE_OVER:
            head = read_head(self.table, SHARD)
            if (head.owner, head.epoch) == (f"e{index}", batch.epoch):
                self._record_ownership(entry, head, batch)
            return ""
        settled = settle_batch(self.table, entry.head, entry.batch)
        acknowledged = batch in after.acknowledged
        if isinstance(settled, TookEffect):
            self._record_ownership(entry, settled.head, batch)
            return (
                ""
                if acknowledged
                else "the batch took effect, but the trace does not acknowledge it"
            )
        if isinstance(settled, HadNoEffect):
            entry.head = settled.head
        else:
            entry.head = None
        # An owner that lost the shard need not know whether its batch took effect.
        if acknowledged and batch not in after.journal:
            return f"{settled}"
        return ""

    def _crash(self, before: State, after: State) -> str:
        if before.entries == after.entries:
            return ""
        index = _changed_entry(before, after)
        entry = self._entries[index]
        if entry.greenlet is not None:
            entry.greenlet.kill()
        self._entries[index] = _Entry()
        return ""

    def _zone_out(self, before: State, after: State) -> str:
        set_zone(self.table, ZONE, "out", "operator")
        return ""


def _changed_entry(before: State, after: State) -> int:
    return 0 if before.entries[0] != after.entries[0] else 1


def _sent_batch(before: State, after: State) -> ModelBatch:
    # A batch may be sent again while a copy is in flight; the model does not distinguish the two.
    return after.entries[_changed_entry(before, after)].batch


def _task_spec(task: int, size: int) -> TaskSpec:
    return TaskSpec(f"job{task}@1", f"job{task}", "team", ("run",), Size(size, size))


_STEP_BY_ACTION = {
    "rival_takes_over": ShardDriver._take_over,
    "silent_owner_replaced": ShardDriver._take_over,
    "send_start": ShardDriver._send_start,
    "commit_lands": ShardDriver._deliver_commit,
    "settle": ShardDriver._settle,
    "store_refuses": ShardDriver._refuse_commit,
    "answer_lost": ShardDriver._lose_answer,
    "commit_lost": ShardDriver._lose_commit,
    "entry_crashes": ShardDriver._crash,
    "zone_out": ShardDriver._zone_out,
}
