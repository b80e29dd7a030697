"""How long tasks were down, from the logs of several owners."""

from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner
from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.command import main
from laburnumswitch.command.down_times import find_gaps
from laburnumswitch.command.down_times import Gap
from laburnumswitch.command.explain import DecisionLine

TASK = "9c7e573a34668cde.0.0.0"


def make_line(at_s, vm, event, subject=TASK, **details):
    return DecisionLine(at_s, vm, event, subject, details)


def started(at_s, vm, run, down_s=0.0, **details):
    return make_line(at_s, vm, "run_start", run=run, outcome="started", down_s=down_s, **details)


def down(at_s, vm, reason, reason_for_s=1.0):
    return make_line(at_s, vm, "task_down", reason=reason, reason_for_s=reason_for_s)


def taken(at_s, vm, epoch):
    return make_line(at_s, vm, "takeover", str(epoch), outcome="taken")


FIRST_RUN = started(1.0, "vm-1", 1)


class TestGaps(TestCase):
    def test_waits_of_several_owners_add_up(self):
        # Each of these waits is within its own bound, and no owner knows of the others'.
        lines = [
            FIRST_RUN,
            make_line(10.0, "vm-1", "run_released", run=1, confirmed_s_ago=9.0, answered_s_ago=1.5),
            make_line(11.0, "vm-1", "owner_load", "1"),
            make_line(12.5, "vm-1", "request", "another"),
            taken(13.5, "vm-2", 2),
            down(16.5, "vm-2", "unknown_runs", 3.0),
            down(17.5, "vm-2", "unknown_runs", 4.0),
            make_line(18.0, "vm-2", "ownership_released", "2"),
            taken(18.25, "vm-3", 3),
            down(21.25, "vm-3", "kept", 2.75),
            started(22.0, "vm-3", 20001, 3.5, longest_wait="kept", longest_wait_s=3.5),
        ]
        waited = {"unseen": 1.75, "no_owner": 2.75, "unknown_runs": 4.0, "kept": 3.5}
        expected = Gap(TASK, 10.0, 1.5, 22.0, ("vm-2", "vm-3"), waited)
        self.assertThat(find_gaps(reversed(lines)), Equals([expected]))
        self.assertThat(find_gaps(lines)[0].duration_s(0.0), Equals(12.0))

    def test_short_gap_has_the_reason_of_its_start(self):
        lines = [
            FIRST_RUN,
            make_line(5.0, "vm-1", "run_ended", run=1, how="stopped"),
            started(7.0, "vm-1", 2, 2.0, longest_wait="kept", longest_wait_s=1.5),
        ]
        waited = {"unseen": 0.5, "kept": 1.5}
        self.assertThat(find_gaps(lines), Equals([Gap(TASK, 5.0, 0.0, 7.0, (), waited)]))

    def test_start_without_an_answer_does_not_end_a_gap(self):
        lines = [
            FIRST_RUN,
            make_line(5.0, "vm-1", "run_ended", run=1, how="stopped"),
            make_line(6.0, "vm-1", "run_start", run=2, outcome="AnswerLost", down_s=1.0),
            make_line(7.0, "vm-1", "run_released", run=2, confirmed_s_ago=None),
            started(9.0, "vm-1", 3, 4.0),
        ]
        self.assertThat([gap.duration_s(9.0) for gap in find_gaps(lines)], Equals([4.0]))

    def test_run_without_an_answer_that_is_reported_to_have_ended_did_run(self):
        lines = [
            FIRST_RUN,
            make_line(5.0, "vm-1", "run_ended", run=1, how="stopped"),
            make_line(6.0, "vm-1", "run_start", run=2, outcome="AnswerLost", down_s=1.0),
            make_line(7.0, "vm-1", "run_ended", run=2, how="stopped"),
            started(9.0, "vm-1", 3, 2.0),
        ]
        ends = [(gap.ended_s, gap.started_s) for gap in find_gaps(lines)]
        self.assertThat(ends, Equals([(5.0, 7.0), (7.0, 9.0)]))

    def test_adopted_run_goes_on(self):
        lines = [
            FIRST_RUN,
            taken(5.0, "vm-2", 2),
            make_line(5.5, "vm-2", "run_adopted", run=1, worker="w1"),
            make_line(9.0, "vm-2", "run_ended", run=1, how="stopped"),
            started(9.5, "vm-2", 10001, 0.5),
        ]
        ends = [(gap.ended_s, gap.started_s) for gap in find_gaps(lines)]
        self.assertThat(ends, Equals([(9.0, 9.5)]))

    def test_end_that_nobody_logged_is_taken_from_the_next_start(self):
        # Its owner and its worker were lost together.
        lines = [FIRST_RUN, taken(9.0, "vm-2", 2), started(15.0, "vm-2", 10001, 5.5)]
        self.assertThat([gap.ended_s for gap in find_gaps(lines)], Equals([9.5]))

    def test_end_that_nobody_logged_is_the_last_answer_of_its_worker(self):
        # The second owner left before it had settled, so the third waits for a lease again.
        lines = [
            started(1.0, "vm-1", 1, worker="w1"),
            make_line(2.0, "vm-1", "worker_silent", "w1", answered_s_ago=1.0),
            make_line(2.5, "vm-1", "worker_reached", "w1"),
            make_line(5.5, "vm-1", "worker_silent", "w1", answered_s_ago=1.5),
            make_line(5.75, "vm-1", "ownership_released", "1"),
            taken(6.0, "vm-2", 2),
            make_line(6.5, "vm-2", "worker_silent", "w1", answered_s_ago=None),
            make_line(6.75, "vm-2", "ownership_released", "2"),
            taken(7.0, "vm-3", 3),
            started(14.0, "vm-3", 20001, 8.5, longest_wait="unknown_runs", longest_wait_s=8.5),
        ]
        gap = find_gaps(lines)[0]
        self.assertThat((gap.ended_s, gap.owners), Equals((4.0, ("vm-2", "vm-3"))))
        self.assertThat(gap.duration_s(0.0), Equals(10.0))

    def test_end_reported_again_to_a_successor_counts_once(self):
        lines = [
            FIRST_RUN,
            make_line(5.0, "vm-1", "run_ended", run=1, how="stopped"),
            started(5.5, "vm-1", 2, 0.5),
            make_line(8.0, "vm-2", "run_ended", run=1, how="stopped"),
        ]
        self.assertThat([gap.ended_s for gap in find_gaps(lines)], Equals([5.0]))

    def test_gap_goes_on_to_the_end_of_the_logs_unless_the_job_has_ended(self):
        lines = [
            FIRST_RUN,
            make_line(5.0, "vm-1", "run_ended", run=1, how="stopped"),
            down(9.0, "vm-1", "pieces", 4.0),
        ]
        expected = Gap(TASK, 5.0, 0.0, None, (), {"pieces": 4.0})
        self.assertThat(find_gaps(lines), Equals([expected]))
        self.assertThat(expected.duration_s(9.0), Equals(4.0))
        job_id = TASK.partition(".")[0]
        final = make_line(10.0, "vm-1", "job_final", job_id, state="cancelled")
        self.assertThat(find_gaps([*lines, final]), Equals([]))

    def test_other_tasks_have_none(self):
        lines = [
            make_line(1.0, "vm-1", "run_start", run=1, outcome="started"),
            make_line(5.0, "vm-1", "run_ended", run=1, how="failed"),
            make_line(9.0, "vm-1", "run_start", run=2, outcome="started"),
        ]
        self.assertThat(find_gaps(lines), Equals([]))


