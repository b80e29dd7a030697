"""What successive owners know of one another, stored in the same transactions as their terms.

An owner learns in this way which of its predecessors may have sent commands to workers, and whether
what they have stored is complete. A term that ends before its owner has sent anything leaves what
the owner before it had stored in force.
"""

from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Row

SUCCESSION_KEY = "leadership/succession"


class Succession(NamedTuple):
    """State of the succession as of one term.

    :ivar epoch: the term; an owner of an earlier version leaves the one of an earlier term.
    :ivar acted_epoch: the last term in which commands may have been sent to workers.
    :ivar knows_placements: whether the stored placements of long-running tasks are complete.
    :ivar kept_epoch: the last term in which leases may have been extended; its owner may have sent
        no other commands.
    """

    epoch: int
    acted_epoch: int
    knows_placements: bool
    kept_epoch: int = 0


def decode_succession(row: Row) -> Succession | RowMalformed | None:
    """Decode the state of the succession, ``None`` if none was ever stored."""
    if row.version == ABSENT_VERSION or row.value is None:
        return None
    try:
        return convert(row.value, Succession)
    except ValidationError as error:
        return RowMalformed(row.key, str(error))


def succeed(stored: Succession | None, predecessor: Term) -> Succession:
    """Return the state as of the term after a predecessor's.

    :param stored: the state last stored; ``None`` if there is none that can be read.
    """
    epoch = predecessor.epoch + 1
    if predecessor.epoch == 0:
        return Succession(epoch, acted_epoch=0, knows_placements=True)
    if stored is None or stored.epoch != predecessor.epoch:
        return Succession(epoch, acted_epoch=predecessor.epoch, knows_placements=False)
    return stored._replace(epoch=epoch)


def may_have_granted(succession: Succession, epoch: int) -> bool:
    """Return whether the owner of an earlier term may have started runs or extended leases.

    One that had not stored that it may do so when its term was replaced never will.
    """
    return max(succession.acted_epoch, succession.kept_epoch) >= epoch


def may_extend_leases(succession: Succession) -> Succession:
    """Return the state to store before the owner of its term extends the first lease."""
    return succession._replace(kept_epoch=succession.epoch)


def may_send_commands(succession: Succession) -> Succession:
    """Return the state to store before the owner of its term sends the first command."""
    return succession._replace(acted_epoch=succession.epoch)
