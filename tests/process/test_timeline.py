"""Order, bounds and spill of the time line."""

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.objects import Stored
from laburnumswitch.process.spill import spill_once
from laburnumswitch.process.timeline import Event
from laburnumswitch.process.timeline import Timeline


class FakeObjects:
    def __init__(self) -> None:
        self.down = False
        self.by_name: dict[str, bytes] = {}

    def put(self, name: str, content: bytes) -> Stored | Unavailable:
        if self.down:
            return Unavailable("down")
        self.by_name[name] = content
        return Stored()


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

    def test_spill_writes_each_event_once_and_survives_an_outage(self):
        timeline, objects = make_timeline(), FakeObjects()
        timeline.record("start", "task-1")
        objects.down = True
        spilled = spill_once(timeline, objects, "entry-1", 0)
        objects.down = False
        timeline.record("end", "task-1")
        spilled = spill_once(timeline, objects, "entry-1", spilled)
        self.assertThat(spill_once(timeline, objects, "entry-1", spilled), Equals(spilled))
        stored = [decode(content, type=list[Event]) for content in objects.by_name.values()]
        kinds = [event.kind for events in stored for event in events]
        self.assertThat(kinds, Equals(["start", "end"]))
