"""Every failure of the scheduler, as tagged outcomes under one root.

A failure is a value: functions return it in place of their result, and callers branch on its type.
Only the command line turns one into an exit code and a line of text.
"""

from dataclasses import dataclass
from dataclasses import fields


@dataclass(frozen=True)
class Failure:
    """Root of all failures."""

    @property
    def tag(self) -> str:
        """Return the name of the failure, as used in logs, metrics and JSON answers."""
        return type(self).__name__

    def describe(self) -> str:
        """Return one line for people: the tag and every field."""
        parts = [f"{field.name}={getattr(self, field.name)}" for field in fields(self)]
        return f"{self.tag}: {', '.join(parts)}" if parts else self.tag


@dataclass(frozen=True)
class ConnectFailed(Failure):
    """No connection could be opened, so not one byte was sent."""

    address: str
    reason: str


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
class LedgerConflict(Failure):
    """A record does not agree with the ledger that it is to be applied to."""

    record: str
    reason: str


@dataclass(frozen=True)
class FormatUnknown(Failure):
    """A row or object has a format above the highest that this version reads."""

    name: str
    format: int


@dataclass(frozen=True)
class OwnershipLost(Failure):
    """Another entry took the shard over."""

    shard: int
    owner: str
    epoch: int


@dataclass(frozen=True)
class JournalBroken(Failure):
    """A journal row or snapshot that the head names cannot be read."""

    name: str
    reason: str


@dataclass(frozen=True)
class JobTooLarge(Failure):
    """No worker, even an empty one, can hold one task of the job."""

    job: str
    size: tuple[int, ...]
    largest: tuple[int, ...]


@dataclass(frozen=True)
class QuotaTooSmall(Failure):
    """The team's whole quota cannot hold one task of the job."""

    job: str
    team: str
    quota: tuple[int, ...]


@dataclass(frozen=True)
class ScheduleInvalid(Failure):
    """A job's cron expression or time zone cannot be read."""

    job: str
    reason: str


@dataclass(frozen=True)
class DependencyPending(Failure):
    """A job that this one runs after has not finished."""

    job: str
    dependency: str
    state: str
