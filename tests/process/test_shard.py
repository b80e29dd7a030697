"""One owned shard against workers and a table that fail."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import HasLength

from tests.process.bench import Bench
from tests.process.bench import make_work


class TestRun(TestCase):
    def test_task_is_started_ended_and_journaled(self):
        bench = Bench()
        shard = bench.take_over()
        bench.submit(make_work(), count=3)
        bench.drive(shard, seconds=3)
        self.assertThat(bench.workers.running(), HasLength(3))
        for task_id, (worker_id,) in bench.workers.running().items():
            bench.workers.by_id[worker_id].end(task_id)
        bench.drive(shard, seconds=3)
        replayed = bench.take_over("e2").ledger
        group = replayed.find_group("j@1")
        self.assertThat(group.finished, Equals(3))
        self.assertThat(group.is_idle, Equals(True))
        self.assertThat(bench.workers.running(), Equals({}))
