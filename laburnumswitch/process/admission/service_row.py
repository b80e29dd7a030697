"""Rows of services: the replica sets that were sent to shards."""

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

# How long replicas of an old specification are kept beside those of the new one.
RETIRE_AFTER_S = 30.0


class ReplicaSet(Struct, frozen=True, kw_only=True):
    """Replicas with one specification under one job id.

    ``digest`` is that of the specification. ``retire_at_s`` is 0 for the current set.
    """

    job_id: str
    digest: str
    indexes: tuple[int, ...]
    next_index: int
    retire_at_s: float = 0.0


class ServiceRow(Struct, frozen=True, kw_only=True):
    """Value of a service's row; ``handed`` lists the replica sets sent to shards, newest last."""

    name: str
    changes: int = 0
    handed: tuple[ReplicaSet, ...] = ()
    reason: str = ""
    format: int = FORMAT


class ServiceChange(NamedTuple):
    """Next value of a service's row, and the indexes of replicas it adds under ``job_id``."""

    value: dict[str, Any]
    job_id: str
    added: tuple[int, ...]


def service_key(name: str) -> str:
    """Return the key of a service's row."""
    return SERVICE_PREFIX + name


def read_service(row: Row) -> ServiceRow | None:
    """Decode a service's row; ``None`` if that fails or the row has a newer format."""
    if row.value is None:
        return ServiceRow(name=row.key.removeprefix(SERVICE_PREFIX))
    try:
        service = convert(row.value, ServiceRow)
    except ValidationError:
        return None
    return service if service.format <= FORMAT else None


def next_service_row(
    row: Row, service: Service | None, reason: str, now_s: float
) -> ServiceChange | None:
    """Return the change that a service's row needs, or ``None`` if it is up to date.

    After a change of the specification a new replica set is added at once, unless ``reason`` is
    set, and the old one is kept for ``RETIRE_AFTER_S``. If the service was removed, all sets are
    dropped at once.

    :param service: the declaration in force; ``None`` if the service was removed.
    :param reason: why no replica can be placed; empty if replicas can be placed.
    """
    previous = read_service(row)
    if previous is None:
        return None
    spec_digest = _spec_digest(service) if service else ""
    replica_sets = [item for item in previous.handed if not 0.0 < item.retire_at_s <= now_s]
    current = replica_sets[-1] if replica_sets and replica_sets[-1].digest == spec_digest else None
    replica_sets = _retire(replica_sets, current, service, now_s)
    changes = previous.changes
    added: tuple[int, ...] = ()
    if service is not None and not reason:
        if current is None:
            changes += 1
            job_id = f"{service.name}@r{changes}"
            current = ReplicaSet(job_id=job_id, digest=spec_digest, indexes=(), next_index=0)
        resized = _resize(current, service.replicas)
        added = tuple(index for index in resized.indexes if index not in current.indexes)
        replica_sets.append(resized)
    elif current is not None:
        replica_sets.append(current)
    updated = ServiceRow(
        name=previous.name, changes=changes, handed=tuple(replica_sets), reason=reason
    )
    if updated == previous:
        return None
    value = {**(row.value or {}), **_field_values(updated)}
    return ServiceChange(value, replica_sets[-1].job_id if replica_sets else "", added)


def _retire(
    replica_sets: Sequence[ReplicaSet],
    current: ReplicaSet | None,
    service: Service | None,
    now_s: float,
) -> list[ReplicaSet]:
    others = [item for item in replica_sets if item is not current]
    if service is None:
        return []
    return [
        (
            item
            if item.retire_at_s
            else ReplicaSet(
                job_id=item.job_id,
                digest=item.digest,
                indexes=item.indexes,
                next_index=item.next_index,
                retire_at_s=now_s + RETIRE_AFTER_S,
            )
        )
        for item in others
    ]


def _resize(replica_set: ReplicaSet, replicas: int) -> ReplicaSet:
    indexes = replica_set.indexes[:replicas]
    missing = replicas - len(indexes)
    last = replica_set.next_index + missing
    return ReplicaSet(
        job_id=replica_set.job_id,
        digest=replica_set.digest,
        indexes=(*indexes, *range(replica_set.next_index, last)),
        next_index=last,
    )


def _spec_digest(service: Service) -> str:
    return xxh64_hexdigest(encode(replica_task_spec(service, "")))


def _field_values(row: ServiceRow) -> dict[str, Any]:
    return {
        "name": row.name,
        "changes": row.changes,
        "handed": row.handed,
        "reason": row.reason,
        "format": row.format,
    }
