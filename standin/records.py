"""Records of what the stand-ins did, and the files that keep them.

Times are in seconds of the machine's monotonic clock, which all processes of one machine share. A
record is one line of an append-only file, so records survive when their process is killed.
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
    """A worker booted; its runs under an earlier boot have ended."""

    at_s: float
    worker_id: str
    boot: str
    availability_zone: str
    capacity: Size
    rack: str


class RunStarted(NamedTuple):
    """A worker started a run; ``service`` is empty for a batch task."""

    at_s: float
    worker_id: str
    task_id: str
    run: int
    size: Size
    service: str
    checkpoint: str


class RunEnded(NamedTuple):
    """A run ended at ``at_s``; ``kind`` is the kind of the worker's event."""

    at_s: float
    worker_id: str
    task_id: str
    run: int
    kind: str


class EndAcknowledged(NamedTuple):
    """A worker received the acknowledgement of a run's end.

    ``within_lease`` is whether it arrived before the lease that the run had at its end lapsed.
    """

    at_s: float
    worker_id: str
    task_id: str
    run: int
    within_lease: bool


class Executed(NamedTuple):
    """An upstream began to execute a request; from here on the request counts as run."""

    at_s: float
    upstream_id: str
    request_id: str
    key: str
    method: str


class DrainBegan(NamedTuple):
    """A replica was instructed to drain."""

    at_s: float
    upstream_id: str


class RefusedWhileDraining(NamedTuple):
    """A draining replica refused a request without executing it."""

    at_s: float
    upstream_id: str


class Cut(NamedTuple):
    """The end of a run cut ``requests`` requests that were in flight at its upstream."""

    at_s: float
    upstream_id: str
    kind: str
    requests: int


class Asked(NamedTuple):
    """One attempt of a caller and its outcome.

    ``logical_id`` is the same for all attempts of one request. ``outcome`` is ``answered``,
    ``not-run``, ``unknown`` or, if the entry refused the connection, ``not-sent``. ``own`` is
    whether a complete response that belongs to the request was received.
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
    """The table committed a row of a zone, the configuration or progress; ``value`` is JSON."""

    at_s: float
    key: str
    value: str


class ProcessStopped(NamedTuple):
    """The launcher stopped a process, with SIGTERM if ``planned``, else with SIGKILL.

    ``ended_s`` is when the process had exited.
    """

    began_s: float
    ended_s: float
    name: str
    planned: bool


class ProcessPaused(NamedTuple):
    """The launcher paused a process with SIGSTOP and resumed it with SIGCONT."""

    began_s: float
    ended_s: float
    name: str


class ConfigurationSeen(NamedTuple):
    """An entry was observed with ``version`` of the configuration in force."""

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


def record_appender(path: str) -> Callable[[Record], None]:
    """Return a function that appends records to the file ``path``, with one write per record."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def record(event: Record) -> None:
        os.write(descriptor, encode([type(event).__name__, event]) + b"\n")

    return record


def discard(event: Record) -> None:
    """Discard a record."""


def read_records(paths: tuple[str, ...]) -> list[Record]:
    """Return the records of several files, without a last line that a kill left incomplete."""
    records: list[Record] = []
    for path in paths:
        with open(path, "rb") as file:
            lines = file.read().split(b"\n")
        for line in lines[:-1]:
            name, fields = decode(line)
            records.append(convert(fields, _TYPE_BY_NAME[name]))
    return records