class TestCommand(TestCase):
    def _run(self, *options):
        lines = [
            FIRST_RUN,
            make_line(5.0, "vm-1", "run_ended", run=1, how="stopped"),
            started(7.0, "vm-1", 2, 2.0, longest_wait="kept", longest_wait_s=2.0),
            make_line(10.0, "vm-1", "run_ended", run=2, how="stopped"),
            taken(12.0, "vm-2", 2),
        ]
        with TemporaryDirectory() as folder:
            path = Path(folder, "entry.log")
            path.write_text("\n".join(encode_line(line) for line in lines), "utf-8")
            result = CliRunner().invoke(main, ["downtimes", str(path), "--json", *options])
        self.assertThat(result.exit_code, Equals(0))
        return decode(result.output)["rows"]

    def test_shows_long_times_only(self):
        self.assertThat(self._run(), Equals([]))
        self.assertThat(len(self._run("--over", "2")), Equals(2))

    def test_shows_from_when_to_when_and_why(self):
        expected = {
            "task": TASK,
            "ended": "1970-01-01T00:00:05.000Z",
            "started": "1970-01-01T00:00:07.000Z",
            "down_s": 2.0,
            "unheard_s": 0.0,
            "owners": "",
            "waited_s": {"kept": 2.0},
        }
        first, second = self._run("--over", "2")
        self.assertThat(first, Equals(expected))
        self.assertThat((second["started"], second["owners"]), Equals(("", "vm-2")))


def encode_line(line):
    fields = {"t": line.at_s, "vm": line.vm, "event": line.event, "id": line.subject}
    return encode({**fields, **line.details}).decode()
