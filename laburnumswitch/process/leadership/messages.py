"""Messages between the owner and the other entries, encoded as JSON arrays."""

from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.leadership.term import Term


class WatchAnswer(NamedTuple):
    """Answer to an entry that watches the owner.

    :ivar epoch: epoch of the term, 0 if the answering entry is not the owner.
    :ivar incarnation: identifies one start of the answering process.
    :ivar candidates: the watching entries in the order in which they take over, largest first.
    :ivar store_silent_s: time since the owner's last successful commit.
    :ivar knows_jobs: whether the owner has read all stored jobs. Until then ``pending_by_queue`` is
        empty and says nothing. Earlier versions do not send it.
    :ivar configuration: version of the configuration that the answering entry has in force, 0 if
        it has none. Earlier versions do not send it and what follows.
    :ivar confirmed_age_s: time since this was certainly the newest version, ``None`` if it never
        was.
    :ivar sent_s: when the answer was given, on the boot clock of the answering entry.
    :ivar known_term: the latest term that the answering entry knows, for an entry that the store
        does not serve.
    :ivar peer_addresses: where such an entry can ask if the owner does not answer any more.
    """

    epoch: int
    incarnation: str
    is_owner: bool
    candidates: tuple[str, ...]
    pending_by_queue: dict[str, int]
    store_silent_s: float
    knows_jobs: bool = True
    configuration: int = 0
    confirmed_age_s: float | None = None
    sent_s: float = 0.0
    known_term: Term = Term()
    peer_addresses: tuple[str, ...] = ()


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
    """A job that reserves processors for as long as it lasts.

    :ivar cpu_millis: these processors, in thousandths of a core.
    """

    job_id: str
    queue: str
    cpu_millis: int


class AdmissionAnswer(NamedTuple):
    """Whether the owner admits a job.

    :ivar retry_after_s: 0 if it does; else after how many whole seconds there is probably room.
    """

    retry_after_s: int
