"""Messages between the owner and the other entries, encoded as JSON arrays."""

from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.dispatch.organisation_jobs import ResourceSeconds
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class WatchAnswer(NamedTuple):
    """Answer to an entry that watches the owner.

    :ivar epoch: epoch of the term, 0 if the answering entry is not the owner.
    :ivar incarnation: identifies one start of the answering process.
    :ivar candidates: the watching entries in the order in which they take over, largest first.
    :ivar store_silent_s: time since the owner's last successful commit.
    :ivar knows_jobs: whether the owner has read all stored jobs. Until then ``pending_by_queue`` is
        empty and says nothing. Earlier versions do not send it.
    :ivar busy_organisations: organisations whose jobs may have to be rejected: entries ask the
        owner before they store one.
    :ivar configuration: version of the configuration that the answering entry has in force, 0 if
        it has none. Earlier versions do not send it and what follows.
    :ivar confirmed_age_s: time since this was certainly the newest version, ``None`` if it never
        was.
    :ivar sent_s: when the answer was given, on the boot clock of the answering entry.
    :ivar known_term: the latest term that the answering entry knows, for an entry that the store
        does not serve.
    :ivar peer_addresses: where such an entry can ask if the owner does not answer any more.
    :ivar ended_epoch: the last epoch under which the answering process sends no more commands, 0
        if there is none. ``None`` from earlier versions.
    :ivar is_memory_full: whether the owner has little memory left for jobs: entries ask it before
        they store one. Earlier versions do not send it.
    """

    epoch: int
    incarnation: str
    is_owner: bool
    candidates: tuple[str, ...]
    pending_by_queue: dict[str, int]
    store_silent_s: float
    knows_jobs: bool = True
    busy_organisations: tuple[str, ...] = ()
    configuration: int = 0
    confirmed_age_s: float | None = None
    sent_s: float = 0.0
    known_term: Term = Term()
    peer_addresses: tuple[str, ...] = ()
    ended_epoch: int | None = None
    is_memory_full: bool = False


class ConfigurationState(NamedTuple):
    """What a watching entry says of its configuration.

    :ivar version: 0 if it has none.
    :ivar confirmed_age_s: as in ``WatchAnswer``, when the watch request was sent.
    :ivar incarnation: the process that gave the last answer to this entry, empty if none has.
    :ivar answered_s: ``WatchAnswer.sent_s`` of that answer. The request was sent later.
    """

    version: int = 0
    confirmed_age_s: float | None = None
    incarnation: str = ""
    answered_s: float = 0.0


class RelayedConfiguration(NamedTuple):
    """A configuration that one entry sends to another.

    :ivar confirmed_age_s: as in ``WatchAnswer``.
    """

    configuration: QueueConfiguration
    confirmed_age_s: float | None = None


class JobStateAnswer(NamedTuple):
    """The state of a job.

    :ivar state: empty if the owner does not know the job.
    :ivar is_loaded: whether the owner has read all stored jobs.
    :ivar organisation: that of the job, ``None`` if the owner does not know it. Earlier versions do
        not send it.
    """

    state: str
    is_loaded: bool
    organisation: str | None = None


class AdmissionRequest(NamedTuple):
    """A job that the owner may have to reject.

    :ivar cpu_millis: processors that it reserves for as long as it lasts, in thousandths of a core;
        0 if it has no long-running steps.
    :ivar organisation: empty if it has none, or if its organisation is not busy.
    :ivar work: resources times estimated seconds of the steps that are not long-running.
    :ivar critical_path_s: estimated duration of the longest chain of steps.
    :ivar widest_gang: largest amount of each resource that a gang uses without one of its members.
    :ivar job_bytes: memory that the job takes on the owner, 0 if there is certainly enough. Owners
        of earlier versions do not look at it.
    """

    job_id: str
    queue: str
    cpu_millis: int
    organisation: str = ""
    work: ResourceSeconds = ResourceSeconds()
    critical_path_s: float = 0.0
    widest_gang: Size = ZERO
    job_bytes: int = 0


class AdmissionAnswer(NamedTuple):
    """Whether the owner admits a job.

    :ivar retry_after_s: 0 if it does; else after how many whole seconds there is probably room.
    :ivar reason: why it does not admit a job of an organisation, one of ``Cause``, or
        ``job_memory.NO_MEMORY``; empty if it does, or if there is no room for the long-running
        steps.
    """

    retry_after_s: int
    reason: str = ""
