"""Every check of a history must detect a history that violates its guarantee."""

import re

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.size import Size
from standin.expectation import Expectation
from standin.history_checker import evaluate_history
from standin.history_checker import HistoryReport
from standin.history_checker import violated_guarantees
from standin.records import Asked
from standin.records import ConfigurationSeen
from standin.records import Cut
from standin.records import DrainBegan
from standin.records import EndAcknowledged
from standin.records import Executed
from standin.records import ProcessPaused
from standin.records import ProcessStopped
from standin.records import RefusedWhileDraining
from standin.records import RowPut
from standin.records import RunEnded
from standin.records import RunStarted
from standin.records import WorkerUp

FULL = Size(4000, 1000)
HALF = Size(2000, 500)
ONE_TASK = Expectation({"load": 1}, lambda name: re.split("[:@]", name)[0])
TWO_FINISHED = '{"finished":2}'
VALID_HISTORY = (
    RowPut(0.5, "configuration", '{"version":1}'),
    ConfigurationSeen(0.6, "entry-1", 0),
    ConfigurationSeen(1.0, "entry-1", 1),
    WorkerUp(0.0, "w1", "b1", "east", FULL, "rack-1"),
    WorkerUp(0.0, "w2", "b1", "west", FULL, "rack-2"),
    RunStarted(1.0, "w1", "load:0", 1, HALF, "", ""),
    RunEnded(2.0, "w1", "load:0", 1, "evicted"),
    RunStarted(3.0, "w2", "load:0", 2, HALF, "", "load:0.1"),
    RunEnded(4.0, "w2", "load:0", 2, "finished"),
    Asked(5.0, 5.2, "entry-1", "c-1", "c-1.0", "k1", "POST", "not-run", 503, False),
    Asked(5.3, 5.4, "entry-2", "c-1", "c-1.1", "k1", "POST", "answered", 201, True),
    Executed(5.3, "shop:0.1", "c-1.1", "k1", "POST"),
    RowPut(4.2, "progress/load@1/0-1", '{"finished":0}'),
    RowPut(4.5, "progress/load@1/0-1", '{"finished":1}'),
    RowPut(6.0, "zone/east", '{"state":"out"}'),
    RowPut(9.0, "zone/east", '{"state":"in"}'),
    ProcessStopped(10.0, 11.0, "entry-1", True),
)


def evaluate_with(*more: object, expectation: Expectation = ONE_TASK) -> HistoryReport:
    return evaluate_history((*VALID_HISTORY, *more), expectation)


class TestValidHistory(TestCase):
    def test_violates_no_guarantee(self):
        verdict = evaluate_with()
        self.assertThat(violated_guarantees(verdict), Equals(()))
        self.assertThat((verdict.requests, verdict.answered, verdict.runs), Equals((1, 1, 2)))
        self.assertThat(verdict.worst_commitment, Equals(0.5))

    def test_start_after_the_zone_came_back_is_allowed(self):
        again = RunStarted(9.5, "w1", "shop:0", 1, HALF, "shop", "")
        self.assertThat(violated_guarantees(evaluate_with(again)), Equals(()))

    def test_run_ends_with_the_process_of_its_rack(self):
        first = RunStarted(5.0, "w1", "load:1", 1, HALF, "", "")
        killed = ProcessStopped(7.0, 7.1, "rack-1", False)
        second = RunStarted(7.2, "w2", "load:1", 2, HALF, "", "")
        finished = RunEnded(8.0, "w2", "load:1", 2, "finished")
        counted = RowPut(8.1, "progress/load@1/3-1", '{"finished":1}')
        expectation = ONE_TASK._replace(tasks_by_job={"load": 2})
        more = (first, killed, second, finished, counted)
        verdict = evaluate_with(*more, expectation=expectation)
        self.assertThat(violated_guarantees(verdict), Equals(()))


