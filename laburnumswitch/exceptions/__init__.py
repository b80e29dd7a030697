"""Failures of the scheduler, as tagged values with a common base class.

A failure is a return value: functions return it in place of their result, and callers branch on
its type. Only the command line converts it to an exit code and a message.
"""

from laburnumswitch.exceptions.files import CyclicOrder
from laburnumswitch.exceptions.files import DuplicateKey
from laburnumswitch.exceptions.files import DuplicateName
from laburnumswitch.exceptions.files import FileProblem
from laburnumswitch.exceptions.files import FileUnreadable
from laburnumswitch.exceptions.files import InvalidValue
from laburnumswitch.exceptions.files import MissingField
from laburnumswitch.exceptions.files import NotUtf8
from laburnumswitch.exceptions.files import NotYaml
from laburnumswitch.exceptions.files import ProblemsFound
from laburnumswitch.exceptions.files import UnknownField
from laburnumswitch.exceptions.files import UnknownName
from laburnumswitch.exceptions.platform import AnswerLost
from laburnumswitch.exceptions.platform import AnswerMalformed
from laburnumswitch.exceptions.platform import AnswerOutdated
from laburnumswitch.exceptions.platform import Conflict
from laburnumswitch.exceptions.platform import ConnectFailed
from laburnumswitch.exceptions.platform import ConnectionRefused
from laburnumswitch.exceptions.platform import FormatUnknown
from laburnumswitch.exceptions.platform import HistoryLost
from laburnumswitch.exceptions.platform import NotFound
from laburnumswitch.exceptions.platform import OutcomeUnknown
from laburnumswitch.exceptions.platform import PeerNotTrusted
from laburnumswitch.exceptions.platform import Refused
from laburnumswitch.exceptions.platform import ReportNotApplied
from laburnumswitch.exceptions.platform import RowMalformed
from laburnumswitch.exceptions.platform import StartRefused
from laburnumswitch.exceptions.platform import Throttled
from laburnumswitch.exceptions.platform import Unavailable
from laburnumswitch.exceptions.platform import WorkerReplaced
from laburnumswitch.exceptions.requests import AnswerNotKept
from laburnumswitch.exceptions.requests import CallerRefused
from laburnumswitch.exceptions.requests import CannotListen
from laburnumswitch.exceptions.requests import ClaimInProgress
from laburnumswitch.exceptions.requests import ConnectionLimit
from laburnumswitch.exceptions.requests import FirstByteLate
from laburnumswitch.exceptions.requests import JobWithdrawn
from laburnumswitch.exceptions.requests import KeyNotAccepted
from laburnumswitch.exceptions.requests import KeyReused
from laburnumswitch.exceptions.requests import NotRun
from laburnumswitch.exceptions.requests import OtherOrganisation
from laburnumswitch.exceptions.requests import ReportUnreadable
from laburnumswitch.exceptions.requests import RunUnknown
from laburnumswitch.exceptions.root import Failure
from laburnumswitch.exceptions.scheduling import ConfigurationChanged
from laburnumswitch.exceptions.scheduling import DependencyPending
from laburnumswitch.exceptions.scheduling import DocumentBroken
from laburnumswitch.exceptions.scheduling import EventsLost
from laburnumswitch.exceptions.scheduling import JobTooLarge
from laburnumswitch.exceptions.scheduling import JournalBroken
from laburnumswitch.exceptions.scheduling import LedgerConflict
from laburnumswitch.exceptions.scheduling import OwnershipLost
from laburnumswitch.exceptions.scheduling import QuotaTooSmall
from laburnumswitch.exceptions.scheduling import RemovalsRefused
from laburnumswitch.exceptions.scheduling import ScheduleInvalid
from laburnumswitch.exceptions.scheduling import UnknownZone
from laburnumswitch.exceptions.scheduling import ZoneChanged
from laburnumswitch.exceptions.scheduling import ZoneStillBusy

__all__ = [
    "AnswerLost",
    "AnswerMalformed",
    "AnswerOutdated",
    "AnswerNotKept",
    "CallerRefused",
    "CannotListen",
    "ClaimInProgress",
    "ConfigurationChanged",
    "Conflict",
    "ConnectFailed",
    "ConnectionLimit",
    "ConnectionRefused",
    "CyclicOrder",
    "DependencyPending",
    "DocumentBroken",
    "DuplicateKey",
    "DuplicateName",
    "Failure",
    "EventsLost",
    "FileProblem",
    "FileUnreadable",
    "FirstByteLate",
    "FormatUnknown",
    "HistoryLost",
    "InvalidValue",
    "JobTooLarge",
    "JournalBroken",
    "JobWithdrawn",
    "KeyNotAccepted",
    "KeyReused",
    "LedgerConflict",
    "MissingField",
    "NotFound",
    "NotRun",
    "NotUtf8",
    "NotYaml",
    "OtherOrganisation",
    "OutcomeUnknown",
    "OwnershipLost",
    "PeerNotTrusted",
    "ProblemsFound",
    "QuotaTooSmall",
    "Refused",
    "RemovalsRefused",
    "ReportUnreadable",
    "ReportNotApplied",
    "RowMalformed",
    "RunUnknown",
    "ScheduleInvalid",
    "StartRefused",
    "Throttled",
    "Unavailable",
    "UnknownField",
    "UnknownName",
    "UnknownZone",
    "WorkerReplaced",
    "ZoneChanged",
    "ZoneStillBusy",
]
