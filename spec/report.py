"""Checks every model and every mutation, and writes the table of what was found."""

from collections.abc import Iterable
from functools import cache
from typing import NamedTuple

from spec.adoption import ADOPTION
from spec.claim import CLAIM
from spec.lease import LEASE
from spec.model import check
from spec.model import Finding
from spec.model import Model
from spec.model import Mutation
from spec.model import PROGRESS
from spec.model import refute
from spec.ownership import OWNERSHIP
from spec.run import RUN

MODEL_BY_NAME = {model.name: model for model in (OWNERSHIP, LEASE, RUN, ADOPTION, CLAIM)}
BEGIN = "<!-- begin: written by python -m spec -->"
END = "<!-- end: written by python -m spec -->"


class Refutation(NamedTuple):
    """One mutation and what the checker found without the removed guard."""

    mutation: Mutation
    finding: Finding


class Result(NamedTuple):
    """Everything found about one model."""

    model: Model
    finding: Finding
    refutations: tuple[Refutation, ...]


@cache
def check_model(name: str) -> Result:
    """Check one model with all its guards, then without each of them."""
    model = MODEL_BY_NAME[name]
    refutations = (Refutation(each, refute(model, each)) for each in model.mutations)
    return Result(model, check(model), tuple(refutations))


def render(results: Iterable[Result]) -> str:
    """Return the tables as Markdown."""
    results = tuple(results)
    lines = ["| model | states | exhaustive | properties that hold |", "| --- | --- | --- | --- |"]
    for result in results:
        names = ", ".join(f"`{name}`" for name in (*result.model.invariants, PROGRESS))
        finding = result.finding
        verdict = "yes" if finding.exhaustive and not finding.broken else "NO"
        lines.append(f"| `{finding.model}` | {finding.states:,} | {verdict} | {names} |")
    lines += ["", "| model | removed | refuted property | shortest trace |"]
    lines += ["| --- | --- | --- | --- |"]
    for result in results:
        lines += [_refutation_line(result, each) for each in result.refutations]
    return "\n".join([*lines, "", *_function_lines(results)])


def replace_between_markers(text: str, table: str) -> str:
    """Return ``text`` with ``table`` between the markers."""
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{table}\n\n{END}{after}"


def _refutation_line(result: Result, refutation: Refutation) -> str:
    mutation, finding = refutation
    broken = finding.broken or "NOT REFUTED"
    steps = ", ".join(step.action for step in finding.trace[1:]) or "at the start"
    return f"| `{result.model.name}` | `{mutation.removed}` | `{broken}` | {steps} |"


def _function_lines(results: tuple[Result, ...]) -> list[str]:
    lines = ["| model | action | implemented by |", "| --- | --- | --- |"]
    for result in results:
        for action in result.model.actions:
            function = f"`{action.function}`" if action.function else "the environment"
            lines.append(f"| `{result.model.name}` | `{action.name}` | {function} |")
    return lines
