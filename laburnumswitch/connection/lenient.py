"""Forward-compatible decoding of messages, which a newer version may have appended fields to.

Messages are NamedTuples encoded as JSON arrays; a later version only appends fields that have
defaults. Decoding is strict first; only a message that fails has its unknown fields dropped and is
decoded again.
"""

from functools import cache
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TypeVar

from msgspec import convert
from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import decode

T = TypeVar("T")


def decode_known_fields(content: bytes, message_type: type[T]) -> T:
    """Decode a message, ignoring the appended fields that this version does not know.

    :raises DecodeError: if the content is not valid JSON, or is nested too deeply.
    :raises ValidationError: if a known field does not have the right type.
    """
    try:
        value = decode(content)
    except RecursionError as error:
        raise DecodeError(str(error)) from error
    try:
        return convert(value, message_type)
    except ValidationError:
        return convert(_drop_unknown_fields(value, message_type), message_type)


def _drop_unknown_fields(value: Any, expected_type: Any) -> Any:
    if isinstance(value, list) and hasattr(expected_type, "_fields"):
        field_types = _field_types(expected_type)
        return [
            _drop_unknown_fields(item, field_type)
            for item, field_type in zip(value, field_types, strict=False)
        ]
    if isinstance(value, list) and get_origin(expected_type) in (tuple, list):
        return [_drop_unknown_fields(item, get_args(expected_type)[0]) for item in value]
    if isinstance(value, dict) and get_origin(expected_type) is dict:
        return {
            name: _drop_unknown_fields(item, get_args(expected_type)[1])
            for name, item in value.items()
        }
    return value


@cache
def _field_types(message_type: Any) -> tuple[Any, ...]:
    hints = get_type_hints(message_type)
    return tuple(hints[name] for name in message_type._fields)
