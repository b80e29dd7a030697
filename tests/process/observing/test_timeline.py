"""Order and bounds of the timeline, and its archive in the object store."""

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import LessThan

from laburnumswitch.process.observing.archive_index import read_batch
from laburnumswitch.process.observing.archive_index import read_indexes
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.observing.timeline_archiver import EXPIRY_INTERVAL_CYCLES
from laburnumswitch.process.observing.timeline_archiver import MAX_BATCH_EVENTS
from laburnumswitch.process.observing.timeline_archiver import MAX_OBJECTS
from laburnumswitch.process.observing.timeline_archiver import MAX_REMOVALS_PER_CYCLE
from laburnumswitch.process.observing.timeline_archiver import RETENTION_S
from laburnumswitch.process.observing.timeline_archiver import TimelineArchiver
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.operator_handlers import make_event_rows
from laburnumswitch.process.operating.operator_handlers import MAX_EVENT_ROWS
from standin.table import MemoryTable
from tests.memory import MemoryObjects


def make_timeline(capacity: int = 10) -> Timeline:
    return Timeline("entry-1", "north", lambda: 5.0, capacity)


class TestTimeline(TestCase):
    def test_effect_sorts_after_its_cause_on_another_vm(self):
        sender, receiver = make_timeline(), make_timeline()
        for _ in range(5):
            sender.record("start", "task-1")
        receiver.observe(sender.clock)
        receiver.record("end", "task-1")
        self.assertThat(receiver.after(0)[0].clock > sender.after(0)[-1].clock, Equals(True))

    def test_overflow_drops_the_oldest_and_counts_it(self):
        timeline = make_timeline(capacity=3)
        for number in range(5):
            timeline.record("start", f"task-{number}")
        self.assertThat([event.subject for event in timeline.after(0)][0], Equals("task-2"))
        self.assertThat(timeline.lost, Equals(2))

    def test_overflow_of_stored_events_is_not_counted_as_lost(self):
        timeline = make_timeline(capacity=3)
        for number in range(3):
            timeline.record("start", f"task-{number}")
        timeline.stored_clock = 2
        for number in range(3):
            timeline.record("end", f"task-{number}")
        self.assertThat(timeline.lost, Equals(1))

    def test_live_list_is_bounded_and_holds_the_newest_events(self):
        timeline = make_timeline(capacity=2 * MAX_EVENT_ROWS)
        for _ in range(MAX_EVENT_ROWS + 5):
            timeline.record("start", "task-1")
        request = AdminRequest("GET", (), {"after": "2"}, {}, b"")
        clocks = [row["clock"] for row in make_event_rows(timeline)(request)]
        self.assertThat(clocks, Equals(list(range(6, MAX_EVENT_ROWS + 6))))

    def test_large_backlog_is_stored_in_several_batches(self):
        timeline, objects = make_timeline(capacity=2 * MAX_BATCH_EVENTS), MemoryObjects()
        archiver = TimelineArchiver(
            timeline, objects, MemoryTable(), "entry-1", "boot", lambda: 0.0
        )
        for _ in range(MAX_BATCH_EVENTS + 1):
            timeline.record("start", "task-1")
        archiver.run_cycle()
        archiver.run_cycle()
        sizes = [len(read_batch(objects, name)) for name in sorted(objects.by_name)]
        self.assertThat(sizes, Equals([MAX_BATCH_EVENTS, 1]))


class TestTimelineArchiver(TestCase):
    def setUp(self):
        super().setUp()
        self.timeline = make_timeline()
        self.objects = MemoryObjects()
        self.table = MemoryTable()
        self.archiver = self.make_archiver("boot-1", self.timeline)

    def make_archiver(self, boot, timeline):
        return TimelineArchiver(
            timeline, self.objects, self.table, "entry-1", boot, lambda: RETENTION_S + 10.0
        )

    def stored_subjects(self):
        found = []
        for index in read_indexes(self.table):
            for stored in index["objects"]:
                found.extend(event["subject"] for event in read_batch(self.objects, stored["name"]))
        return found

    def test_each_event_is_found_once_after_an_outage_of_both_stores(self):
        self.timeline.record("start", "task-1")
        self.objects.down = True
        self.archiver.run_cycle()
        self.objects.down = False
        self.table.down = True
        self.archiver.run_cycle()
        self.timeline.record("end", "task-2")
        self.archiver.run_cycle()
        self.table.down = False
        self.archiver.run_cycle()
        self.archiver.run_cycle()
        self.assertThat(self.stored_subjects(), Equals(["task-1", "task-2"]))
        self.assertThat(self.table.commits, Equals(1))

    def test_index_write_is_repeated_after_a_lost_answer(self):
        self.timeline.record("start", "task-1")
        self.table.lose_answers = 1
        self.archiver.run_cycle()
        self.archiver.run_cycle()
        self.assertThat((self.stored_subjects(), self.table.commits), Equals((["task-1"], 2)))

    def test_index_is_bounded_and_drops_the_oldest_objects(self):
        for number in range(MAX_OBJECTS + 2):
            self.timeline.record("start", str(number))
            self.archiver.run_cycle()
        self.archiver.run_cycle()
        self.assertThat(len(self.objects.by_name), Equals(MAX_OBJECTS))
        self.assertThat(self.stored_subjects()[0], Equals("2"))

    def test_stop_during_a_cycle_loses_no_event(self):
        stopping = []
        put = self.objects.put

        def stop_while_storing(name, content):
            if not stopping:
                stopping.append(True)
                self.timeline.record("drained", "entry-1")
            return put(name, content)

        self.objects.put = stop_while_storing
        self.timeline.record("start", "task-1")
        self.archiver.run(lambda delay_s: None, lambda: bool(stopping))
        self.assertThat(self.stored_subjects(), Equals(["task-1", "entry-1"]))

    def test_no_cycle_changes_more_than_one_row_while_an_old_boot_is_removed(self):
        old = make_timeline(capacity=100)
        old_archiver = self.make_archiver("boot-0", old)
        for number in range(MAX_REMOVALS_PER_CYCLE + 1):
            old.record("start", f"old-{number}")
            old_archiver.run_cycle()
        for number in range(EXPIRY_INTERVAL_CYCLES + 3):
            self.timeline.record("start", "new")
            commits = self.table.commits
            self.archiver.run_cycle()
            self.assertThat(self.table.commits - commits, LessThan(2), str(number))
        self.assertThat(set(self.stored_subjects()), Equals({"new"}))
        self.assertThat(len(self.objects.by_name), Equals(EXPIRY_INTERVAL_CYCLES + 3))
