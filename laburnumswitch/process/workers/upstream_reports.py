"""Parses the state that upstreams report about themselves, as their service declares it.

A report can only divert requests from an upstream, because its performance is measured rather than
reported. If a report contains a field more than once, the worst value counts.
"""

from math import isfinite
from typing import Any
from typing import NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

from laburnumswitch.declaration import StateReport
from laburnumswitch.exceptions import ReportUnreadable

LEAVING_VALUES = frozenset(("true", "1", "yes", "on", "leaving", "draining", "stopping"))
MAX_REPORT_BYTES = 262_144


class ReportedState(NamedTuple):
    """State that an upstream reported; ``load`` is a fraction of its capacity, at most 1.0.

    ``leaving`` and ``load`` are ``None`` if the report does not contain them.
    """

    ready: bool
    leaving: bool | None
    load: float | None


FieldValues = dict[str, list[str]]


def parse_body(declared: StateReport, body: bytes) -> ReportedState | ReportUnreadable:
    """Parse the body of a JSON or metrics report."""
    if len(body) > MAX_REPORT_BYTES:
        return ReportUnreadable("report too large")
    if declared.manner == "metrics":
        return _interpret(declared, _metric_values(body))
    try:
        document = decode(body)
    except (DecodeError, RecursionError):
        return ReportUnreadable("invalid JSON")
    names = (declared.ready_field, declared.leaving_field, declared.load_field)
    return _interpret(declared, {name: _json_values(document, name) for name in names if name})


def parse_headers(
    declared: StateReport, headers: tuple[tuple[str, str], ...]
) -> ReportedState | ReportUnreadable:
    """Parse a report from the headers of a response."""
    names = {
        name.lower(): name
        for name in (declared.ready_field, declared.leaving_field, declared.load_field)
        if name
    }
    values: FieldValues = {}
    for name, value in headers:
        declared_name = names.get(name.lower())
        if declared_name is not None:
            values.setdefault(declared_name, []).append(value.strip())
    if not values:
        return ReportUnreadable("no declared header in the response")
    return _interpret(declared, values, ready_by_default=True)


def _interpret(
    declared: StateReport, values: FieldValues, ready_by_default: bool = False
) -> ReportedState | ReportUnreadable:
    ready = True
    if declared.ready_field:
        texts = values.get(declared.ready_field, [])
        if not texts and not ready_by_default:
            return ReportUnreadable(f"missing field {declared.ready_field}")
        accepted = {text.lower() for text in declared.ready_values}
        ready = all(_normalize(text) in accepted for text in texts)
    leaving = None
    if values.get(declared.leaving_field):
        leaving = any(_normalize(text) in LEAVING_VALUES for text in values[declared.leaving_field])
    return ReportedState(ready, leaving, _parse_load(declared, values))


def _parse_load(declared: StateReport, values: FieldValues) -> float | None:
    loads = []
    for text in values.get(declared.load_field, []):
        try:
            load = float(text.rstrip("%")) * declared.load_scale
        except ValueError:
            continue
        if isfinite(load) and load >= 0.0:
            loads.append(min(load, 1.0))
    return max(loads, default=None)


def _normalize(text: str) -> str:
    lower = text.strip().lower()
    # Metrics and some JSON reports write 1.0 for 1.
    return lower[:-2] if lower.endswith(".0") else lower


def _json_values(document: Any, dotted_name: str) -> list[str]:
    value = document
    for name in dotted_name.split("."):
        if not isinstance(value, dict) or name not in value:
            return []
        value = value[name]
    if isinstance(value, bool):
        return ["true" if value else "false"]
    if isinstance(value, str | int | float):
        return [str(value)]
    return []


def _metric_values(body: bytes) -> FieldValues:
    values: FieldValues = {}
    for line in body.decode("utf-8", "replace").splitlines():
        if line.startswith("#") or not line.strip():
            continue
        if "{" in line:
            name, _, rest = line.partition("{")
            fields = rest.rpartition("}")[2].split()
        else:
            name, *fields = line.split()
        if fields:
            values.setdefault(name.strip(), []).append(fields[0])
    return values
