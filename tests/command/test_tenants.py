"""``tenants`` against the metrics pages of entries."""

from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.command.output import EXIT_UNAVAILABLE
from laburnumswitch.command.output import EXIT_USAGE
from laburnumswitch.organisation_metrics import organisation_samples
from laburnumswitch.organisation_metrics import register_usage_metrics
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.observing.bounded_labels import BoundedLabels
from laburnumswitch.process.observing.bounded_labels import OTHER_LABEL
from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.size import Size
from tests.command.case import CommandCase
from tests.process.dispatch.replay import FleetReplay

E1 = "127.0.0.1:1"
E2 = "127.0.0.1:2"
ENTRIES = ("--entry", E1, "--entry", E2)
STEP = Step(1, cpu_millis=1500, memory_mb=200)
# Names are the operators' choice; this one would end the label.
ODD_NAME = 'a "b"\\'


class TestTenants(CommandCase):
    def setUp(self):
        super().setUp()
        self.owner = FleetReplay([], []).owner
        self.configure(
            2, Organisation("b", 1.0, Size(4000, 0)), Organisation(ODD_NAME, 1.0, Size(0, 900, 2))
        )
        self.start("r1", "b")

    def configure(self, version, *organisations):
        by_name = {each.name: each for each in organisations}
        in_force = QueueConfiguration(version, {}, {}, organisations_by_name=by_name)
        self.owner.context.operations.apply(in_force)

    def start(self, name, organisation):
        self.owner.organisation_usage.add_run("w1", TaskKey(name, 0, 0, 0), organisation, STEP)

    def page(self, owner, metrics=None):
        metrics = metrics or Metrics()
        metrics.add_gauge("laburnumswitch_is_owner", "", lambda: float(owner is not None))
        register_usage_metrics(metrics, lambda: owner)
        return metrics.render("*/*")[0]

    def test_rows_of_the_owner(self):
        """An entry that is not the owner has no sums, which would read as nothing running."""
        self.entry(E1).answers["/metrics"] = self.page(None)
        self.entry(E2).answers["/metrics"] = self.page(self.owner)
        code, answer = self.run_json("tenants", *ENTRIES)
        idle = {"tenant": ODD_NAME, "runs": 0, "cores": 0.0, "cores_limit": None}
        idle |= {"memory_mb": 0, "memory_mb_limit": 900}
        idle |= {"accelerators": 0, "accelerators_limit": 2}
        busy = {"tenant": "b", "runs": 1, "cores": 1.5, "cores_limit": 4.0}
        busy |= {"memory_mb": 200, "memory_mb_limit": None}
        busy |= {"accelerators": 0, "accelerators_limit": None}
        self.assertThat((code, answer["rows"]), Equals((0, [idle, busy])))
        table = self.run_command("tenants", *ENTRIES)[1]
        self.assertThat(table.splitlines()[2].split(), Equals(["b", "1", "1.5", "4", "200", "0"]))

    def test_without_an_owner_nothing_is_shown(self):
        self.entry(E1).answers["/metrics"] = self.page(None)
        self.entry(E2).answers["/metrics"] = self.page(None)
        code, _, errors = self.run_command("tenants", *ENTRIES)
        self.assertThat((code, errors), Equals((EXIT_UNAVAILABLE, errors)))
        self.assertThat(errors, Contains("is the owner"))
        self.assertThat(self.run_command("tenants")[0], Equals(EXIT_USAGE))

    def test_organisations_beyond_the_bound_are_added_up(self):
        """Each name is a time series for ever, also that of an organisation long gone."""
        labels = BoundedLabels(2)

        def values(owner):
            samples = organisation_samples(owner, labels, lambda total, _: total.runs)
            return {sample.labels["organisation"]: sample.value for sample in samples}

        self.start("r2", "c")
        self.start("r3", "d")
        self.assertThat(values(self.owner), Equals({"b": 1, ODD_NAME: 0, OTHER_LABEL: 2}))
        self.configure(3)
        self.owner.organisation_usage.remove_run("w1", TaskKey("r1", 0, 0, 0))
        self.assertThat(values(self.owner), Equals({"b": 0, ODD_NAME: 0, OTHER_LABEL: 2}))
        self.assertThat(values(None), Equals({"b": 0, ODD_NAME: 0, OTHER_LABEL: 0}))
