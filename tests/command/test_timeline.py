"""``timeline`` with live entries and the object store as sources, and its picture."""

from pathlib import Path
from tempfile import TemporaryDirectory
from xml.etree import ElementTree

from msgspec.json import decode
from msgspec.json import encode
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.command.output import EXIT_UNAVAILABLE
from laburnumswitch.command.output import EXIT_USAGE
from laburnumswitch.command.picture import colour_of
from laburnumswitch.process.observing.event_kinds import KINDS
from laburnumswitch.process.observing.timeline import Event
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.observing.timeline_archiver import TimelineArchiver
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.request.claim import claim_row_key
from tests.command.case import CommandCase
from tests.command.case import PLATFORM

E1 = "127.0.0.1:1"
ENTRY = ("--entry", E1)
NAMESPACE = "{http://www.w3.org/2000/svg}"
ROW = claim_row_key("orders", "order-7")


class TimelineCase(CommandCase):
    def setUp(self):
        super().setUp()
        self.now_s = 900.0
        self.timeline = Timeline("e1", "az-1", lambda: self.now_s, capacity=20)
        self.archiver = TimelineArchiver(
            self.timeline, self.objects, self.table, "e1", "boot", lambda: 0.0
        )

    def record(self, wall_s, kind, subject, **details):
        self.now_s = wall_s
        self.timeline.record(kind, subject, **details)

    def store(self):
        self.archiver.run_cycle()

    def answer_live(self):
        rows = [event._asdict() for event in self.timeline.after(0)]
        status = [{"vm": "e1", "events_lost": self.timeline.lost}]
        return self.entry(E1, timeline=rows, status=status)

    def read(self, *arguments):
        code, output, errors = self.run_command("timeline", "--json", *arguments)
        return code, [decode(line)["clock"] for line in output.splitlines()], errors


class TestSources(TimelineCase):
    def test_events_of_a_dead_entry_are_read_from_the_platform(self):
        self.record(900.0, "run_started", "x@1:0")
        self.store()
        self.assertThat(self.read(*PLATFORM), Equals((0, [1], "")))

    def test_events_that_are_live_and_stored_are_shown_once(self):
        self.record(900.0, "run_started", "x@1:0", share=0.1, run=1)
        self.store()
        self.record(901.0, "run_ended", "x@1:0")
        self.answer_live()
        self.assertThat(self.read(*PLATFORM, *ENTRY), Equals((0, [1, 2], "")))

    def test_failure_of_one_source_is_reported_and_the_other_shown(self):
        self.record(900.0, "run_started", "x@1:0")
        self.store()
        code, clocks, errors = self.read(*PLATFORM, *ENTRY)
        self.assertThat((code, clocks, "ConnectFailed" in errors), Equals((0, [1], True)))
        self.table.down = True
        self.assertThat(self.read(*PLATFORM, *ENTRY)[0], Equals(EXIT_UNAVAILABLE))

    def test_broken_or_missing_object_does_not_hide_others(self):
        for number in range(3):
            self.record(900.0, "run_started", f"x@1:{number}")
            self.store()
        names = sorted(self.objects.by_name)
        self.objects.by_name[names[0]] = b"{"
        del self.objects.by_name[names[1]]
        code, clocks, errors = self.read(*PLATFORM)
        self.assertThat((code, clocks, errors.count("warning")), Equals((0, [3], 1)))

    def test_formats_of_a_newer_version_are_reported_and_not_misread(self):
        for number in range(2):
            self.record(900.0, "run_started", f"x@1:{number}")
            self.store()
        name = min(self.objects.by_name)
        self.objects.by_name[name] = encode({"format": 2, "events": []})
        key = "timeline/e2-boot"
        index = {"format": 2, "process": "e2", "lost": 0, "objects": []}
        self.table.commit(Transaction((), (Put(key, index), Put(f"{key}-2", "no index"))))
        code, clocks, errors = self.read(*PLATFORM)
        self.assertThat((code, clocks), Equals((0, [2])))
        self.assertThat(errors.count("FormatUnknown"), Equals(2))
        self.assertThat(errors.count("RowMalformed"), Equals(1))

    def test_lost_events_are_reported(self):
        for number in range(23):
            self.record(900.0, "run_started", f"x@1:{number}")
        self.store()
        for source in (PLATFORM, ENTRY):
            self.answer_live()
            self.assertThat(self.read(*source)[2], Contains("EventsLost: process=e1, number=3"))

    def test_only_objects_of_the_time_asked_for_are_read(self):
        for wall_s in (100.0, 500.0, 900.0):
            self.record(wall_s, "run_started", "x@1:0")
            self.store()
        for name in sorted(self.objects.by_name)[::2]:
            self.objects.by_name[name] = b"{"
        found = self.read(*PLATFORM, "--since", "600s", "--until", "200s")
        self.assertThat(found, Equals((0, [2], "")))

    def test_invalid_options_are_usage_errors(self):
        for arguments in (
            (),
            (*PLATFORM, "--follow"),
            (*PLATFORM, "--picture", "x.png"),
            (*ENTRY, "--follow", "--picture", "x.svg"),
        ):
            self.assertThat(self.read(*arguments)[0], Equals(EXIT_USAGE))


