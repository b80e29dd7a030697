"""Calls of the operators' endpoints on the entries' admin ports."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import Target
from laburnumswitch.command.output import warn
from laburnumswitch.connection.answer import call_json
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.daemon.settings import Platform

TIMEOUT_S = 5.0
STATUS_NOT_FOUND = 404


Rows = tuple[dict[str, Any], ...]
ReadPlatform = Callable[[Access, Platform], "Rows | Failure"]


class RowsAnswer(TypedDict):
    """Answer of every endpoint that lists something; rows are flat mappings."""

    rows: list[dict[str, Any]]


class EntryAnswer(NamedTuple):
    """The answer of one entry."""

    address: str
    rows: Rows


def ask_any(access: Access, target: Target, method: str, path: str) -> EntryAnswer | Failure:
    """Ask the entries in turn until one answers.

    Every endpoint is idempotent, so asking the next one after a lost answer is safe.

    :return: ``NotFound`` where an entry says so; ``OutcomeUnknown`` where an answer to something
        other than a read was lost and no other entry answered; else the failure of the last entry.
    """
    outcome: EntryAnswer | Failure = Unavailable("no entry is known")
    lost: OutcomeUnknown | None = None
    for address in target.entries:
        outcome = ask_one(access, target, address, method, path)
        if isinstance(outcome, EntryAnswer | NotFound):
            return outcome
        if isinstance(outcome, AnswerLost | AnswerMalformed):
            lost = OutcomeUnknown(outcome.describe())
    if lost is not None:
        return Unavailable(lost.reason) if method == "GET" else lost
    return outcome


def ask_or_read(
    access: Access, target: Target, path: str, read_platform: ReadPlatform
) -> Rows | Failure:
    """Return the rows of an entry, or where none answers those that the platform has itself."""
    answer = ask_any(access, target, "GET", path)
    if isinstance(answer, EntryAnswer):
        return answer.rows
    if target.platform is None:
        return answer
    if target.entries:
        warn(answer)
    return read_platform(access, target.platform)


def ask_one(
    access: Access, target: Target, address: str, method: str, path: str
) -> EntryAnswer | Failure:
    """Ask one entry."""
    client = access.open_entry(address, target.headers, target.tls)
    answer = call_json(client, method, path, None, RowsAnswer, TIMEOUT_S)
    client.close()
    if isinstance(answer, Refused) and answer.status == STATUS_NOT_FOUND:
        return NotFound(path)
    if isinstance(answer, Failure):
        return answer
    return EntryAnswer(address, tuple(answer["rows"]))
