"""Rows of services: which replicas were handed to shards."""

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import encode
from xxhash import xxh64_hexdigest

from laburnumswitch.declaration import Service
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.rows.shared_rows import SERVICE_PREFIX
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.workers.task_spec import replica_task_spec

RETIRE_AFTER_S = 30.0


class Handed(Struct, frozen=True, kw_only=True):
    """Replicas handed out under one job id. ``retire_at_s`` is 0 while they are wanted."""

    job_id: str
    digest: str
    indexes: tuple[int, ...]
    next_index: int
    retire_at_s: float = 0.0


class ServiceRow(Struct, frozen=True, kw_only=True):
    """Value of a service's row; the last of ``handed`` is the newest."""

    name: str
    changes: int = 0
    handed: tuple[Handed, ...] = ()
    reason: str = ""
    format: int = FORMAT


class ServiceChange(NamedTuple):
    """The next value of a service's row, and the replicas that it adds under ``job_id``."""

    value: dict[str, Any]
    job_id: str
    added: tuple[int, ...]


def service_key(name: str) -> str:
    """Return the key of a service's row."""
    return SERVICE_PREFIX + name


def read_service(row: Row) -> ServiceRow | None:
    """Decode a service's row; ``None`` where it cannot be read or has a newer format."""
    if row.value is None:
        return ServiceRow(name=row.key.removeprefix(SERVICE_PREFIX))
    try:
        service = convert(row.value, ServiceRow)
    except ValidationError:
        return None
    return service if service.format <= FORMAT else None


def change_service(
    row: Row, service: Service | None, reason: str, now_s: float
) -> ServiceChange | None:
    """Return what a service's row has to become, or ``None`` where it is as it should be.

    A changed description gets new replicas at once and keeps the old ones for a while.

    :param service: the declaration in force; ``None`` where the service was withdrawn.
    :param reason: why no replica can be handed out, empty where they can.
    """
    known = read_service(row)
    if known is None:
        return None
    digest = _digest(service) if service else ""
    handed = [item for item in known.handed if not 0.0 < item.retire_at_s <= now_s]
    current = handed[-1] if handed and handed[-1].digest == digest else None
    handed = _retire(handed, current, service, now_s)
    changes = known.changes
    added: tuple[int, ...] = ()
    if service is not None and not reason:
        if current is None:
            changes += 1
            job_id = f"{service.name}@r{changes}"
            current = Handed(job_id=job_id, digest=digest, indexes=(), next_index=0)
        resized = _resize(current, service.replicas)
        added = tuple(index for index in resized.indexes if index not in current.indexes)
        handed.append(resized)
    elif current is not None:
        handed.append(current)
    changed = ServiceRow(name=known.name, changes=changes, handed=tuple(handed), reason=reason)
    if changed == known:
        return None
    value = {**(row.value or {}), **_builtins(changed)}
    return ServiceChange(value, handed[-1].job_id if handed else "", added)


def _retire(
    handed: Sequence[Handed], current: Handed | None, service: Service | None, now_s: float
) -> list[Handed]:
    others = [item for item in handed if item is not current]
    if service is None:
        return []
    return [
        (
            item
            if item.retire_at_s
            else Handed(
                job_id=item.job_id,
                digest=item.digest,
                indexes=item.indexes,
                next_index=item.next_index,
                retire_at_s=now_s + RETIRE_AFTER_S,
            )
        )
        for item in others
    ]


def _resize(handed: Handed, replicas: int) -> Handed:
    indexes = handed.indexes[:replicas]
    missing = replicas - len(indexes)
    last = handed.next_index + missing
    return Handed(
        job_id=handed.job_id,
        digest=handed.digest,
        indexes=(*indexes, *range(handed.next_index, last)),
        next_index=last,
    )


def _digest(service: Service) -> str:
    return xxh64_hexdigest(encode(replica_task_spec(service, "")))


def _builtins(row: ServiceRow) -> dict[str, Any]:
    return {
        "name": row.name,
        "changes": row.changes,
        "handed": row.handed,
        "reason": row.reason,
        "format": row.format,
    }
