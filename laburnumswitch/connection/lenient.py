"""Decodes messages of the adjacent newer version, which may have more fields at the end.

Messages are NamedTuples and travel as JSON arrays; a later version only appends fields that have
defaults. The strict way comes first, and only a message that it refuses is cut and tried again.
"""

from functools import cache
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TypeVar

from msgspec import convert
from msgspec import ValidationError
from msgspec.json import decode

T = TypeVar("T")


def decode_known(content: bytes, message_type: type[T]) -> T:
    """Return the message, without the fields that this version does not know.

    :raises DecodeError: if the content is no JSON.
    :raises ValidationError: if what is known does not have the right types.
    """
    value = decode(content)
    try:
        return convert(value, message_type)
    except ValidationError:
        return convert(_cut(value, message_type), message_type)


def _cut(value: Any, wanted: Any) -> Any:
    if isinstance(value, list) and hasattr(wanted, "_fields"):
        types = _field_types(wanted)
        return [_cut(item, field_type) for item, field_type in zip(value, types, strict=False)]
    if isinstance(value, list) and get_origin(wanted) in (tuple, list):
        return [_cut(item, get_args(wanted)[0]) for item in value]
    if isinstance(value, dict) and get_origin(wanted) is dict:
        return {name: _cut(item, get_args(wanted)[1]) for name, item in value.items()}
    return value


@cache
def _field_types(message_type: Any) -> tuple[Any, ...]:
    hints = get_type_hints(message_type)
    return tuple(hints[name] for name in message_type._fields)
