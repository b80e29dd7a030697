"""Failures of callers' requests and of connections to upstreams."""

from dataclasses import dataclass

from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class CallerRefused(Failure):
    """What a caller sent is not a request that can be accepted; nothing was run."""

    status: int
    reason: str


@dataclass(frozen=True)
class KeyNotAccepted(Failure):
    """A call needs an API key and has none that is accepted; nothing was run.

    ``status`` is 401 if the key is missing or unknown, and 503 if this cannot be decided here now.
    ``digest`` is the beginning of the digest of the key, empty without a key.
    """

    status: int
    reason: str
    digest: str = ""


@dataclass(frozen=True)
class OtherOrganisation(Failure):
    """A job belongs to another organisation than the caller."""

    job_id: str


@dataclass(frozen=True)
class JobWithdrawn(Failure):
    """A caller has cancelled a job before it was stored, so it never will be."""

    job_id: str


@dataclass(frozen=True)
class CannotListen(Failure):
    """The process cannot listen on an address of the settings."""

    reason: str


@dataclass(frozen=True)
class ConnectionLimit(Failure):
    """All connections that this process may open to a worker are in use; no byte was sent."""

    worker_id: str


@dataclass(frozen=True)
class FirstByteLate(Failure):
    """At least one byte was sent, but no byte of an answer arrived within the time limit."""

    address: str
    pooled: bool


@dataclass(frozen=True)
class NotRun(Failure):
    """A request was certainly not run, so the caller may send it again."""

    reason: str
    retry_after_s: int = 1


@dataclass(frozen=True)
class RunUnknown(Failure):
    """It is unknown whether a request was run."""

    reason: str
    timed_out: bool = False


@dataclass(frozen=True)
class ClaimInProgress(Failure):
    """An earlier attempt with this idempotency key is in progress, or its result is unreadable."""

    retry_after_s: int = 1


@dataclass(frozen=True)
class KeyReused(Failure):
    """An idempotency key was reused for a different request; nothing was run."""


@dataclass(frozen=True)
class AnswerNotKept(Failure):
    """A request with this key was answered, but its answer is not stored: too large or removed."""


@dataclass(frozen=True)
class ReportUnreadable(Failure):
    """An upstream's state report lacks what its service declares."""

    reason: str
