"""Tests of the rows that name the workers whose leases owners have extended while they loaded."""

from base64 import b64encode
from types import MappingProxyType

from gevent import sleep
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import LessThan

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.process.dispatch.eligibility import usable_workers
from laburnumswitch.process.dispatch.kept_leases import collect_kept_leases
from laburnumswitch.process.dispatch.kept_leases import KEPT_LEASES_PARTS
from laburnumswitch.process.dispatch.kept_leases import KeptLeases
from laburnumswitch.process.dispatch.kept_leases import WORKERS_PER_ROW
from laburnumswitch.process.dispatch.lease_keeping import KEEP_AFTER_S
from laburnumswitch.process.rows.table import Row
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import wait_until

ROW_LIMIT_BYTES = 65_536
TRANSACTION_LIMIT_BYTES = 1_000_000
# The largest deployment that is designed for, and a long id of a worker.
WORKERS = 3000
LONG_ID = "i-{:048x}"


class RowsOfOneOwner:
    """Takes the place of a recorder."""

    def __init__(self):
        self.value_by_key = {}

    def queue_row(self, key, value):
        self.value_by_key[key] = value

    def rows(self):
        return [Row(key, 1, value) for key, value in self.value_by_key.items()]


class TestRows(TestCase):
    def setUp(self):
        super().setUp()
        self.malformed = []
        self.stored = RowsOfOneOwner()

    def store(self, epoch, since_epoch, *worker_ids, known=MappingProxyType({})):
        before = None if known is None else dict(known)
        kept = KeptLeases(epoch, since_epoch, epoch - 1, before)
        kept.queue_rows(worker_ids, self.stored)
        return kept

    def collect(self, kept_epoch, since_epoch):
        rows = self.stored.rows()
        return collect_kept_leases(rows, kept_epoch, since_epoch, self.malformed.append)

    def test_all_workers_arrive(self):
        ids = [f"w{number}" for number in range(100)]
        kept = self.store(3, 1, *ids[:50])
        kept.queue_rows(ids[50:], self.stored)
        self.assertThat(self.collect(3, 1), Equals(dict.fromkeys(ids, 3)))

    def test_workers_of_the_owners_before_are_named_again(self):
        self.store(3, 1, "w1")
        self.store(4, 1, "w2", known=self.collect(3, 1))
        self.assertThat(self.collect(4, 1), Equals({"w1": 3, "w2": 4}))

    def test_worker_is_named_with_the_last_owner_that_extended_its_lease(self):
        self.store(3, 1, "w1", "w2")
        kept = self.store(4, 1, "w2", known=self.collect(3, 1))
        self.assertThat([kept.last_epoch(each) for each in ("w1", "w2", "w3")], Equals([3, 4, 1]))
        unknown = KeptLeases(5, 1, 4, None)
        self.assertThat(unknown.last_epoch("w3"), Equals(4))

    def test_owner_of_an_earlier_version_may_have_extended_any_lease(self):
        """It stores its epoch and names no workers, nor does an owner that follows it."""
        self.store(3, 1, "w1")
        self.assertThat(self.collect(4, 1), Is(None))
        self.store(5, 1, "w1", known=None)
        self.assertThat(self.collect(5, 1), Is(None))

    def test_leases_extended_before_a_handover_that_cannot_be_read_may_be_any(self):
        """The rows name only the workers whose leases were extended after that."""
        self.store(4, 3, "w1")
        self.assertThat(self.collect(4, 1), Is(None))
        self.assertThat(self.collect(4, 3), Equals({"w1": 4}))

    def test_missing_or_malformed_row_may_have_named_any_worker(self):
        self.store(3, 1, "w1")
        key = next(iter(self.stored.value_by_key))
        value = self.stored.value_by_key.pop(key)
        self.assertThat(self.collect(3, 1), Is(None))
        self.stored.value_by_key[key] = ["later", "format"]
        self.assertThat(self.collect(3, 1), Is(None))
        self.assertThat([each.key for each in self.malformed], Equals([key]))
        self.stored.value_by_key[key] = value
        self.assertThat(self.collect(3, 1), Equals({"w1": 3}))

    def test_row_without_room_for_all_of_its_workers_may_have_named_any(self):
        self.store(3, 1, *map(str, range(2 * WORKERS_PER_ROW * KEPT_LEASES_PARTS)))
        self.assertThat(self.collect(3, 1), Is(None))

    def test_rows_and_transaction_stay_within_the_limits_of_the_store(self):
        ids = [LONG_ID.format(number) for number in range(WORKERS)]
        self.store(10**6, 10**6, *ids)
        self.assertThat(self.collect(10**6, 10**6), Equals(dict.fromkeys(ids, 10**6)))
        sizes = [len(b64encode(encode(value))) for value in self.stored.value_by_key.values()]
        self.assertThat(max(sizes), LessThan(ROW_LIMIT_BYTES))
        self.assertThat(sum(sizes), LessThan(TRANSACTION_LIMIT_BYTES))


