"""The row that names the owner. Every commit of an owner is conditional on its version."""

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

TERM_KEY = "leadership/term"
NO_OWNER = ""


class Term(NamedTuple):
    """An ownership: ``epoch`` rises with each, and ``batch`` names the owner's last commit.

    ``incarnation`` tells two processes of one VM apart. An owner that left gracefully has no name.
    """

    epoch: int = 0
    owner: str = NO_OWNER
    incarnation: str = ""
    address: str = ""
    batch: str = ""


class Predecessor(StrEnum):
    """What is known of the earlier owner at a takeover.

    One that has ended, or has confirmed that it was superseded, gives no order any more. One that
    refuses connections takes in no new job; a silent one may do both until its ownership lapses.
    """

    ENDED = "ended"
    REFUSING = "refusing"
    SILENT = "silent"


class HeldTerm(NamedTuple):
    """A term and the version of its row."""

    term: Term
    version: int


def read_term(table: FeedTable) -> HeldTerm | Failure:
    """Read the present term; before the first owner it has epoch 0."""
    rows = table.read((TERM_KEY,))
    if isinstance(rows, Failure):
        return rows
    return decode_term(rows[TERM_KEY])


def decode_term(row: Row) -> HeldTerm | RowMalformed:
    """Return the term of a row."""
    if row.version == ABSENT_VERSION or row.value is None:
        return HeldTerm(Term(), ABSENT_VERSION)
    value: Any = row.value
    try:
        return HeldTerm(convert(value, Term), row.version)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))
