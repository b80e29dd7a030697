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


class WholeProtocol(TestCase):
    def test_every_property_holds_in_every_state(self):
        for name in MODEL_BY_NAME:
            finding = check_model(name).finding
            self.assertTrue(finding.exhaustive, name)
            self.assertEqual("", finding.broken, [step.action for step in finding.trace])

    def test_the_page_holds_the_current_table(self):
        table = render(check_model(name) for name in MODEL_BY_NAME)
        self.assertIn(table, PAGE.read_text())


class RemovedGuards(TestCase):
    def test_every_removal_is_refuted(self):
        for name, model in MODEL_BY_NAME.items():
            found = {(each.mutation, each.finding.broken) for each in check_model(name).refutations}
            self.assertEqual({(each, each.refutes) for each in model.mutations}, found)

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
