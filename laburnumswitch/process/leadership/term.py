"""The stored term, which names the single owner of the dispatch daemon.

Every commit of an owner is conditional on the version of this row.
"""

from enum import StrEnum
from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Row

TERM_TABLE = "leadership"
TERM_KEY = f"{TERM_TABLE}/term"
NO_OWNER = ""
# How long the term's row must stay unchanged, in seconds, before another entry takes over from an
# owner that may go on. A little more than the interval at which an owner rewrites the row.
TAKEOVER_WAIT_S = 0.65


class Term(NamedTuple):
    """Period during which one entry is the owner.

    :ivar epoch: increases with each term.
    :ivar owner: VM of the owner, empty once the owner has left gracefully.
    :ivar incarnation: identifies one start of the owner's process.
    :ivar address: where other entries reach the owner.
    :ivar batch: id of the owner's last commit.
    :ivar unconfirmed: addresses of earlier owners that may still send commands to workers.
    """

    epoch: int = 0
    owner: str = NO_OWNER
    incarnation: str = ""
    address: str = ""
    batch: str = ""
    unconfirmed: tuple[str, ...] = ()


class PredecessorState(StrEnum):
    """What is known about the earlier owner at a takeover.

    ``ENDED``: it sends no more commands to workers, because its process has ended or it has
    confirmed that it was superseded. ``REFUSING``: it refuses connections, but may still read new
    jobs from the feed and send commands. ``SILENT``: it does not answer, and may still accept jobs
    and send commands. Both end with its lease (``recorder.OWNER_LEASE_S``). ``UNSETTLED``: it has
    ended itself, but an owner before it may still send commands, see ``Term.unconfirmed``.
    """

    ENDED = "ended"
    REFUSING = "refusing"
    SILENT = "silent"
    UNSETTLED = "unsettled"


class VersionedTerm(NamedTuple):
    """A term and the version of its row."""

    term: Term
    version: int


def read_term(table: FeedTable) -> VersionedTerm | Failure:
    """Read the current term; it has epoch 0 before the first owner."""
    rows = table.read((TERM_KEY,))
    if isinstance(rows, Failure):
        return rows
    return decode_term(rows[TERM_KEY])


def decode_term(row: Row) -> VersionedTerm | RowMalformed:
    """Decode the term from its row."""
    if row.version == ABSENT_VERSION or row.value is None:
        return VersionedTerm(Term(), ABSENT_VERSION)
    value: Any = row.value
    try:
        return VersionedTerm(convert(value, Term), row.version)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))