class TestStoredBeforeExtended(TestCase):
    """An owner that loads keeps the lease of one worker, another one answers nothing."""

    def setUp(self):
        super().setUp()
        self.harness = DispatchHarness()
        first = self.harness.start_owner()
        wait_until(lambda: len(usable_workers(first, "shop")) == 2)
        self.extended, self.silent = self.harness.worker_by_id.values()
        self.silent.drops_calls = True
        first.release()
        self.bound_by_id = {
            worker.worker_id: worker.last_lapse_bound_s() for worker in first.workers_by_id.values()
        }
        self.may_load = self.harness.hold_loads()
        self.addCleanup(self.may_load.set)

    def start_owner(self, vm_id):
        owner = self.harness.start_owner(vm_id)
        self.addCleanup(owner.stop)
        return owner

    def late_s(self, owner, worker):
        """Return by how much the leases of a worker end later than its first owner knew."""
        worker_id = worker.listing.worker_id
        return owner.workers_by_id[worker_id].lapse_bound_s - self.bound_by_id[worker_id]

    def start_last_owner(self):
        self.may_load.set()
        owner = self.start_owner("vm-9")
        wait_until(owner.is_loaded.is_set)
        return owner

    def test_worker_whose_answer_to_the_extension_was_lost_counts_as_extended(self):
        renew = self.extended.renew

        def lose_answer_to_extension(renewal, timeout_s):
            answer = renew(renewal, timeout_s)
            if renewal.until_s is None:
                return answer
            return AnswerLost(self.extended.listing.worker_id, "timeout")

        self.extended.renew = lose_answer_to_extension
        lease_until_s = self.extended._lease_until_s
        second = self.start_owner("vm-2")
        wait_until(lambda: self.extended._lease_until_s > lease_until_s)
        second.stop()
        last = self.start_last_owner()
        self.assertThat(self.late_s(last, self.extended), GreaterThan(KEEP_AFTER_S / 2))
        self.assertThat(self.late_s(last, self.silent), LessThan(KEEP_AFTER_S / 2))

    def test_workers_of_several_owners_count_as_extended(self):
        second = self.start_owner("vm-2")
        sleep(2 * KEEP_AFTER_S)
        second.stop()
        self.extended.drops_calls = True
        third = self.start_owner("vm-3")
        sleep(2 * KEEP_AFTER_S)
        third.stop()
        last = self.start_last_owner()
        self.assertThat(self.late_s(last, self.extended), GreaterThan(KEEP_AFTER_S))
        self.assertThat(self.late_s(last, self.silent), LessThan(KEEP_AFTER_S / 2))

    def test_no_lease_is_extended_before_its_worker_is_stored(self):
        lease_until_s = self.extended._lease_until_s
        second = self.start_owner("vm-2")
        self.harness.table.delayed_commits = 1_000_000
        wait_until(lambda: len(second.workers_by_id) == 2)
        wait_until(lambda: second.workers_by_id[self.extended.listing.worker_id].last_answer_s)
        sleep(0.5)
        self.assertThat(self.extended._lease_until_s, Equals(lease_until_s))
