"""Rows in which workers register themselves in the store."""

from typing import Annotated
from typing import Any

from msgspec import convert
from msgspec import Meta
from msgspec import Struct
from msgspec import ValidationError

from laburnumswitch.connection.address import is_header_text
from laburnumswitch.connection.address import is_numeric
from laburnumswitch.connection.address import parse_address
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.units import MS_PER_S

WORKERS_TABLE = "servers"
WORKER_STATES = ("ready", "draining")
# Owners store what is listed, many workers in one row, so each entry has to stay small. Numbers
# beyond 64 bits cannot be stored at all.
Text = Annotated[str, Meta(max_length=200)]
Labels = Annotated[list[Text], Meta(max_length=20)]
Count = Annotated[int, Meta(ge=0, lt=2**53)]


class _Capacity(Struct, rename={"cpu_millis": "cpu", "memory_mb": "memMb", "accelerators": "gpu"}):
    # Fields whose value is 0 are left out.
    cpu_millis: Count = 0
    memory_mb: Count = 0
    accelerators: Count = 0


class _Worker(Struct, rename={"cold_ms": "coldRemainingMs", "remaining_ms": "remainingMs"}):
    service: Text
    address: Text
    zone: Text
    state: str
    capacity: _Capacity
    labels: Labels
    # Unix time of the start in milliseconds, which distinguishes incarnations.
    born: Count = 0
    cold_ms: float = 0.0
    # Minimum time until a draining worker leaves.
    remaining_ms: float | None = None
    machine: Text = ""


def decode_worker(key: str, value: Any) -> WorkerListing | RowMalformed:
    """Decode a worker's row, which may be malformed since other programs can write it too."""
    try:
        fields = convert(value, _Worker)
    except ValidationError as error:
        return RowMalformed(key, str(error))
    worker_id = key.partition("/")[2]
    if not is_header_text(worker_id):
        return RowMalformed(key, "the id cannot be sent in a header")
    address = parse_address(fields.address)
    # Workers are listed by IP address. A name of another writer would be looked up for each call.
    if address is None or not is_numeric(address.host):
        return RowMalformed(key, f"malformed address {fields.address!r}")
    if fields.state not in WORKER_STATES:
        return RowMalformed(key, f"unknown worker state {fields.state!r}")
    # The last label is the worker's rack.
    return WorkerListing(
        worker_id=worker_id,
        service=fields.service,
        address=fields.address,
        availability_zone=fields.zone,
        is_draining=fields.state == "draining",
        cpu_millis=fields.capacity.cpu_millis,
        memory_mb=fields.capacity.memory_mb,
        accelerators=fields.capacity.accelerators,
        labels=tuple(fields.labels),
        rack=fields.labels[-1] if fields.labels else "",
        incarnation=fields.born,
        is_cold=fields.cold_ms > 0,
        remaining_s=None if fields.remaining_ms is None else fields.remaining_ms / MS_PER_S,
        vm_id=fields.machine,
    )
