"""Decodes a YAML mapping into a ``NamedTuple`` by its type hints, collecting every problem.

Each field is decoded strictly by msgspec on its own, so that one bad field does not hide the next.
A field whose type is itself a ``NamedTuple`` is a nested mapping.
"""

import re
from collections.abc import Iterable
from difflib import get_close_matches
from typing import Annotated
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TypeVar

from msgspec import convert
from msgspec import Meta
from msgspec import ValidationError

from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.exceptions import MissingField
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.exceptions import UnknownField
from laburnumswitch.units import decode_unit
from laburnumswitch.yamlfile import Path
from laburnumswitch.yamlfile import show_path
from laburnumswitch.yamlfile import YamlDocument

NEAR_ENOUGH = 0.6

T = TypeVar("T")

_REGEX_MESSAGE = "matching regex"
_AT_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`\Z")
_PATH_PART = re.compile(r"\[(\d+)\]|\.([^.\[]+)")


def decode_fields(document: YamlDocument, target: type[T], path: Path = ()) -> T | ProblemsFound:
    """Decode the mapping at ``path`` of a document.

    :param target: a ``NamedTuple`` type; fields without a default are required.
    """
    mapping = _at(document.value, path)
    if not isinstance(mapping, dict):
        reason = "expected a mapping of field to value"
        return ProblemsFound((invalid(document, path, reason),))
    hints = get_type_hints(target, include_extras=True)
    problems: list[FileProblem] = [
        _unknown(document, (*path, key), hints) for key in mapping if key not in hints
    ]
    values = {}
    for name, hint in hints.items():
        if name in mapping:
            value = _decode_field(document, hint, (*path, name))
            if isinstance(value, ProblemsFound):
                problems.extend(value.problems)
            else:
                values[name] = value
        elif name not in target._field_defaults:
            place = document.value_place(path)
            problems.append(MissingField(document.path, *place, show_path((*path, name))))
    if problems:
        return ProblemsFound(tuple(problems))
    return target(**values)


def invalid(document: YamlDocument, path: Path, reason: str) -> InvalidValue:
    """Return the problem that the value at ``path`` is not acceptable."""
    return InvalidValue(document.path, *document.value_place(path), show_path(path), reason)


def nearest(name: str, known: Iterable[str]) -> str:
    """Return the known name that looks most like ``name``, or an empty one."""
    matches = get_close_matches(name, sorted(known), n=1, cutoff=NEAR_ENOUGH)
    return matches[0] if matches else ""


def nested_type(hint: Any) -> type | None:
    """Return the ``NamedTuple`` type that a hint names, alone or as ``Type | None``."""
    candidates = (hint, *get_args(hint))
    if get_origin(hint) is Annotated:
        return nested_type(get_args(hint)[0])
    for candidate in candidates:
        if hasattr(candidate, "_field_defaults"):
            return candidate
    return None


def _decode_field(document: YamlDocument, hint: Any, path: Path) -> Any:
    nested = nested_type(hint)
    if nested is not None:
        return decode_fields(document, nested, path)
    try:
        return convert(_at(document.value, path), hint, strict=True, dec_hook=decode_unit)
    except ValidationError as error:
        return ProblemsFound((_invalid_by(document, hint, path, str(error)),))


def _invalid_by(document: YamlDocument, hint: Any, path: Path, message: str) -> InvalidValue:
    match = _AT_PATH.search(message)
    reason = message[: match.start()] if match else message
    if _REGEX_MESSAGE in reason:
        reason = f"expected {_pattern_meaning(hint)}"
    parts = _PATH_PART.findall(match["path"]) if match else []
    below = tuple(int(index) if index else name for index, name in parts)
    return invalid(document, (*path, *below), reason)


def _pattern_meaning(hint: Any) -> str:
    """Return the description of the only constraint in a hint that has a pattern."""
    for part in (*getattr(hint, "__metadata__", ()), *get_args(hint)):
        if isinstance(part, Meta):
            if part.pattern is not None:
                return part.description
        elif meaning := _pattern_meaning(part):
            return meaning
    return ""


def _unknown(document: YamlDocument, path: Path, known: Iterable[str]) -> UnknownField:
    place = document.key_place(path)
    return UnknownField(document.path, *place, show_path(path), nearest(str(path[-1]), known))


def _at(value: Any, path: Path) -> Any:
    for part in path:
        value = value[part]
    return value
