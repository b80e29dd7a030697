"""Tests of the check of recorded runs, which must report each violation and nothing else."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from standin.fleet.run_records import collect_runs
from standin.fleet.run_records import find_violations
from standin.fleet.worker import spec_checksum

FIRST = "j.0.0.0"
SECOND = "j.0.1.0"
SUBMISSION = Submission("j", "q", "", (Step(1), Step(1, after=(0,))), 0.0)


def boot(worker="w1", at=0.0, born=1):
    return {"fact": "boot", "at": at, "worker": worker, "born": born, "rate": 1.0}


def start(at, run=1, task=FIRST, spec="", checkpoint=""):
    fields = {"fence": 1, "spec": spec_checksum(spec), "checkpoint": checkpoint}
    return {"fact": "start", "at": at, "task": task, "run": run, **fields}


def late(at, run=1, task=FIRST):
    return {"fact": "late", "at": at, "task": task, "run": run}


def end(at, how="done", run=1, task=FIRST):
    return {"fact": "end", "at": at, "task": task, "run": run, "how": how, "number": 1}


def noted(at, run=1, task=FIRST):
    return {"fact": "noted", "at": at, "task": task, "run": run, "number": 1}


def plain(fact, at):
    return {"fact": fact, "at": at}


def found(*facts_by_worker, completed_s_by_id=None, submission_by_id=None):
    runs = [run for facts in facts_by_worker for run in collect_runs(facts)]
    submission_by_id = {"j": SUBMISSION} if submission_by_id is None else submission_by_id
    violations = find_violations(runs, submission_by_id, completed_s_by_id or {})
    return [violation.guarantee for violation in violations]


class TestRunsAtTheSameTime(TestCase):
    def test_overlap_on_two_workers_is_reported(self):
        first = [boot(), start(1.0), end(3.0, "stopped")]
        second = [boot("w2"), start(2.999, run=2), end(4.0, "stopped", run=2)]
        self.assertThat(found(first, second), Equals(["twice"]))

    def test_overlap_on_one_worker_is_reported(self):
        facts = [boot(), start(1.0), start(2.0, run=2), end(3.0, "stopped")]
        self.assertThat(found(facts), Equals(["twice"]))

    def test_run_that_never_ended_overlaps_every_later_one(self):
        self.assertThat(
            found([boot(), start(1.0)], [boot("w2"), start(9.0, run=2)]), Equals(["twice"])
        )

    def test_start_at_the_end_of_the_earlier_run_is_allowed(self):
        first = [boot(), start(1.0), end(3.0, "stopped")]
        second = [boot("w2"), start(3.0, run=2)]
        self.assertThat(found(first, second), Equals([]))

    def test_run_ends_when_its_process_is_gone(self):
        first = [boot(), start(1.0), plain("gone", 3.0), boot(at=3.2, born=2)]
        self.assertThat(found(first, [boot("w2"), start(3.1, run=2)]), Equals([]))
        self.assertThat(found(first, [boot("w2"), start(2.9, run=2)]), Equals(["twice"]))

    def test_run_of_the_next_process_start_is_another_one(self):
        first = [boot(), start(1.0), plain("gone", 2.0), boot(at=2.1, born=2), start(3.0, run=2)]
        second = [boot("w2"), start(3.5, run=3)]
        self.assertThat(found(first, second), Equals(["twice"]))

    def test_paused_worker_is_not_up(self):
        first = [boot(), start(1.0), plain("paused", 2.0), plain("resumed", 5.0)]
        lapsed = [*first, end(2.0, "lapsed")]
        stopped_on_time = [boot("w2"), start(3.0, run=2), end(4.9, "stopped", run=2)]
        self.assertThat(found(lapsed, stopped_on_time), Equals([]))
        self.assertThat(found(first, stopped_on_time), Equals([]))

    def test_run_that_works_on_after_a_pause_is_reported(self):
        first = [boot(), start(1.0), plain("paused", 2.0), plain("resumed", 5.0), end(5.5)]
        second = [boot("w2"), start(3.0, run=2), end(5.2, "stopped", run=2)]
        self.assertThat(found(first, second), Equals(["twice"]))

    def test_overlap_before_and_between_pauses_is_reported(self):
        first = [
            boot(),
            start(1.0),
            plain("paused", 3.0),
            plain("resumed", 5.0),
            end(9.0, "lapsed"),
        ]
        before = [boot("w2"), start(2.9, run=2), end(4.0, "stopped", run=2)]
        self.assertThat(found(first, before), Equals(["twice"]))
        other = [boot("w2"), start(3.5, run=2), plain("paused", 4.0), plain("resumed", 6.0)]
        self.assertThat(found(first, [*other, end(6.0, "lapsed", run=2)]), Equals([]))
        self.assertThat(found(first, [*other, end(6.1, "lapsed", run=2)]), Equals(["twice"]))

    def test_late_order_is_no_excuse(self):
        first = [boot(), late(2.0), start(2.0), end(3.0, "stopped")]
        runs = collect_runs(first)
        self.assertThat([run.is_late for run in runs], Equals([True]))
        self.assertThat(found(first, [boot("w2"), start(1.0, run=2)]), Equals(["twice"]))


class TestStartAfterTheEnd(TestCase):
    def test_start_after_a_noted_end_is_reported(self):
        first = [boot(), start(1.0), end(2.0), noted(2.5)]
        self.assertThat(found(first, [boot("w2"), start(3.0, run=2)]), Equals(["twice"]))

    def test_start_before_the_end_is_noted_is_reported(self):
        first = [boot(), start(1.0), end(2.0), noted(9.0)]
        self.assertThat(found(first, [boot("w2"), start(3.0, run=2)]), Equals(["twice"]))

    def test_end_that_was_never_noted_may_be_followed_by_a_start(self):
        first = [boot(), start(1.0), end(2.0), plain("gone", 2.5)]
        self.assertThat(found(first, [boot("w2"), start(3.0, run=2)]), Equals([]))

    def test_end_noted_after_a_lapse_may_be_followed_by_a_start(self):
        first = [boot(), start(1.0), end(2.0), plain("lapse", 2.5), noted(9.0)]
        self.assertThat(found(first, [boot("w2"), start(3.0, run=2)]), Equals([]))

    def test_lapse_before_the_end_is_no_excuse(self):
        first = [boot(), start(1.0), plain("lapse", 1.5), end(2.0), noted(9.0)]
        self.assertThat(found(first, [boot("w2"), start(3.0, run=2)]), Equals(["twice"]))

    def test_end_of_another_kind_may_be_followed_by_a_start(self):
        first = [boot(), start(1.0), end(2.0, "failed"), noted(2.5)]
        self.assertThat(found(first, [boot("w2"), start(3.0, run=2)]), Equals([]))

    def test_start_after_the_job_was_shown_as_completed_is_reported(self):
        first = [boot(), start(1.0), end(2.0), start(2.0, task=SECOND), end(3.0, task=SECOND)]
        on_time, too_late = [boot("w2"), start(4.9, run=2)], [boot("w2"), start(5.1, run=2)]
        self.assertThat(found(first, on_time, completed_s_by_id={"j": 4.0}), Equals([]))
        self.assertThat(found(first, too_late, completed_s_by_id={"j": 4.0}), Equals(["twice"]))
        order_carried_out_late = [boot("w2"), late(5.1, run=2), start(5.1, run=2)]
        self.assertThat(
            found(first, order_carried_out_late, completed_s_by_id={"j": 4.0}), Equals([])
        )


class TestOtherGuarantees(TestCase):
    def test_start_before_an_earlier_step_is_done_is_reported(self):
        first = [boot(), start(1.0), end(3.0)]
        self.assertThat(found(first, [boot("w2"), start(2.9, task=SECOND)]), Equals(["order"]))
        self.assertThat(found(first, [boot("w2"), start(3.0, task=SECOND)]), Equals([]))

    def test_earlier_step_that_failed_is_not_done(self):
        first = [boot(), start(1.0), end(2.0, "failed")]
        self.assertThat(found(first, [boot("w2"), start(3.0, task=SECOND)]), Equals(["order"]))

    def test_start_of_an_unknown_job_is_reported(self):
        self.assertThat(found([boot(), start(1.0)], submission_by_id={}), Equals(["unasked"]))

    def test_start_with_another_spec_or_checkpoint_is_reported(self):
        self.assertThat(found([boot(), start(1.0, spec="other")]), Equals(["unasked"]))
        self.assertThat(found([boot(), start(1.0, checkpoint="1-1")]), Equals(["unasked"]))
        self.assertThat(found([boot(), start(1.0, checkpoint="0-1")]), Equals([]))

    def test_completed_job_with_a_task_that_is_not_done_is_reported(self):
        facts = [boot(), start(1.0), end(2.0), start(2.0, task=SECOND), end(3.0, task=SECOND)]
        self.assertThat(found(facts, completed_s_by_id={"j": 3.0}), Equals([]))
        self.assertThat(found(facts, completed_s_by_id={"j": 2.9}), Equals(["completed"]))
