from pathlib import Path

from testtools import TestCase

from spec.model import Action
from spec.model import check
from spec.model import Model
from spec.model import PROGRESS
from spec.report import check_model
from spec.report import MODEL_BY_NAME
from spec.report import render_tables

PAGE = Path(__file__).parents[2] / "docs" / "developers" / "protocol.md"


class ModelCheck(TestCase):
    def test_properties_hold_and_every_mutation_is_refuted(self):
        # A single test, so that the search runs in only one of the test processes.
        for name, model in MODEL_BY_NAME.items():
            result = check_model(name)
            finding = result.finding
            self.assertTrue(finding.exhaustive, name)
            self.assertEqual("", finding.broken, [step.action for step in finding.trace])
            found = {(each.mutation, each.finding.broken) for each in result.refutations}
            self.assertEqual({(each, each.refutes) for each in model.mutations}, found)
        table = render_tables(check_model(name) for name in MODEL_BY_NAME)
        self.assertIn(table, PAGE.read_text())

    def test_every_property_is_refuted_by_some_mutation(self):
        for model in MODEL_BY_NAME.values():
            broken = {mutation.refutes for mutation in model.mutations}
            self.assertEqual({*model.invariants, PROGRESS}, broken)


class UnboundedModel(TestCase):
    def test_incomplete_search_is_not_reported_as_exhaustive(self):
        def count(state, guards):
            yield state + 1

        rises = {"rises": lambda state: state >= 0}
        model = Model("counter", 0, (Action("count", count),), rises, lambda state: True, ())
        finding = check(model, max_states=1_000)
        self.assertFalse(finding.exhaustive)
        self.assertEqual("undetermined", finding.broken)
