"""Metrics of long-running tasks that are down, and the names of all metrics of the daemon."""

import re
from pathlib import Path
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.dispatch_metrics import register_client_metrics
from laburnumswitch.dispatch_metrics import register_configuration_metrics
from laburnumswitch.dispatch_metrics import register_dispatch_metrics
from laburnumswitch.dispatch_metrics import register_start_delay_metrics
from laburnumswitch.process.dispatch.start_delays import DOWN_BOUNDS_S
from laburnumswitch.process.dispatch.start_delays import DownCount
from laburnumswitch.process.dispatch.start_delays import StartDelays
from laburnumswitch.process.dispatch.start_delays import WaitReason
from laburnumswitch.process.observing.metrics import Metrics

OPERATIONS = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"
NAME = re.compile(r"laburnumswitch_[a-z_]*[a-z]\b(?!_)")
REASON_ROW = re.compile(r"^\| ((?:`\w+`(?:, )?)+) \| [^|]+ \|$", re.MULTILINE)
DOWN = "laburnumswitch_owner_long_running_down"


class TestStartDelayMetrics(TestCase):
    def setUp(self):
        super().setUp()
        self.delays = StartDelays()
        self.dispatcher = SimpleNamespace(start_delays=self.delays)
        self.metrics = Metrics()
        register_start_delay_metrics(self.metrics, lambda: self.dispatcher)

    def _lines(self):
        text = self.metrics.render("text/plain")[0].decode()
        return [line for line in text.splitlines() if line.startswith("laburnumswitch_owner_long")]

    def test_tasks_that_are_down_are_counted_by_reason(self):
        self.delays.down_by_reason = {WaitReason.KEPT: DownCount(3, 7.5)}
        lines = self._lines()
        self.assertThat(lines, Contains(f'{DOWN}{{reason="kept"}} 3'))
        self.assertThat(lines, Contains(f'{DOWN}_seconds{{reason="kept"}} 7.5'))
        self.assertThat(lines, Contains(f'{DOWN}{{reason="silent"}} 0'))

    def test_number_of_series_does_not_grow(self):
        before = len(self._lines())
        self.delays.down_by_reason = dict.fromkeys(WaitReason, DownCount(1, 1.0))
        self.assertThat(len(self._lines()), Equals(before))
        self.assertThat(before, Equals(2 * len(WaitReason) + len(DOWN_BOUNDS_S) + 2))

    def test_starts_are_shown_by_how_long_tasks_were_down(self):
        self.delays.starts_by_bound_s.update({6.0: 2, float("inf"): 1})
        self.delays.longest_down_s = 15.7
        lines = self._lines()
        name = "laburnumswitch_owner_long_running_start"
        self.assertThat(lines, Contains(f'{name}s{{below_s="6"}} 2'))
        self.assertThat(lines, Contains(f'{name}s{{below_s="inf"}} 1'))
        self.assertThat(lines, Contains(f"{name}_delay_max_seconds 15.7"))

    def test_entry_that_was_the_owner_shows_no_earlier_values(self):
        # The registry keeps the last value of each series.
        self.delays.down_by_reason = {WaitReason.KEPT: DownCount(3, 7.5)}
        self.delays.longest_down_s = 15.7
        self._lines()
        self.dispatcher = None
        self.assertThat({line.split()[-1] for line in self._lines()}, Equals({"0", "0.0"}))


class TestOperationsPage(TestCase):
    def test_metrics_that_it_names_exist(self):
        metrics = Metrics()
        register_dispatch_metrics(metrics, None, None, None, None)
        register_client_metrics(metrics, None, ())
        register_configuration_metrics(
            metrics, SimpleNamespace(version=None), None, None, None, None
        )
        used = set(NAME.findall(OPERATIONS.read_text("utf-8")))
        self.assertThat(used - set(metrics.names), Equals(set()))

    def test_reasons_for_which_tasks_are_down_are_all_explained(self):
        page = OPERATIONS.read_text("utf-8")
        section = page.partition("## A long-running task that does not run")[2].partition("\n## ")[
            0
        ]
        rows = REASON_ROW.findall(section)
        explained = [name for row in rows for name in re.findall(r"`(\w+)`", row)]
        reasons = [str(reason) for reason in WaitReason]
        self.assertThat(sorted(set(explained) & set(reasons)), Equals(sorted(reasons)))
        self.assertThat(set(explained) - set(reasons) - {"reason"}, Equals(set()))
