"""Failures of HTTP calls, of the platform's table and of the object store."""

from dataclasses import dataclass

from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class ConnectFailed(Failure):
    """No connection could be opened, so no byte was sent."""

    address: str
    reason: str


@dataclass(frozen=True)
class ConnectionRefused(ConnectFailed):
    """Nothing listens at the address."""


@dataclass(frozen=True)
class PeerNotTrusted(ConnectFailed):
    """One side rejected the other's certificate, so no byte of the call was accepted."""


@dataclass(frozen=True)
class AnswerLost(Failure):
    """At least one byte was sent, but no complete answer was received."""

    address: str
    reason: str


@dataclass(frozen=True)
class AnswerMalformed(Failure):
    """The answer cannot be decoded."""

    address: str
    reason: str


@dataclass(frozen=True)
class Refused(Failure):
    """The answer has a status that reports a failure.

    A status of 500 or above may come from an intermediary, so the call may have had an effect.
    """

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
    """The answer to a transaction was lost; it may or may not have taken effect."""

    reason: str


@dataclass(frozen=True)
class Unavailable(Failure):
    """A service could not be reached or did not accept the call.

    As the outcome of a transaction it means that the transaction had no effect.
    """

    reason: str


@dataclass(frozen=True)
class Throttled(Failure):
    """The platform's read or write budget is exhausted; the call had no effect."""

    retry_after_s: float


@dataclass(frozen=True)
class NotFound(Failure):
    """The named object does not exist."""

    name: str


@dataclass(frozen=True)
class RowMalformed(Failure):
    """A row of the table does not have the required fields."""

    key: str
    reason: str


@dataclass(frozen=True)
class FormatUnknown(Failure):
    """A row or object has a newer format than this version can read."""

    name: str
    format: int


@dataclass(frozen=True)
class HistoryLost(Failure):
    """The store no longer has the changes after a version; the whole table has to be read."""

    table: str
    after: int


@dataclass(frozen=True)
class StartRefused(Failure):
    """A worker refused to start a run, so the run has not begun there."""

    worker_id: str
    reason: str


@dataclass(frozen=True)
class AnswerOutdated(Failure):
    """A later answer or listing of the worker has already been applied."""

    worker_id: str


@dataclass(frozen=True)
class ReportNotApplied(Failure):
    """Applying a worker's report ended with an unexpected error."""

    worker_id: str
    reason: str


@dataclass(frozen=True)
class WorkerReplaced(Failure):
    """Another worker answers at the address of the intended one; the call had no effect."""

    worker_id: str
