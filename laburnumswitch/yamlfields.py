"""Decodes YAML mappings into named tuples by their type hints, collecting every problem.

msgspec decodes each field separately and strictly, so that one invalid field does not hide others.
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
from laburnumswitch.units import decode_amount
from laburnumswitch.yamlfile import format_path
from laburnumswitch.yamlfile import Path
from laburnumswitch.yamlfile import YamlDocument

SIMILARITY_CUTOFF = 0.6

T = TypeVar("T")

# Parts of msgspec's error messages.
_MSGSPEC_PATTERN_ERROR = "matching regex"
_MSGSPEC_PATH_SUFFIX = re.compile(r" - at `\$(?P<path>[^`]*)`\Z")
_PATH_PART = re.compile(r"\[(\d+)\]|\.([^.\[]+)")


def decode_fields(document: YamlDocument, target: type[T], path: Path = ()) -> T | ProblemsFound:
    """Decode the mapping at ``path`` of a document.

    :param target: a ``NamedTuple`` type; fields without a default are required.
    """
    mapping = _value_at(document.value, path)
    if not isinstance(mapping, dict):
        reason = "expected a mapping of field names to values"
        return ProblemsFound((invalid_value(document, path, reason),))
    hints = get_type_hints(target, include_extras=True)
    problems: list[FileProblem] = [
        _unknown_field(document, (*path, key), hints) for key in mapping if key not in hints
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
            position = document.value_position(path)
            problems.append(MissingField(document.file_path, *position, format_path((*path, name))))
    if problems:
        return ProblemsFound(tuple(problems))
    return target(**values)


def invalid_value(document: YamlDocument, path: Path, reason: str) -> InvalidValue:
    """Return the problem of an invalid value at ``path``."""
    return InvalidValue(
        document.file_path, *document.value_position(path), format_path(path), reason
    )


def closest_name(name: str, known: Iterable[str]) -> str:
    """Return the known name most similar to ``name``, or an empty string."""
    matches = get_close_matches(name, sorted(known), n=1, cutoff=SIMILARITY_CUTOFF)
    return matches[0] if matches else ""


def nested_type(hint: Any) -> type | None:
    """Return the ``NamedTuple`` type that a hint refers to, also as ``Type | None``."""
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
        return convert(_value_at(document.value, path), hint, strict=True, dec_hook=decode_amount)
    except ValidationError as error:
        return ProblemsFound((_invalid_from_message(document, hint, path, str(error)),))


def _invalid_from_message(
    document: YamlDocument, hint: Any, path: Path, message: str
) -> InvalidValue:
    match = _MSGSPEC_PATH_SUFFIX.search(message)
    reason = message[: match.start()] if match else message
    if _MSGSPEC_PATTERN_ERROR in reason:
        reason = f"expected {_pattern_description(hint)}"
    parts = _PATH_PART.findall(match["path"]) if match else []
    subpath = tuple(int(index) if index else name for index, name in parts)
    return invalid_value(document, (*path, *subpath), reason)


def _pattern_description(hint: Any) -> str:
    """Return the description of the one constraint in a hint that has a pattern."""
    for part in (*getattr(hint, "__metadata__", ()), *get_args(hint)):
        if isinstance(part, Meta):
            if part.pattern is not None:
                return part.description
        elif description := _pattern_description(part):
            return description
    return ""


def _unknown_field(document: YamlDocument, path: Path, known: Iterable[str]) -> UnknownField:
    position = document.key_position(path)
    return UnknownField(
        document.file_path, *position, format_path(path), closest_name(str(path[-1]), known)
    )


def _value_at(value: Any, path: Path) -> Any:
    for part in path:
        value = value[part]
    return value
