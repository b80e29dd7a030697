"""``explain`` on the logs of several entries."""

from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import Not

from laburnumswitch.command import main

JOB = "5c0e7a21d94b36f8"


def decision_line(at_s, vm, event, subject, **details):
    return encode({"t": at_s, "vm": vm, "event": event, "id": subject, **details}).decode()


class TestExplain(TestCase):
    def _explain(self, *logs, job_id=JOB):
        with TemporaryDirectory() as folder:
            names = [f"{folder}/{number}.log" for number in range(len(logs))]
            for name, log in zip(names, logs, strict=True):
                Path(name).write_text("\n".join(log), encoding="utf-8")
            return CliRunner().invoke(main, ["explain", job_id, *names])

    def test_lapsed_worker_is_shown_as_the_cause(self):
        # The job's worker stopped answering; its lease had to expire before the task ran elsewhere.
        first = [
            "noise",
            decision_line(1.0, "vm-1", "request", JOB, status=200),
            decision_line(1.1, "vm-1", "run_start", f"{JOB}.0.0.0", run=1, worker="w1"),
            decision_line(7.2, "vm-1", "worker_lapsed", "w1", why="AnswerLost"),
            decision_line(7.2, "vm-1", "worker_lapsed", "w2", why="AnswerLost"),
            "{cut",
        ]
        second = [decision_line(8.0, "vm-2", "run_start", f"{JOB}.0.0.0", run=2, worker="w3")]
        result = self._explain(second, first)
        self.assertThat(result.exit_code, Equals(0))
        events = [row.split()[2] for row in result.output.splitlines()]
        self.assertThat(events, Equals(["request", "run_start", "worker_lapsed", "run_start"]))
        self.assertThat(result.output, Not(Contains("w2")))

    def test_job_that_reached_no_entry(self):
        result = self._explain([decision_line(1.0, "vm-1", "request", "other")])
        self.assertThat(result.exit_code, Equals(1))
        self.assertThat(result.output, Contains("reached none"))
