"""Encodes configurations as canonical documents, decodes them and compares configurations."""

from hashlib import sha256
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

from msgspec import convert
from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.change import Change
from laburnumswitch.change import FieldChange
from laburnumswitch.declaration import Configuration
from laburnumswitch.exceptions import DocumentBroken

DOCUMENT_FORMAT = 1


def encode_document(configuration: Configuration) -> bytes:
    """Encode a configuration as canonical JSON: sorted by key and name, without the digest."""
    ordered = configuration._replace(
        services=tuple(sorted(configuration.services, key=_name)),
        jobs=tuple(sorted(configuration.jobs, key=_name)),
        teams=tuple(sorted(configuration.teams, key=_name)),
        format=DOCUMENT_FORMAT,
    )
    document = _to_builtins(ordered)
    del document["digest"]
    return encode(document, order="sorted")


def digest_of(document: bytes) -> str:
    """Return the SHA-256 digest that identifies a document."""
    return sha256(document).hexdigest()


def object_name(version: int, digest: str) -> str:
    """Return the name of a document in the object store."""
    return f"configuration/{version}-{digest}"


def decode_document(document: bytes, version: int, digest: str) -> Configuration | DocumentBroken:
    """Decode ``document`` if it matches the version and the digest.

    Unknown fields are ignored, and missing fields take their defaults.
    """
    if digest_of(document) != digest:
        return DocumentBroken(version, "the digest of the document does not match")
    try:
        configuration = _from_builtins(Configuration, decode(document))
    except (DecodeError, ValidationError, TypeError, RecursionError) as error:
        return DocumentBroken(version, str(error))
    if configuration.format > DOCUMENT_FORMAT:
        return DocumentBroken(
            version, f"format {configuration.format} is newer than {DOCUMENT_FORMAT}"
        )
    if configuration.version != version:
        return DocumentBroken(version, f"the document is version {configuration.version}")
    return configuration._replace(digest=digest)


def diff_configurations(before: Configuration, after: Configuration) -> tuple[Change, ...]:
    """Return the added, removed and changed declarations, sorted by kind and name."""
    changes = []
    for kind, old, new in (
        ("job", before.jobs, after.jobs),
        ("service", before.services, after.services),
        ("team", before.teams, after.teams),
    ):
        old_by_name = {item.name: item for item in old}
        new_by_name = {item.name: item for item in new}
        for name in sorted(old_by_name.keys() | new_by_name.keys()):
            change = _diff_declaration(kind, name, old_by_name.get(name), new_by_name.get(name))
            if change is not None:
                changes.append(change)
    return tuple(changes)


def _diff_declaration(kind: str, name: str, old: Any, new: Any) -> Change | None:
    if old == new:
        return None
    if old is None:
        return Change(kind, name, "added")
    if new is None:
        return Change(kind, name, "removed")
    before = _flatten(_to_builtins(old))
    after = _flatten(_to_builtins(new))
    fields = tuple(
        FieldChange(field, before[field], after[field])
        for field in sorted(before)
        if before[field] != after[field]
    )
    return Change(kind, name, "changed", fields)


def _flatten(mapping: dict[str, Any], prefix: str = "") -> dict[str, str]:
    flat = {}
    for name, value in mapping.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{name}."))
        else:
            flat[prefix + name] = encode(value).decode()
    return flat


def _name(item: Any) -> str:
    return item.name


def _to_builtins(value: Any) -> Any:
    """Convert named tuples to mappings.

    In a mapping, later versions can add and remove any field; an array can only grow at its end.
    """
    if hasattr(value, "_asdict"):
        return {name: _to_builtins(part) for name, part in value._asdict().items()}
    if isinstance(value, tuple):
        return [_to_builtins(part) for part in value]
    return value


def _from_builtins(hint: Any, value: Any) -> Any:
    """Convert back what ``_to_builtins`` returned.

    :raises ValidationError: if a field has the wrong type.
    :raises TypeError: if a field without a default is missing.
    """
    if hasattr(hint, "_field_defaults"):
        mapping = convert(value, dict[str, Any])
        hints = get_type_hints(hint)
        parts = {
            name: _from_builtins(hints[name], mapping[name]) for name in hints if name in mapping
        }
        return hint(**parts)
    if get_origin(hint) is tuple:
        items = convert(value, list[Any])
        return tuple(_from_builtins(get_args(hint)[0], item) for item in items)
    return convert(value, hint)
