"""Client of the operator endpoints on the entries' admin ports."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import Target
from laburnumswitch.command.output import warn
from laburnumswitch.connection.json_call import call_json
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


class RowsResponse(TypedDict):
    """Response of the operator endpoints. Rows are flat mappings."""

    rows: list[dict[str, Any]]


class EntryResponse(NamedTuple):
    """Rows returned by one entry."""

    address: str
    rows: Rows


def call_any_entry(
    access: Access, target: Target, method: str, path: str
) -> EntryResponse | Failure:
    """Call the entries in turn until one answers.

    Every endpoint is idempotent, so calling the next entry after a lost answer is safe.

    :return: ``NotFound`` if an entry reports it; ``OutcomeUnknown`` if the answer to a write was
        lost and no other entry answered; otherwise the failure of the last entry.
    """
    outcome: EntryResponse | Failure = Unavailable("no entry address given")
    lost_answer: OutcomeUnknown | None = None
    for address in target.entries:
        outcome = call_entry(access, target, address, method, path)
        if isinstance(outcome, EntryResponse | NotFound):
            return outcome
        if isinstance(outcome, AnswerLost | AnswerMalformed):
            lost_answer = OutcomeUnknown(outcome.describe())
    if lost_answer is not None:
        return Unavailable(lost_answer.reason) if method == "GET" else lost_answer
    return outcome


def call_or_read_platform(
    access: Access, target: Target, path: str, read_platform: ReadPlatform
) -> Rows | Failure:
    """Return the rows of an entry, or those of the platform if no entry answers."""
    response = call_any_entry(access, target, "GET", path)
    if isinstance(response, EntryResponse):
        return response.rows
    if target.platform is None:
        return response
    if target.entries:
        warn(response)
    return read_platform(access, target.platform)


def call_entry(
    access: Access, target: Target, address: str, method: str, path: str
) -> EntryResponse | Failure:
    """Call an endpoint of one entry."""
    client = access.open_entry(address, target.headers, target.tls)
    response = call_json(client, method, path, None, RowsResponse, TIMEOUT_S)
    client.close()
    if isinstance(response, Refused) and response.status == STATUS_NOT_FOUND:
        return NotFound(path)
    if isinstance(response, Failure):
        return response
    return EntryResponse(address, tuple(response["rows"]))
