"""Every failure of the scheduler, as tagged outcomes under one root.

A failure is a value: functions return it in place of their result, and callers branch on its type.
Only the command line turns one into an exit code and a line of text.
"""

from dataclasses import dataclass
from dataclasses import fields

from laburnumswitch.change import Change


def _did_you_mean(near: str) -> str:
    return f", did you mean {near!r}?" if near else ""


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
class FileProblem(Failure):
    """Root of what is wrong in a file; lines and columns count from 1, 0 where there is none."""

    path: str
    line: int
    column: int
    field: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.tag

    def describe(self) -> str:
        """Return one line for people: the place, the field and what is wrong."""
        place = f"{self.path}:{self.line}:{self.column}" if self.line else self.path
        field = f" {self.field}:" if self.field else ""
        return f"{place}:{field} {self.explain()} ({self.tag})"


@dataclass(frozen=True)
class FileUnreadable(FileProblem):
    """A file or folder is missing, cannot be opened, or is too large."""

    reason: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.reason


@dataclass(frozen=True)
class NotUtf8(FileProblem):
    """The file's bytes are not UTF-8."""

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "the file is not UTF-8"


@dataclass(frozen=True)
class NotYaml(FileProblem):
    """The file does not parse, or uses a part of YAML that is refused here."""

    reason: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.reason


@dataclass(frozen=True)
class DuplicateKey(FileProblem):
    """A mapping has the same key twice."""

    first_line: int

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return f"already given on line {self.first_line}"


@dataclass(frozen=True)
class UnknownField(FileProblem):
    """A key that no field has; ``near`` is a known one that looks like it, or empty."""

    near: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "unknown field" + _did_you_mean(self.near)


@dataclass(frozen=True)
class MissingField(FileProblem):
    """A field without a default is not given."""

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "required and not given"


@dataclass(frozen=True)
class InvalidValue(FileProblem):
    """A value has the wrong type, unit or range."""

    reason: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.reason


@dataclass(frozen=True)
class DuplicateName(FileProblem):
    """Two declarations claim the same name or host."""

    name: str
    other: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return f"{self.name!r} is already declared at {self.other}"


@dataclass(frozen=True)
class UnknownName(FileProblem):
    """A declaration refers to a team, job, zone or kind that does not exist."""

    name: str
    near: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return f"{self.name!r} does not exist" + _did_you_mean(self.near)


@dataclass(frozen=True)
class CyclicOrder(FileProblem):
    """Jobs wait for each other in a circle."""

    cycle: tuple[str, ...]

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "jobs wait for each other: " + " -> ".join(self.cycle)


@dataclass(frozen=True)
class ProblemsFound(Failure):
    """A set of files was refused as a whole."""

    problems: tuple[FileProblem, ...]

    def describe(self) -> str:
        """Return one line for each problem."""
        return "\n".join(problem.describe() for problem in self.problems)


@dataclass(frozen=True)
class RowMalformed(Failure):
    """A row of the table does not have the fields that it must have."""

    key: str
    reason: str


@dataclass(frozen=True)
class DocumentBroken(Failure):
    """A configuration document is missing, or is not the one that its version names."""

    version: int
    reason: str


@dataclass(frozen=True)
class ConfigurationChanged(Failure):
    """Somebody else published since the version compared with; ``changes`` is what they did."""

    compared_version: int
    version: int
    changes: tuple[Change, ...]

    def describe(self) -> str:
        """Return a line for the versions and one for each change."""
        head = f"{self.tag}: compared with {self.compared_version}, in force is {self.version}"
        return "\n".join((head, *(f"  {change.describe()}" for change in self.changes)))


@dataclass(frozen=True)
class ZoneChanged(Failure):
    """Somebody else set the zone's state at the same time."""

    zone: str
    state: str
    actor: str


@dataclass(frozen=True)
class RemovalsRefused(Failure):
    """A publication would remove declarations, which must be allowed on purpose."""

    changes: tuple[Change, ...]

    def describe(self) -> str:
        """Return a line for the refusal and one for each removal."""
        head = f"{self.tag}: allow removals on purpose, or publish every folder together"
        return "\n".join((head, *(f"  {change.describe()}" for change in self.changes)))


@dataclass(frozen=True)
class ZoneStillBusy(Failure):
    """Tasks run in a zone, or no entry reports on some worker that is listed there."""

    zone: str
    running: int
    unreported: int


@dataclass(frozen=True)
class UnknownZone(Failure):
    """No VM is listed in a zone of this name; ``near`` is one that looks like it, or empty."""

    zone: str
    near: str

    def describe(self) -> str:
        """Return one line for people."""
        return f"{self.tag}: no VM is listed in {self.zone!r}{_did_you_mean(self.near)}"


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


@dataclass(frozen=True)
class ReportUnreadable(Failure):
    """An upstream's report of its state doesn't say what its service declares."""

    reason: str
