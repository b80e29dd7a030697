"""The list of event kinds matches the events that the code records."""

import ast
import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.process.admission.job_row import FINAL_STATES
from laburnumswitch.process.admission.job_row import UNADMITTED_STATES
from laburnumswitch.process.observing.event_kinds import KINDS

PACKAGE = Path(__file__).parents[3] / "laburnumswitch"
PREFIX = "job_"


def recorded_kinds():
    """Return the first argument of every ``timeline.record`` call in the package."""
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and ast.unparse(node.func).endswith("timeline.record"):
                yield node.args[0]


class TestEventKinds(TestCase):
    def test_every_kind_is_listed_and_every_listed_kind_is_recorded(self):
        arguments = list(recorded_kinds())
        literals = {node.value for node in arguments if isinstance(node, ast.Constant)}
        composed = {ast.unparse(node) for node in arguments if not isinstance(node, ast.Constant)}
        self.assertThat(composed, Equals({"'job_' + state"}))
        states = FINAL_STATES | UNADMITTED_STATES | {"admitted"}
        self.assertThat(literals | {PREFIX + state for state in states}, Equals(KINDS))

    def test_kinds_are_snake_case(self):
        self.assertThat(
            [kind for kind in KINDS if not re.fullmatch("[a-z]+(_[a-z]+)*", kind)], Equals([])
        )