class TestRequestKey(TimelineCase):
    def test_key_finds_all_events_of_its_requests(self):
        self.record(900.0, "claimed", "r1", row=ROW)
        self.record(901.0, "retry", "r1", upstream="u1")
        self.record(901.0, "claim_refused", "r2", row=ROW)
        self.record(902.0, "claimed", "r3", row=claim_row_key("orders", "order-8"))
        self.record(903.0, "outcome", "r1", outcome="answered")
        self.answer_live()
        self.assertThat(self.read(*ENTRY, "--request", "order-7")[1], Equals([1, 2, 3, 5]))
        self.assertThat(self.read(*ENTRY, "--request", "r2")[1], Equals([3]))


class TestPicture(TimelineCase):
    def draw(self, name="run.svg"):
        self.answer_live()
        with TemporaryDirectory() as folder:
            path = Path(folder, name)
            code, _, errors = self.run_command("timeline", *ENTRY, "--picture", str(path))
            self.assertThat((code, errors), Equals((0, "")))
            return path.read_text("utf-8")

    def titles(self, text, tag):
        elements = ElementTree.fromstring(text).iter(NAMESPACE + tag)
        return [title.text for element in elements for title in element.iter(NAMESPACE + "title")]

    def test_request_shows_its_duration_and_its_causes(self):
        self.record(900.5, "claimed", "r1", row=ROW)
        self.record(902.5, "retry", "r1", upstream="u1", reason="late")
        self.record(902.6, "claim_refused", "r2", row=ROW)
        self.record(903.0, "outcome", "r1", milliseconds=3_000)
        lines = self.titles(self.draw(), "line")
        self.assertThat(
            lines,
            Equals(
                [
                    "claimed to retry: 2.000 s\nr1",
                    "claimed to claim_refused: 2.100 s\nr2",
                    "retry to outcome: 0.500 s\nr1",
                    "r1: 3.000 s",
                ]
            ),
        )

    def test_run_shows_the_entry_that_started_it(self):
        self.record(900.0, "job_admitted", "x@1")
        self.record(901.0, "run_started", "x@1:0", run=1, worker="w1")
        self.record(902.0, "shard_taken_over", "0", epoch=2)
        self.record(903.0, "run_ended", "x@1:0", run=1)
        text = self.draw()
        expected = ["job_admitted to run_started: 1.000 s\nx@1:0"]
        expected.append("run_started to run_ended: 2.000 s\nx@1:0")
        self.assertThat(self.titles(text, "line"), Equals(expected))
        mark = "run_started x@1:0\ne1 1970-01-01T00:15:01.000Z clock 2\nrun=1 worker=w1"
        self.assertThat(self.titles(text, "circle"), Contains(mark))

    def test_subjects_are_escaped_in_the_picture(self):
        self.record(900.0, "later_kind", "<script>\x00&")
        self.assertThat(self.titles(self.draw(), "circle")[0], Contains("<script>?&"))
        page = self.draw("run.html")
        self.assertThat(page.startswith("<!doctype html>"), Equals(True))
        self.assertThat("<script>" in page, Equals(False))

    def test_kinds_have_distinct_colours(self):
        self.assertThat(len({colour_of(kind) for kind in KINDS}), Equals(len(KINDS)))

    def test_nothing_to_draw(self):
        self.assertThat(self.titles(self.draw(), "circle"), Equals([]))

    def test_events_keep_fields_of_a_newer_version(self):
        self.record(900.0, "claimed", "r1")
        self.store()
        name = next(iter(self.objects.by_name))
        batch = decode(self.objects.by_name[name])
        self.assertThat(set(batch["events"][0]), Equals(set(Event._fields)))
        batch["events"][0]["later"] = 7
        self.objects.by_name[name] = encode(batch)
        output = self.run_command("timeline", "--json", *PLATFORM)[1]
        self.assertThat(decode(output)["later"], Equals(7))
