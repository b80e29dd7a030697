"""Checks the models with their mutations and renders the results as Markdown tables."""

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
BEGIN_MARKER = "<!-- begin: written by python -m spec -->"
END_MARKER = "<!-- end: written by python -m spec -->"


class Refutation(NamedTuple):
    """One mutation and the finding of the model check with it."""

    mutation: Mutation
    finding: Finding


class ModelResult(NamedTuple):
    """All findings of one model."""

    model: Model
    finding: Finding
    refutations: tuple[Refutation, ...]


@cache
def check_model(name: str) -> ModelResult:
    """Check one model as it is and with each of its mutations."""
    model = MODEL_BY_NAME[name]
    refutations = (Refutation(each, refute(model, each)) for each in model.mutations)
    return ModelResult(model, check(model), tuple(refutations))


def render_tables(results: Iterable[ModelResult]) -> str:
    """Return the tables of models, mutations and implementing functions as Markdown."""
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
        lines += [_refutation_row(result, each) for each in result.refutations]
    return "\n".join([*lines, "", *_function_rows(results)])


def replace_between_markers(text: str, table: str) -> str:
    """Return ``text`` with the part between the markers replaced by ``table``."""
    before, _, rest = text.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    return f"{before}{BEGIN_MARKER}\n\n{table}\n\n{END_MARKER}{after}"


def _refutation_row(result: ModelResult, refutation: Refutation) -> str:
    mutation, finding = refutation
    broken = finding.broken or "NOT REFUTED"
    steps = ", ".join(step.action for step in finding.trace[1:]) or "at the start"
    return f"| `{result.model.name}` | `{mutation.removed}` | `{broken}` | {steps} |"


def _function_rows(results: tuple[ModelResult, ...]) -> list[str]:
    lines = ["| model | action | implemented by |", "| --- | --- | --- |"]
    for result in results:
        for action in result.model.actions:
            function = f"`{action.function}`" if action.function else "the environment"
            lines.append(f"| `{result.model.name}` | `{action.name}` | {function} |")
    return lines
