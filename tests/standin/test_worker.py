"""A worker's leases and fencing, with a fake clock."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.process.workers.worker_api import StopOrder
from laburnumswitch.process.workers.worker_api import ThrottleOrder
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_api import WorkerReply
from laburnumswitch.size import Size
from standin.interference import draw_coefficients
from standin.records import EndAcknowledged
from standin.records import Record
from standin.records import RunEnded
from standin.worker import CHECKPOINT_DURATION_S
from standin.worker import Worker
from standin.worker import WorkerSettings
from tests.fakes import FakeClock
from tests.fakes import FakeWorker

SIZE = Size(1000, 100)
LONG_S = 1000.0


class MemoryCheckpoints(dict):
    def save(self, name: str, done_s: float) -> None:
        self[name] = done_s

    def load(self, name: str) -> float:
        return self[name]


class IdleReplica:
    port = 4711

    def __init__(self) -> None:
        self.draining = False
        self.stopped = ""

    def drain(self) -> None:
        self.draining = True

    def drained(self) -> bool:
        return self.draining

    def busy_share(self) -> float:
        return 0.0

    def stop(self, kind: str) -> None:
        self.stopped = kind


class TestWorker(TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.records: list[Record] = []
        self.checkpoints = MemoryCheckpoints()
        self.replica = IdleReplica()
        self.worker = self.boot("b1")

    def boot(self, boot: str) -> Worker:
        settings = WorkerSettings("w1", boot, "east", Size(4000, 1000), clock_origin=7.0)
        return Worker(
            settings,
            draw_coefficients(1),
            self.checkpoints,
            lambda order, holds: self.replica,
            self.records.append,
            lambda: self.now_s,
        )

    def send(self, epoch: int = 1, boot: str = "b1", **orders) -> WorkerReply:
        return self.worker.exchange(WorkerOrders(boot, epoch, full=True, **orders))

    def start(self, run: int = 1, lease_s: float = 5.0, run_time_s: float = LONG_S, **more):
        until = self.worker.clock() + lease_s
        return StartOrder("t", run, until, SIZE, ("load",), run_time_s, **more)

    def kinds(self, report: WorkerReply) -> list[str]:
        return [event.kind for event in report.events]

    def test_repeated_start_is_carried_out_once(self):
        order = self.start()
        self.send(starts=(order,))
        report = self.send(starts=(order,))
        self.assertThat(self.kinds(report), Equals(["started"]))

    def test_run_number_below_the_highest_seen_never_starts(self):
        self.send(starts=(self.start(run=2),))
        self.send(stops=(StopOrder("t", 2, "kill"),))
        report = self.send(starts=(self.start(run=1),))
        self.assertThat(report.runs, Equals(()))

    def test_start_after_its_lease_is_refused(self):
        order = self.start(lease_s=1.0)
        self.now_s += 2.0
        report = self.send(starts=(order,))
        self.assertThat((self.kinds(report), report.runs), Equals((["refused"], ())))

    def test_refused_run_number_does_not_start_later(self):
        refused = self.start(lease_s=-1.0)
        self.send(starts=(refused,))
        report = self.send(starts=(refused, self.start(lease_s=5.0)))
        self.assertThat((self.kinds(report), report.runs), Equals((["refused"], ())))

    def test_start_that_arrives_after_its_stop_does_not_begin(self):
        self.send(stops=(StopOrder("t", 1, "kill"),))
        report = self.send(starts=(self.start(),))
        self.assertThat((self.kinds(report), report.runs), Equals((["killed"], ())))

    def test_lower_epoch_and_other_boot_change_nothing(self):
        self.send(epoch=5)
        stale = self.send(epoch=4, starts=(self.start(),))
        other = self.send(epoch=5, boot="b0", starts=(self.start(),))
        self.assertThat((stale.epoch, stale.runs, other.runs), Equals((5, (), ())))

    def test_lease_lapses_on_time_however_late_that_is_noticed(self):
        self.send(starts=(self.start(lease_s=5.0),))
        self.now_s += 60.0
        report = self.send(renew_until=self.worker.clock() + 5.0)
        self.assertThat(self.kinds(report), Equals(["started", "lapsed"]))
        self.assertThat(self.records[-1], Equals(RunEnded(105.0, "w1", "t", 1, "lapsed")))

    def test_paused_run_does_no_work_after_its_lease(self):
        self.send(starts=(self.start(lease_s=5.0, run_time_s=20.0),))
        self.now_s += 60.0
        self.assertThat(self.kinds(self.send()), Equals(["started", "lapsed"]))

    def test_renewal_extends_all_but_the_listed_and_never_shortens(self):
        self.send(starts=(self.start(lease_s=5.0),))
        self.send(renew_until=self.worker.clock() + 9.0)
        self.send(renew_until=self.worker.clock() + 1.0)
        self.send(renew_until=self.worker.clock() + 90.0, lapse=("t",))
        self.now_s += 8.9
        self.assertThat(len(self.send().runs), Equals(1))
        self.now_s += 0.2
        self.assertThat(self.send().runs, Equals(()))

    def test_events_stay_until_they_are_acknowledged(self):
        report = self.send(starts=(self.start(),))
        self.assertThat(self.kinds(self.send()), Equals(["started"]))
        acknowledged = self.send(acknowledged=report.events[-1].number)
        self.assertThat(acknowledged.events, Equals(()))

    def test_acknowledgement_records_whether_it_came_within_the_lease(self):
        for task_id, late_s in (("early", 1.0), ("late", 9.0)):
            order = self.start(run_time_s=0.1)._replace(task_id=task_id)
            self.send(starts=(order,))
            self.now_s += 1.0
            ended = self.send().events[-1]
            self.now_s += late_s
            self.send(acknowledged=ended.number)
        recorded = [record for record in self.records if isinstance(record, EndAcknowledged)]
        self.assertThat([record.within_lease for record in recorded], Equals([True, False]))

    def test_resumed_run_does_only_the_rest_of_the_work(self):
        self.send(starts=(self.start(lease_s=LONG_S),))
        self.now_s += 10.0
        self.send(stops=(StopOrder("t", 1, "checkpoint"),))
        self.now_s += CHECKPOINT_DURATION_S
        report = self.send()
        self.assertThat(report.events[-1].checkpoint, Equals("t.1"))
        self.send(starts=(self.start(run=2, checkpoint="t.1"),))
        self.assertThat(
            round(self.worker.run_by_task["t"].work_done_s, 6), Equals(10.0 + CHECKPOINT_DURATION_S)
        )

    def test_throttled_run_progresses_slower(self):
        self.send(starts=(self.start(lease_s=LONG_S),))
        self.send(throttles=(ThrottleOrder("t", 1, 25),))
        self.now_s += 8.0
        self.worker.advance()
        self.assertThat(self.worker.run_by_task["t"].work_done_s, Equals(2.0))

    def test_drained_replica_ends_and_reports_its_port(self):
        report = self.send(starts=(self.start(service="shop"),))
        self.assertThat(report.events[0].port, Equals(IdleReplica.port))
        self.send(stops=(StopOrder("t", 1, "drain"),))
        self.assertThat(self.kinds(self.send()), Equals(["started", "finished"]))
        self.assertThat(self.replica.stopped, Equals("finished"))

    def test_worker_that_fails_everything(self):
        self.worker.fails_everything = True
        self.send(starts=(self.start(),))
        self.now_s += 1.0
        self.assertThat(self.kinds(self.send()), Equals(["started", "failed"]))

    def test_usage_lags(self):
        self.send(starts=(self.start(lease_s=LONG_S),))
        self.worker.advance()
        self.now_s += 1.0
        self.assertThat(self.send().usage, Equals(()))
        self.now_s += 2.0
        self.assertThat([usage.task_id for usage in self.send().usage], Equals(["t"]))


class TestFakeWorkerFencing(TestCase):
    """The fake worker of the scheduler's tests must fence run numbers like the stand-in."""

    def setUp(self):
        super().setUp()
        self.worker = FakeWorker("w1", FakeClock(), [])

    def send(self, **orders) -> list[str]:
        report = self.worker.exchange(WorkerOrders(self.worker.boot, 1, full=True, **orders))
        self.assertThat(report.runs, Equals(()))
        return [event.kind for event in report.events]

    def start(self, lease_s: float) -> StartOrder:
        return StartOrder("t", 1, self.worker.own_clock() + lease_s, SIZE, ("load",), LONG_S)

    def test_refusal_is_final(self):
        self.send(starts=(self.start(-1.0),))
        self.assertThat(self.send(starts=(self.start(5.0),)), Equals(["refused"]))

    def test_stop_is_final(self):
        self.send(stops=(StopOrder("t", 1, "kill"),))
        self.assertThat(self.send(starts=(self.start(5.0),)), Equals(["killed"]))
