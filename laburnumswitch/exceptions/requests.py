"""Failures of callers' requests and of the connections to upstreams."""

from dataclasses import dataclass

from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class CallerRefused(Failure):
    """A caller's bytes are not a request that the callers' port takes; nothing was run."""

    status: int
    reason: str


@dataclass(frozen=True)
class CannotListen(Failure):
    """An address of the settings cannot be listened on."""

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
