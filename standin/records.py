"""What the stand-ins record of everything that they do, and how the records are kept.

Instants are seconds of the machine's monotonic clock, which all processes of one machine share. A
record is one line of a file that is only appended to, so it outlives a process that is killed.
"""

import os
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.size import Size


class WorkerUp(NamedTuple):
    """A worker booted; whatever it held under another boot has ended."""

    at_s: float
    worker_id: str
    boot: str
    availability_zone: str
    capacity: Size
    rack: str


class RunStarted(NamedTuple):
    """A worker began to execute a run; ``service`` is empty for a batch task."""

    at_s: float
    worker_id: str
    task_id: str
    run: int
    size: Size
    service: str
    checkpoint: str


class RunEnded(NamedTuple):
    """A run stopped executing at ``at_s``; ``kind`` is that of the worker's event."""

    at_s: float
    worker_id: str
    task_id: str
    run: int
    kind: str


class EndAcknowledged(NamedTuple):
    """A worker was told that the end of a run was taken in.

    ``within_lease`` is whether that was before the lease, which the run had at its end, lapsed.
    """

    at_s: float
    worker_id: str
    task_id: str
    run: int
    within_lease: bool


class Executed(NamedTuple):
    """An upstream began to execute a request, so that it has run whatever comes after."""

    at_s: float
    upstream_id: str
    request_id: str
    key: str
    method: str


class DrainBegan(NamedTuple):
    """A replica was told to take no more requests."""

    at_s: float
    upstream_id: str


class RefusedWhileDraining(NamedTuple):
    """A replica that drains was sent a request, and refused it without running it."""

    at_s: float
    upstream_id: str


class Cut(NamedTuple):
    """A run's end cut ``requests`` exchanges that were in flight at its upstream."""

    at_s: float
    upstream_id: str
    kind: str
    requests: int


class Asked(NamedTuple):
    """One attempt of a caller and what came of it.

    ``logical_id`` is the same for the attempts of one request. ``outcome`` is ``answered``,
    ``not-run``, ``unknown`` or ``not-sent`` for an entry that refused the connection. ``own`` is
    whether the answer, if any, was whole and belonged to the request.
    """

    sent_s: float
    ended_s: float
    entry: str
    logical_id: str
    request_id: str
    key: str
    method: str
    outcome: str
    status: int
    own: bool


class RowPut(NamedTuple):
    """The table committed a row of zones, configuration or progress; ``value`` is JSON."""

    at_s: float
    key: str
    value: str


class ProcessStopped(NamedTuple):
    """The launcher stopped a process: ``planned`` by SIGTERM, else by SIGKILL.

    ``ended_s`` is when the process was gone.
    """

    began_s: float
    ended_s: float
    name: str
    planned: bool


class ProcessPaused(NamedTuple):
    """The launcher paused a process by SIGSTOP and resumed it by SIGCONT."""

    began_s: float
    ended_s: float
    name: str


class ConfigurationSeen(NamedTuple):
    """A daemon was seen with a version of the configuration in force."""

    at_s: float
    entry: str
    version: int


Record = (
    WorkerUp
    | RunStarted
    | RunEnded
    | EndAcknowledged
    | Executed
    | DrainBegan
    | RefusedWhileDraining
    | Cut
    | Asked
    | RowPut
    | ProcessStopped
    | ProcessPaused
    | ConfigurationSeen
)

_TYPE_BY_NAME: dict[str, Any] = {
    kind.__name__: kind
    for kind in (
        WorkerUp,
        RunStarted,
        RunEnded,
        EndAcknowledged,
        Executed,
        DrainBegan,
        RefusedWhileDraining,
        Cut,
        Asked,
        RowPut,
        ProcessStopped,
        ProcessPaused,
        ConfigurationSeen,
    )
}


def append_to(path: str) -> Callable[[Record], None]:
    """Return a function that appends records to the file ``path``, one write a record."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def record(event: Record) -> None:
        os.write(descriptor, encode([type(event).__name__, event]) + b"\n")

    return record


def discard(event: Record) -> None:
    """Keep no record."""


def read_records(paths: tuple[str, ...]) -> list[Record]:
    """Return the records of several files; a last line that was cut by a kill is left out."""
    records: list[Record] = []
    for path in paths:
        with open(path, "rb") as file:
            lines = file.read().split(b"\n")
        for line in lines[:-1]:
            name, fields = decode(line)
            records.append(convert(fields, _TYPE_BY_NAME[name]))
    return records
