"""Failures of calls over HTTP, and of the platform's table and object store."""

from dataclasses import dataclass

from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class ConnectFailed(Failure):
    """No connection could be opened, so not one byte was sent."""

    address: str
    reason: str


@dataclass(frozen=True)
class PeerNotTrusted(ConnectFailed):
    """One end refused the other's certificate, so not one byte of the call was taken."""


@dataclass(frozen=True)
class AnswerLost(Failure):
    """At least one byte was sent and no whole answer came back."""

    address: str
    reason: str


@dataclass(frozen=True)
class AnswerMalformed(Failure):
    """The other end answered with something that does not decode."""

    address: str
    reason: str


@dataclass(frozen=True)
class Refused(Failure):
    """The other end answered with a refusal, so the call had no effect."""

    address: str
    status: int
    reason: str


@dataclass(frozen=True)
class Conflict(Failure):
    """A condition of a transaction did not hold, so the transaction had no effect."""

    key: str
    expected_version: int
    actual_version: int


@dataclass(frozen=True)
class OutcomeUnknown(Failure):
    """A transaction was sent and its answer was lost; it may or may not have taken effect."""

    reason: str


@dataclass(frozen=True)
class Unavailable(Failure):
    """The platform did not take the call, so it had no effect."""

    reason: str


@dataclass(frozen=True)
class Throttled(Failure):
    """The platform's read or write budget is used up; the call had no effect."""

    retry_after_s: float


@dataclass(frozen=True)
class NotFound(Failure):
    """The named object does not exist."""

    name: str


@dataclass(frozen=True)
class RowMalformed(Failure):
    """A row of the table does not have the fields that it must have."""

    key: str
    reason: str


@dataclass(frozen=True)
class FormatUnknown(Failure):
    """A row or object has a format above the highest that this version reads."""

    name: str
    format: int


@dataclass(frozen=True)
class HistoryLost(Failure):
    """The store no longer has the changes after a version; the table has to be read whole."""

    table: str
    after: int


@dataclass(frozen=True)
class StartRefused(Failure):
    """A worker refused a start, so this run has not begun there."""

    worker_id: str
    reason: str


@dataclass(frozen=True)
class WorkerRestarted(Failure):
    """The address belongs to another incarnation of the worker, which did nothing."""

    worker_id: str
