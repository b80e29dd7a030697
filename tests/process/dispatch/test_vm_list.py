"""Tests of which silent workers count as ended according to the platform's list of VMs."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.vm_list import find_ended_workers
from laburnumswitch.process.dispatch.vm_list import MAX_DELAY_S
from laburnumswitch.process.dispatch.vm_list import SilentWorker
from laburnumswitch.process.dispatch.vm_list import VmList
from laburnumswitch.process.dispatch.vm_list import VmRow
from laburnumswitch.process.dispatch.vm_list import VmState

WORKER = SilentWorker("w1", "m1", known_since_s=10.0, last_answer_s=50.0)
OTHER_ROW = VmRow("m9", VmState.UP, "w9")
SENT_S = 51.0


def make_list(*rows, sent_s=SENT_S):
    return VmList(sent_s, {row.vm_id: row for row in (OTHER_ROW, *rows)})


def find(row, worker=WORKER, sent_s=SENT_S):
    return find_ended_workers([worker], make_list(row, sent_s=sent_s), None)


class TestEndedWorkers(TestCase):
    def test_worker_has_ended_if_its_vm_runs_nothing(self):
        for state in (VmState.DOWN, VmState.MOVING, VmState.IN_MAINTENANCE):
            self.assertThat(set(find(VmRow("m1", state, ""))), Equals({"w1"}))

    def test_worker_has_ended_if_its_vm_runs_another(self):
        self.assertThat(set(find(VmRow("m1", VmState.UP, "w2"))), Equals({"w1"}))

    def test_worker_behind_a_partition_has_not_ended(self):
        # Its VM still runs it, so its runs go on until their lease lapses.
        self.assertThat(find(VmRow("m1", VmState.UP, "w1")), Equals({}))

    def test_vm_that_names_no_worker_proves_nothing(self):
        self.assertThat(find(VmRow("m1", VmState.UP, "")), Equals({}))
        self.assertThat(find(VmRow("m1", VmState.UNKNOWN, "w2")), Equals({}))

    def test_list_requested_before_the_last_answer_proves_nothing(self):
        row = VmRow("m1", VmState.DOWN, "")
        self.assertThat(find(row, sent_s=49.9), Equals({}))
        self.assertThat(find(row, sent_s=50.0), Equals({}))

    def test_stale_list_may_still_say_what_the_vm_ran_before_the_worker(self):
        worker = WORKER._replace(known_since_s=49.0)
        for row in (VmRow("m1", VmState.DOWN, ""), VmRow("m1", VmState.UP, "w0")):
            self.assertThat(find(row, worker, sent_s=49.0 + MAX_DELAY_S), Equals({}))
            self.assertThat(set(find(row, worker, sent_s=49.1 + MAX_DELAY_S)), Equals({"w1"}))

    def test_worker_that_never_answered_this_owner_can_have_ended(self):
        worker = WORKER._replace(last_answer_s=0.0)
        self.assertThat(set(find(VmRow("m1", VmState.DOWN, ""), worker)), Equals({"w1"}))

    def test_worker_whose_vm_is_unknown_has_ended_after_two_readings_in_which_no_vm_runs_it(self):
        # The listing that an earlier owner stored does not name the VM.
        worker = WORKER._replace(vm_id="")
        down = VmRow("m1", VmState.DOWN, "")
        earlier, latest = make_list(down, sent_s=50.5), make_list(down)
        self.assertThat(find_ended_workers([worker], latest, None), Equals({}))
        self.assertThat(set(find_ended_workers([worker], latest, earlier)), Equals({"w1"}))
        for row in (
            VmRow("m1", VmState.UP, "w1"),
            VmRow("m1", VmState.UP, ""),
            VmRow("m1", VmState.UNKNOWN, ""),
        ):
            for readings in (
                (make_list(row), earlier),
                (latest, make_list(row, sent_s=50.5)),
            ):
                self.assertThat(find_ended_workers([worker], *readings), Equals({}))

    def test_vm_counts_as_removed_after_two_readings_without_it(self):
        without = make_list()
        earlier = make_list(sent_s=50.5)
        self.assertThat(find_ended_workers([WORKER], without, None), Equals({}))
        with_vm = make_list(VmRow("m1", VmState.UP, "w1"), sent_s=50.5)
        self.assertThat(find_ended_workers([WORKER], without, with_vm), Equals({}))
        before_answer = make_list(sent_s=49.0)
        self.assertThat(find_ended_workers([WORKER], without, before_answer), Equals({}))
        self.assertThat(set(find_ended_workers([WORKER], without, earlier)), Equals({"w1"}))

    def test_empty_list_proves_nothing(self):
        empty = VmList(SENT_S, {})
        self.assertThat(find_ended_workers([WORKER], empty, VmList(50.5, {})), Equals({}))