class TestViolations(TestCase):
    def assert_violates(self, name: str, *more: object, expectation: Expectation = ONE_TASK):
        verdict = evaluate_with(*more, expectation=expectation)
        self.assertThat(violated_guarantees(verdict), Equals((name,)))

    def test_order_run_twice_under_one_key(self):
        again = Executed(6.0, "shop:1.1", "c-1.2", "k1", "POST")
        self.assert_violates("orders_run_twice", again)

    def test_order_without_a_key_run_twice(self):
        runs = [Executed(6.0, f"shop:{n}.1", "c-9.0", "", "POST") for n in (1, 2)]
        self.assert_violates("orders_run_twice", *runs)

    def test_not_run_but_ran(self):
        ran = Executed(5.1, "shop:0.1", "c-1.0", "", "GET")
        self.assert_violates("not_run_but_ran", ran)

    def test_answer_of_another_request(self):
        foreign = Asked(6.0, 6.2, "entry-1", "c-2", "c-2.0", "", "GET", "answered", 200, False)
        self.assert_violates("foreign_answers", foreign)

    def test_task_finished_twice(self):
        more = (
            RunStarted(5.0, "w1", "load:0", 3, HALF, "", ""),
            RunEnded(6.0, "w1", "load:0", 3, "finished"),
        )
        self.assert_violates("tasks_finished_twice", *more)

    def test_finish_that_the_ledger_counts_twice(self):
        self.assert_violates(
            "tasks_counted_wrongly", RowPut(5.0, "progress/load@1/3-1", TWO_FINISHED)
        )

    def test_finish_on_a_worker_that_was_paused_before_it_could_report(self):
        paused = ProcessPaused(4.5, 12.0, "rack-2")
        again = self.finish_again(10.0)
        verdict = evaluate_with(paused, *again)
        self.assertThat(violated_guarantees(verdict), Equals(()))
        self.assertThat(verdict.tasks_finished_unreported, Equals(1))

    def test_finish_that_was_acknowledged_within_its_lease(self):
        paused = ProcessPaused(4.5, 12.0, "rack-2")
        known = EndAcknowledged(4.4, "w2", "load:0", 2, True)
        self.assert_violates("tasks_finished_twice", paused, known, *self.finish_again(10.0))
        late = EndAcknowledged(9.9, "w2", "load:0", 2, False)
        verdict = evaluate_with(paused, late, *self.finish_again(10.0))
        self.assertThat(violated_guarantees(verdict), Equals(()))

    def test_finish_on_a_worker_that_was_paused_long_after_or_elsewhere(self):
        late = ProcessPaused(9.1, 12.0, "rack-2")
        self.assert_violates("tasks_finished_twice", late, *self.finish_again(10.0))
        elsewhere = ProcessPaused(4.5, 12.0, "rack-1")
        self.assert_violates("tasks_finished_twice", elsewhere, *self.finish_again(10.0))

    def finish_again(self, at_s: float) -> tuple[RunStarted, RunEnded]:
        started = RunStarted(at_s, "w1", "load:0", 3, HALF, "", "")
        return started, RunEnded(at_s + 1.0, "w1", "load:0", 3, "finished")

    def test_task_in_two_places(self):
        first = RunStarted(3.5, "w1", "load:0", 3, HALF, "", "")
        self.assert_violates(
            "tasks_in_two_places", first, RunEnded(5.0, "w1", "load:0", 3, "lapsed")
        )

    def test_same_run_started_again_elsewhere(self):
        again = RunStarted(5.0, "w1", "load:0", 2, HALF, "", "")
        self.assert_violates("tasks_in_two_places", again)

    def test_declared_task_that_never_ran(self):
        expectation = ONE_TASK._replace(tasks_by_job={"load": 2})
        verdict = evaluate_with(expectation=expectation)
        broken = violated_guarantees(verdict)
        self.assertThat(set(broken), Equals({"tasks_lost", "tasks_counted_wrongly"}))

    def test_started_task_that_never_finished(self):
        started = RunStarted(5.0, "w1", "prices:0", 1, HALF, "", "")
        self.assert_violates("tasks_lost", started, RunEnded(5.5, "w1", "prices:0", 1, "killed"))

    def test_checkpoint_resumed_twice(self):
        more = (
            RunStarted(5.0, "w1", "load:0", 3, HALF, "", "load:0.1"),
            RunEnded(5.5, "w1", "load:0", 3, "killed"),
        )
        self.assert_violates("checkpoints_resumed_twice", *more)

    def test_worker_committed_beyond_its_capacity(self):
        starts = [RunStarted(3.0, "w2", f"shop:{n}", 1, HALF, "shop", "") for n in range(2)]
        self.assert_violates("worst_commitment", *starts)

    def test_accelerator_on_a_worker_without_any(self):
        size = Size(100, 10, 1)
        self.assert_violates("worst_commitment", RunStarted(3.0, "w2", "s:0", 1, size, "s", ""))

    def test_start_in_a_zone_that_is_out(self):
        late = RunStarted(8.5, "w1", "shop:0", 1, HALF, "shop", "")
        self.assertThat(evaluate_with(late).last_start_in_zone_out_s, Equals(2.5))
        later = RunStarted(20.0, "w1", "shop:0", 1, HALF, "shop", "")
        out = RowPut(15.0, "zone/east", '["out"]')
        self.assert_violates("last_start_in_zone_out_s", later, out)

    def test_run_stopped_on_purpose_with_requests_in_flight(self):
        cut = Cut(6.0, "shop:0.1", "killed", 1)
        self.assert_violates("requests_cut_by_planned_stops", cut)

    def test_request_to_an_upstream_long_after_it_began_to_leave(self):
        began = DrainBegan(6.0, "shop:0.1")
        early = RefusedWhileDraining(10.9, "shop:0.1")
        self.assertThat(violated_guarantees(evaluate_with(began, early)), Equals(()))
        late = RefusedWhileDraining(11.1, "shop:0.1")
        self.assert_violates("last_request_to_leaving_upstream_s", began, late)

    def test_request_cut_by_an_entry_that_stops(self):
        attempt = Asked(9.9, 10.5, "entry-1", "c-2", "c-2.0", "", "GET", "unknown", 0, False)
        self.assert_violates("requests_cut_by_planned_stops", attempt)

    def test_request_cut_by_a_kill_violates_no_guarantee(self):
        attempt = Asked(9.9, 10.5, "entry-2", "c-2", "c-2.0", "", "GET", "unknown", 0, False)
        killed = ProcessStopped(10.0, 10.1, "entry-2", False)
        self.assertThat(violated_guarantees(evaluate_with(attempt, killed)), Equals(()))

    def test_configuration_that_reverts(self):
        self.assert_violates("configuration_reverts", ConfigurationSeen(2.0, "entry-1", 0))

    def test_configuration_that_never_arrives(self):
        late = ConfigurationSeen(0.1, "entry-3", 0)
        self.assert_violates("configuration_everywhere_s", late)
