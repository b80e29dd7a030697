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
