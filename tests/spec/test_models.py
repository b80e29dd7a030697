from pathlib import Path

from testtools import TestCase

from spec.model import Action
from spec.model import check
from spec.model import Model
from spec.model import PROGRESS
from spec.report import check_model
from spec.report import MODEL_BY_NAME
from spec.report import render

PAGE = Path(__file__).parents[2] / "docs" / "developers" / "protocol.md"


class Models(TestCase):
    def test_properties_hold_and_every_guard_is_needed(self):
        # One test, so that no other process repeats the search.
        for name, model in MODEL_BY_NAME.items():
            result = check_model(name)
            finding = result.finding
            self.assertTrue(finding.exhaustive, name)
            self.assertEqual("", finding.broken, [step.action for step in finding.trace])
            found = {(each.mutation, each.finding.broken) for each in result.refutations}
            self.assertEqual({(each, each.refutes) for each in model.mutations}, found)
        table = render(check_model(name) for name in MODEL_BY_NAME)
        self.assertIn(table, PAGE.read_text())

    def test_every_property_is_broken_by_some_removal(self):
        for model in MODEL_BY_NAME.values():
            broken = {mutation.refutes for mutation in model.mutations}
            self.assertEqual({*model.invariants, PROGRESS}, broken)


class UnboundedModel(TestCase):
    def test_endless_search_is_never_taken_for_a_proof(self):
        def count(state, guards):
            yield state + 1

        rises = {"rises": lambda state: state >= 0}
        model = Model("counter", 0, (Action("count", count),), rises, lambda state: True, ())
        finding = check(model, max_states=1_000)
        self.assertFalse(finding.exhaustive)
        self.assertEqual("undetermined", finding.broken)
