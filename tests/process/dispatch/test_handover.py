"""Tests of the rows in which an owner tells its successor about the workers."""

from base64 import b64encode

from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.dispatch.handover import collect_handover
from laburnumswitch.process.dispatch.handover import HandedOverRun
from laburnumswitch.process.dispatch.handover import HandoverClock
from laburnumswitch.process.dispatch.handover import MAX_ROWS
from laburnumswitch.process.dispatch.handover import RUNS_PER_ROW
from laburnumswitch.process.dispatch.handover import split_handover
from laburnumswitch.process.dispatch.handover import WorkerHandover
from laburnumswitch.process.dispatch.handover import WORKERS_PER_ROW
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.rows.table import Row

ROW_LIMIT_BYTES = 65_536
TRANSACTION_LIMIT_BYTES = 1_000_000


def make_worker(number, run_count):
    runs = (
        HandedOverRun(TaskKey(f"{number:08x}{index:08x}", 999, 9, 999), 990_001, "0" * 16)
        for index in range(run_count)
    )
    return WorkerHandover(f"i-{number:010x}", 6.1224489, False, tuple(runs))


def store(rows):
    return [Row(f"handover/{number}", 1, row) for number, row in enumerate(rows)]


class TestHandover(TestCase):
    def setUp(self):
        super().setUp()
        self.malformed = []

    def collect(self, rows, acted_epoch):
        return collect_handover(rows, (), acted_epoch, self.malformed.append).by_worker_id

    def test_all_workers_arrive(self):
        workers = [make_worker(number, 90) for number in range(30)]
        rows = split_handover(7, workers)
        self.assertThat(len(rows) > 1, Equals(True))
        expected = {worker.worker_id: worker for worker in workers}
        self.assertThat(self.collect(store(rows), 7), Equals(expected))

    def test_handover_of_another_epoch_is_out_of_date(self):
        rows = split_handover(7, [make_worker(1, 3)])
        self.assertThat(self.collect(store(rows), 8), Equals({}))

    def test_handover_of_an_owner_that_sent_no_commands_is_in_force(self):
        """The owner was told everything by its predecessor, which did send commands."""
        workers = [make_worker(1, 3)]
        rows = split_handover(7, workers)
        self.assertThat(list(self.collect(store(rows), 5).values()), Equals(workers))

    def test_incomplete_later_handover_is_not_replaced_by_an_earlier_one(self):
        later = split_handover(8, [make_worker(number, 300) for number in range(9)])
        rows = store(later)[1:] + store(split_handover(7, [make_worker(1, 3)]))
        self.assertThat(self.collect(rows, 7), Equals({}))

    def test_time_of_writing_counts_for_its_own_handover_only(self):
        """An owner of an earlier version leaves the time that a later one has written."""
        rows = store(split_handover(7, [make_worker(1, 3)]))
        for epoch, expected in ((7, 123.5), (6, None)):
            clock_rows = [Row("handover-clock/0", 2, HandoverClock(epoch, 123.5))]
            found = collect_handover(rows, clock_rows, 7, self.malformed.append)
            self.assertThat(found.written_s, Equals(expected))

    def test_rows_left_by_a_larger_handover_are_ignored(self):
        earlier = split_handover(7, [make_worker(number, 300) for number in range(9)])
        later = split_handover(8, [make_worker(1, 3)])
        rows = store(later) + store(earlier)[len(later) :]
        self.assertThat(
            list(self.collect(rows, 8)),
            Equals([make_worker(1, 0).worker_id]),
        )

    def test_incomplete_handover_counts_as_none(self):
        rows = split_handover(7, [make_worker(number, 300) for number in range(9)])
        self.assertThat(self.collect(store(rows)[:-1], 7), Equals({}))

    def test_malformed_row_counts_as_none(self):
        self.assertThat(
            self.collect([Row("handover/0", 1, ["later", "format"])], 7),
            Equals({}),
        )
        self.assertThat([each.key for each in self.malformed], Equals(["handover/0"]))

    def test_rows_and_transaction_stay_within_the_limits_of_the_store(self):
        largest = WORKERS_PER_ROW
        workers = [make_worker(number, RUNS_PER_ROW // largest) for number in range(largest)]
        (row,) = split_handover(7, workers)
        size = len(encode(row))
        self.assertThat(size, LessThan(ROW_LIMIT_BYTES))
        self.assertThat(MAX_ROWS * len(b64encode(encode(row))), LessThan(TRANSACTION_LIMIT_BYTES))

    def test_worker_whose_runs_exceed_a_row_leaves_the_handover_out(self):
        """The store would refuse every attempt to release the term."""
        self.assertThat(split_handover(7, [make_worker(1, RUNS_PER_ROW + 1)]), Equals(()))

    def test_handover_that_exceeds_a_transaction_is_left_out(self):
        workers = [make_worker(number, RUNS_PER_ROW) for number in range(MAX_ROWS + 1)]
        self.assertThat(split_handover(7, workers), Equals(()))
