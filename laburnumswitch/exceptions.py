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
class CallerRefused(Failure):
    """A caller's bytes are not a request that the callers' port takes; nothing was run."""

    status: int
    reason: str


@dataclass(frozen=True)
class ConnectionLimit(Failure):
    """All connections that this process may have to a worker are in use; no byte was sent."""

    worker_id: str


@dataclass(frozen=True)
class FirstByteLate(Failure):
    """At least one byte was sent and not one byte of an answer came within a limit."""

    address: str
    pooled: bool


@dataclass(frozen=True)
class NotRun(Failure):
    """A request was given up before any byte of it reached an upstream."""

    reason: str
    retry_after_s: int = 1


@dataclass(frozen=True)
class RunUnknown(Failure):
    """A request reached an upstream, and whether it ran is not known."""

    reason: str
    timed_out: bool = False


@dataclass(frozen=True)
class ClaimInProgress(Failure):
    """Another attempt under the same key has not ended yet."""

    retry_after_s: int = 1


@dataclass(frozen=True)
class KeyReused(Failure):
    """A key came again with a request that differs from its first one; nothing was run."""


@dataclass(frozen=True)
class AnswerNotKept(Failure):
    """A request under this key was answered, and its answer was too large or too old to keep."""


@dataclass(frozen=True)
class ReportUnreadable(Failure):
    """An upstream's report of its state doesn't say what its service declares."""

    reason: str
