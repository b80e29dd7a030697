"""Failures of shards, jobs, availability zones and the configuration."""

from dataclasses import dataclass

from laburnumswitch.change import Change
from laburnumswitch.exceptions.root import did_you_mean
from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class LedgerConflict(Failure):
    """A record does not agree with the ledger that it is to be applied to."""

    record: str
    reason: str


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
        return f"{self.tag}: no VM is listed in {self.zone!r}{did_you_mean(self.near)}"


@dataclass(frozen=True)
class EventsLost(Failure):
    """An entry dropped events of the time line before they were stored."""

    process: str
    number: int
