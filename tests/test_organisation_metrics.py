"""Metrics by organisation of the dispatch daemon's owner."""

from collections import Counter
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.organisation_metrics import MAX_ORGANISATIONS
from laburnumswitch.organisation_metrics import register_organisation_metrics
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.organisation_admission import Cause
from laburnumswitch.process.observing.metrics import Metrics


class TestOrganisationMetrics(TestCase):
    def setUp(self):
        super().setUp()
        organisations = {f"org-{n}": Organisation(f"org-{n}", 1000.0 - n) for n in range(80)}
        operations = SimpleNamespace(organisations_by_name=organisations)
        rejected = {(name, Cause.BACKLOG): 2 for name in organisations}
        self.dispatcher = SimpleNamespace(
            context=SimpleNamespace(operations=operations),
            ready_step_by_key={},
            organisation_admissions=SimpleNamespace(rejected_by_cause=Counter(rejected)),
        )
        self.metrics = Metrics()
        register_organisation_metrics(self.metrics, lambda: self.dispatcher)

    def _lines(self):
        text = self.metrics.render("text/plain")[0].decode()
        return [line for line in text.splitlines() if line.startswith("laburnumswitch_owner_org")]

    def test_number_of_organisations_is_bounded(self):
        # A configuration with thousands of tenants made as many time series.
        lines = [line for line in self._lines() if "rejected" in line]
        self.assertThat(len(lines), Equals(MAX_ORGANISATIONS + 1))
        name = "laburnumswitch_owner_organisation_rejected_jobs"
        self.assertThat(lines, Contains(f'{name}{{cause="backlog",organisation="org-0"}} 2'))
        self.assertThat(lines, Contains(f'{name}{{cause="backlog",organisation="other"}} 60'))

    def test_entry_that_is_not_the_owner_has_no_values(self):
        self.dispatcher = None
        self.assertThat(self._lines(), Equals([]))

    def test_entry_that_was_the_owner_shows_no_earlier_values(self):
        # The registry keeps the last value of each series.
        self._lines()
        self.dispatcher = None
        self.assertThat({line.split()[-1] for line in self._lines()}, Equals({"0"}))
