"""New owners whose configuration came from another entry, while a zone is evacuated."""

from gevent import sleep
from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.operating.operations import FROM_PEER
from laburnumswitch.process.operating.operations import Operations
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_listing
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import QUEUE
from tests.process.dispatch.harness import wait_until


class TestZonesOfNewOwner(TestCase):
    def test_nothing_starts_in_an_evacuated_zone_that_the_owner_has_not_read_yet(self):
        """Entries send each other the configuration but not the zones, which counted as none."""
        harness = DispatchHarness()
        harness.operations = Operations(harness.log)
        harness.operations.adopt(QueueConfiguration(1, {QUEUE.name: QUEUE}, {}), FROM_PEER)
        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: len(owner.workers_by_id) == 2)
        harness.submit(make_submission("j1"), owner)
        sleep(0.3)
        self.assertThat(harness.checker.start_count, Equals(0))
        harness.operations.set_evacuated_zones(frozenset({"a"}))
        harness.add_worker(make_listing(9, availability_zone="b"))
        wait_until(lambda: owner.reported_state("j1") is JobState.COMPLETED)
        lines = [decode(line) for line in harness.log.take().splitlines()]
        workers = [line["worker"] for line in lines if line["event"] == "run_start"]
        self.assertThat(workers, Equals(["w9", "w9"]))
