"""Failures of shards, jobs, availability zones and the configuration."""

from dataclasses import dataclass

from laburnumswitch.change import Change
from laburnumswitch.exceptions.root import did_you_mean
from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class LedgerConflict(Failure):
    """A record is inconsistent with the ledger that it is to be applied to."""

    record: str
    reason: str


@dataclass(frozen=True)
class OwnershipLost(Failure):
    """Another entry has taken over the shard."""

    shard: int
    owner: str
    epoch: int


@dataclass(frozen=True)
class JournalBroken(Failure):
    """A journal row or snapshot referenced by the head cannot be read."""

    name: str
    reason: str


@dataclass(frozen=True)
class JobTooLarge(Failure):
    """No worker, not even an empty one, has room for one task of the job."""

    job: str
    size: tuple[int, ...]
    largest: tuple[int, ...]


@dataclass(frozen=True)
class QuotaTooSmall(Failure):
    """The team's whole quota is smaller than one task of the job."""

    job: str
    team: str
    quota: tuple[int, ...]


@dataclass(frozen=True)
class ScheduleInvalid(Failure):
    """A job's cron expression or time zone is invalid."""

    job: str
    reason: str


@dataclass(frozen=True)
class DependencyPending(Failure):
    """A job that this one depends on has not finished."""

    job: str
    dependency: str
    state: str


@dataclass(frozen=True)
class DocumentBroken(Failure):
    """A stored document is missing, malformed, or not the one that its version refers to."""

    version: int
    reason: str


@dataclass(frozen=True)
class ConfigurationChanged(Failure):
    """A version newer than the compared one was published; ``changes`` are its changes."""

    compared_version: int
    version: int
    changes: tuple[Change, ...]

    def describe(self) -> str:
        """Return one line for the versions and one for each change."""
        head = f"{self.tag}: compared with {self.compared_version}, current is {self.version}"
        return "\n".join((head, *(f"  {change.describe()}" for change in self.changes)))


@dataclass(frozen=True)
class ZoneChanged(Failure):
    """Another operator changed the zone's state concurrently."""

    zone: str
    state: str
    actor: str


@dataclass(frozen=True)
class RemovalsRefused(Failure):
    """A publication would remove declarations, which must be allowed explicitly."""

    changes: tuple[Change, ...]

    def describe(self) -> str:
        """Return one line for the refusal and one for each removal."""
        head = f"{self.tag}: allow removals explicitly, or publish all folders together"
        return "\n".join((head, *(f"  {change.describe()}" for change in self.changes)))


@dataclass(frozen=True)
class ZoneStillBusy(Failure):
    """Tasks still run in a zone, or no entry reports on a worker that is listed there."""

    zone: str
    running: int
    unreported: int


@dataclass(frozen=True)
class UnknownZone(Failure):
    """No VM is listed in the zone; ``near`` is a similar zone name, or empty."""

    zone: str
    near: str

    def describe(self) -> str:
        """Return one readable line."""
        return f"{self.tag}: no VM is listed in {self.zone!r}{did_you_mean(self.near)}"


@dataclass(frozen=True)
class EventsLost(Failure):
    """An entry dropped timeline events before they were stored."""

    process: str
    number: int
