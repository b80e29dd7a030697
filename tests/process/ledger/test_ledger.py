"""The ledger's state is determined by its records; journal formats."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import FormatUnknown
from laburnumswitch.exceptions import JournalBroken
from laburnumswitch.exceptions import LedgerConflict
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.records import Cancelled
from laburnumswitch.process.ledger.records import ChunkTaken
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import Forgotten
from laburnumswitch.process.ledger.records import GivenAway
from laburnumswitch.process.ledger.records import JournalRow
from laburnumswitch.process.ledger.records import LateFinished
from laburnumswitch.process.ledger.records import read_journal_row
from laburnumswitch.process.ledger.records import RecordedOutcome
from laburnumswitch.process.ledger.records import Replaced
from laburnumswitch.process.ledger.records import required_format
from laburnumswitch.process.ledger.records import Retired
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.records import WorkerGone
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.ledger.snapshot import decode_ledger
from laburnumswitch.process.ledger.snapshot import encode_ledger
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import PendingTask
from laburnumswitch.size import Size
from tests.process.sharding.bench import make_work

EXAMPLES = 300
small_ints = st.integers(0, 3)
indexes = st.lists(small_ints, min_size=1, max_size=2, unique=True).map(tuple)
works = st.builds(
    lambda job, cpu, retries, service: encode_task_spec(
        make_work(f"j{job}@1", Size(cpu * 500, 500), retries=retries, service=service)
    ),
    small_ints,
    st.integers(1, 4),
    st.integers(0, 1),
    st.sampled_from(("", "s")),
)
records = st.one_of(
    st.builds(
        lambda n, boot, cpu: WorkerSeen(f"w{n}", f"b{boot}", "a", "r", Size(cpu * 500, 4_000)),
        small_ints,
        st.integers(0, 1),
        st.integers(1, 4),
    ),
    st.builds(WorkerGone, small_ints),
    st.builds(
        lambda work, first, count, again: ChunkTaken("c", work, first, count, again),
        works,
        small_ints,
        small_ints,
        st.lists(
            st.builds(PendingTask, small_ints, st.integers(1, 3), small_ints, small_ints),
            max_size=1,
        ).map(tuple),
    ),
    st.builds(
        lambda worker, group, index: Started(worker, group, index), small_ints, small_ints, indexes
    ),
    st.builds(
        lambda worker, group, index, run: Started(worker, group, (index,), (run,)),
        small_ints,
        small_ints,
        small_ints,
        st.integers(1, 3),
    ),
    st.builds(Ended, st.sampled_from(RecordedOutcome), small_ints, indexes),
    st.builds(Cancelled, indexes),
    st.builds(
        lambda group, first, count: GivenAway(group, first, count),
        small_ints,
        small_ints,
        small_ints,
    ),
    st.builds(Replaced, small_ints, indexes),
    st.builds(Retired, small_ints, indexes),
    st.builds(Forgotten, indexes),
    st.builds(LateFinished, small_ints, small_ints, st.integers(0, 2)),
)


def encoded_state(ledger):
    return decode(encode_ledger(ledger))


class TestRecords(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.lists(records, max_size=60), st.integers(0, 60))
    def test_snapshot_and_replay_give_the_same_state(self, stream, cut):
        ledger = Ledger()
        applied = [record for record in stream if ledger.apply(record) is None]
        replayed = Ledger()
        self.assertThat(replayed.apply_all(applied[:cut]), Is(None))
        replayed = decode_ledger("snapshot", encode_ledger(replayed))
        row = decode(encode(JournalRow(1, "b", tuple(applied[cut:]))))
        rest = read_journal_row("journal", row)
        self.assertThat(replayed.apply_all(rest.records), Is(None))
        self.assertThat(encoded_state(replayed), Equals(encoded_state(ledger)))

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.lists(records, max_size=80))
    def test_start_never_allocates_more_than_a_workers_capacity(self, stream):
        ledger = Ledger()
        for record in stream:
            before = encoded_state(ledger)
            verified = ledger.verify((record,))
            if ledger.apply(record) is not None:
                self.assertThat(encoded_state(ledger), Equals(before))
                continue
            self.assertThat(verified, Is(None))
            if isinstance(record, Started):
                worker = ledger.worker_by_number[record.worker]
                self.assertThat(worker.allocated.fits(worker.capacity), Is(True))
            for worker in ledger.worker_by_number.values():
                sizes = [ledger.group_by_number[key.group].task_spec.size for key in worker.runs]
                self.assertThat(sum(size.cpu_millis for size in sizes), Equals(worker.allocated[0]))

    def test_batch_that_overcommits_a_worker_fails_verification(self):
        ledger = Ledger()
        ledger.apply(WorkerSeen("w", "b", "a", "r", Size(1_000, 1_000)))
        ledger.apply(ChunkTaken("c", encode_task_spec(make_work()), 0, 3))
        starts = (Started(0, 0, (0,)), Started(0, 0, (1,)))
        self.assertThat(ledger.verify(starts), IsInstance(LedgerConflict))
        self.assertThat(ledger.verify((starts[0], starts[0])), IsInstance(LedgerConflict))

    def test_late_finish_applies_only_while_the_task_is_pending_for_the_next_run(self):
        late = LateFinished(0, 0, 1)
        again = PendingTask(0, 2, 0, 0)
        for before in (
            (ChunkTaken("c", encode_task_spec(make_work()), 0, 1),),
            (ChunkTaken("c", encode_task_spec(make_work()), 0, 0, (PendingTask(0, 3, 0, 0),)),),
            (ChunkTaken("c", encode_task_spec(make_work(service="s")), 0, 0, (again,)),),
            *(
                (ChunkTaken("c", encode_task_spec(make_work()), 0, 0, (again,)), then)
                for then in (
                    Started(0, 0, (0,), (2,)),
                    GivenAway(0, 0, 0, (0,)),
                    Cancelled((0,)),
                    late,
                )
            ),
        ):
            ledger = Ledger()
            ledger.apply(WorkerSeen("w", "b", "a", "r", Size(1_000, 1_000)))
            self.assertThat(ledger.apply_all(before), Is(None))
            self.assertThat(ledger.verify((late,)), IsInstance(LedgerConflict))
            self.assertThat(ledger.apply(late), IsInstance(LedgerConflict))

    def test_start_of_a_task_that_finished_late_in_the_same_batch_is_refused(self):
        ledger = Ledger()
        ledger.apply(WorkerSeen("w", "b", "a", "r", Size(1_000, 1_000)))
        ledger.apply(
            ChunkTaken("c", encode_task_spec(make_work()), 0, 0, (PendingTask(0, 2, 0, 0),))
        )
        batch = (LateFinished(0, 0, 1), Started(0, 0, (0,), (2,)))
        self.assertThat(ledger.verify(batch), IsInstance(LedgerConflict))
        self.assertThat(ledger.verify(batch[::-1]), IsInstance(LedgerConflict))
        self.assertThat(ledger.verify((batch[0],)), Is(None))

    def test_only_rows_with_a_late_finish_have_the_newer_format(self):
        self.assertThat(required_format((Forgotten((0,)),)), Equals(1))
        row = JournalRow(
            1, "b", (LateFinished(0, 0, 1),), required_format((LateFinished(0, 0, 1),))
        )
        self.assertThat(row.format, Equals(2))
        self.assertThat(read_journal_row("k", decode(encode(row))), Equals(row))

    def test_newer_format_and_missing_row_are_refused_by_type(self):
        newer = read_journal_row("k", {"format": 99, "epoch": 1, "batch": "b", "records": []})
        self.assertThat(newer, IsInstance(FormatUnknown))
        self.assertThat(read_journal_row("k", None), IsInstance(JournalBroken))

    def test_fields_of_a_newer_version_survive_a_snapshot(self):
        ledger = Ledger()
        work = {**encode_task_spec(make_work()), "later": [1]}
        ledger.apply(ChunkTaken("c", work, 0, 1))
        raw_task_spec = decode_ledger("s", encode_ledger(ledger)).find_group("j@1").raw_task_spec
        self.assertThat(raw_task_spec["later"], Equals([1]))
