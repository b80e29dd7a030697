"""Random jobs and faults on one shard.

Guards against tasks that run twice or get lost, and against over-committed workers.
"""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.size import Size
from tests.fakes import make_vm
from tests.process.sharding.bench import Bench
from tests.process.sharding.bench import make_work

WORKERS = 4
fault_steps = st.one_of(
    st.tuples(st.just("submit"), st.integers(1, 8), st.integers(1, 8)),
    st.tuples(st.just("drive"), st.integers(1, 12), st.just(0)),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(("finished", "failed"))),
    st.tuples(st.just("reboot"), st.integers(1, WORKERS), st.just(0)),
    st.tuples(st.just("reachable"), st.integers(1, WORKERS), st.booleans()),
    st.tuples(st.just("lose_report"), st.integers(1, WORKERS), st.integers(1, 2)),
    st.tuples(st.just("zone"), st.sampled_from("ab"), st.sampled_from(("in", "out"))),
    st.tuples(st.just("down"), st.booleans(), st.just(0)),
    st.tuples(st.just("lose_answers"), st.integers(1, 2), st.just(0)),
    st.tuples(st.just("take_over"), st.integers(1, 3), st.integers(0, WORKERS)),
    st.tuples(st.just("cancel"), st.integers(1, 4), st.just(0)),
    st.tuples(st.just("pause_owners"), st.integers(1, 20), st.just(0)),
)


class FaultScenario:
    """Applies steps to a bench while the newest owner and its predecessor are both active."""

    def __init__(self) -> None:
        vms = [make_vm(n, "ab"[n % 2], f"r{n % 2}") for n in range(1, WORKERS + 1)]
        self.bench = Bench(vms)
        self.owners = [self.bench.take_over("e0")]
        self.jobs = 0
        self.tasks = 0

    def apply(self, kind, first, second):
        getattr(self, kind)(first, second)
        self.bench.check_invariants()

    def submit(self, count, cpu):
        if self.bench.table.down:
            return
        self.jobs += 1
        self.tasks += count
        size = Size(cpu * 1_000, cpu * 1_500)
        work = make_work(f"j{self.jobs}@1", size, checkpointable=bool(cpu % 2), retries=1)
        self.bench.submit(work, count)

    def drive(self, quarter_seconds, _):
        self.bench.drive(*self.owners[-2:], seconds=quarter_seconds / 4)

    def end(self, number, outcome):
        running = sorted(self.bench.workers.running().items())
        if running:
            task_id, workers = running[number % len(running)]
            self.bench.workers.by_id[workers[0]].end(task_id, outcome)

    def reboot(self, number, _):
        self.bench.workers.by_id[f"w{number}"].reboot()

    def reachable(self, number, is_reachable):
        self.bench.workers.by_id[f"w{number}"].reachable = is_reachable

    def lose_report(self, number, times):
        self.bench.workers.by_id[f"w{number}"].responses_to_drop = times

    def zone(self, name, state):
        if not self.bench.table.down:
            self.bench.put_zone(name, state)

    def down(self, is_down, _):
        self.bench.table.down = is_down

    def lose_answers(self, times, _):
        self.bench.table.lose_answers = times

    def take_over(self, number, unreachable_worker):
        if not self.bench.table.down:
            self.bench.table.lose_answers = 0
            self.owners.append(
                self.bench.take_over(f"e{number}", unreachable_workers={f"w{unreachable_worker}"})
            )

    def cancel(self, number, _):
        if not self.bench.table.down and number <= self.jobs:
            self.bench.put(f"cancelled/j{number}@1", {})

    def pause_owners(self, seconds, _):
        # Only the workers keep running.
        self.bench.clock.sleep(seconds)
        self.bench.workers.expire()

    def repair_and_finish(self):
        self.bench.table.down = False
        self.bench.table.lose_answers = 0
        for zone in "ab":
            self.bench.put_zone(zone, "in")
        for worker in self.bench.workers.by_id.values():
            worker.reachable, worker.responses_to_drop = True, 0
        self.owners.append(self.bench.take_over("last"))
        for _ in range(400):
            self.bench.drive(*self.owners[-2:], seconds=1)
            for task_id, workers in self.bench.workers.running().items():
                self.bench.workers.by_id[workers[0]].end(task_id)
            ledger = self.owners[-1].ledger
            groups = ledger.group_by_number.values()
            inbox = self.bench.table.scan("inbox/")
            if not inbox and all(group.is_idle for group in groups):
                break
        self.bench.drive(self.owners[-1], seconds=1)


class TestRandomFaults(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(fault_steps, min_size=12, max_size=40))
    def test_every_task_ends_once_and_no_invariant_is_violated(self, scenario_steps):
        scenario = FaultScenario()
        for step in scenario_steps:
            scenario.apply(*step)
        scenario.repair_and_finish()
        self.assertThat(scenario.bench.violations, Equals([]))
        totals = {"finished": 0, "failed": 0, "cancelled": 0}
        for row in scenario.bench.table.scan("progress/"):
            for name in totals:
                totals[name] += row.value[name]
        self.assertThat(sum(totals.values()), Equals(scenario.tasks))
        history = scenario.bench.workers.history
        runs = [(task, run) for _, kind, _, task, run in history if kind == "start"]
        self.assertThat(len(runs), Equals(len(set(runs))))
        # An unreachable worker may finish a run without any owner learning of it before the lease
        # lapses. Only the finishes that an owner recorded count: at most one for each task, and
        # only of runs that a worker did finish.
        finished_runs = {(task, run) for _, kind, _, task, run in history if kind == "finished"}
        accepted_runs = [
            (event.subject, event.details["run"])
            for event in scenario.bench.events()
            if event.kind == "run_ended" and event.details["how"] in ("finished", "finished_late")
        ]
        self.assertThat(set(accepted_runs) - finished_runs, Equals(set()))
        tasks = [task for task, _ in accepted_runs]
        self.assertThat(len(tasks), Equals(len(set(tasks))))
