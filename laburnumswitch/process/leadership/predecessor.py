"""Until when earlier owners may send commands, as far as their successor can tell.

An owner acts until its lease expires, which counts from when it first sent the last commit that
took effect. Each commit changes the version of the term's row: an owner whose successor replaced a
version has sent no such commit after that version was first read. Owners before it have sent none
after its epoch was first read.
"""

from typing import NamedTuple

from laburnumswitch.process.dispatch.recorder import OWNER_LEASE_S
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import VersionedTerm


class Predecessor(NamedTuple):
    """What is known about the earlier owners at a takeover.

    :ivar commands_until_s: when the last of them sends no more commands to workers, on the
        monotonic clock; negative infinity if none does.
    """

    state: PredecessorState
    commands_until_s: float = float("-inf")


class TermSighting(NamedTuple):
    """The version and the epoch of the term as last read.

    :ivar version_read_s: when the first read of this version had returned, on the monotonic clock.
    :ivar epoch_read_s: the same of this epoch.
    """

    version: int
    version_read_s: float
    epoch: int
    epoch_read_s: float


def note_read(last: TermSighting | None, read: VersionedTerm, now_s: float) -> TermSighting:
    """Return what is known after a read of the term.

    :param last: what was known before, ``None`` before the first read.
    """
    version_read_s = epoch_read_s = now_s
    if last is not None and last.version == read.version:
        version_read_s = last.version_read_s
    if last is not None and last.epoch == read.term.epoch:
        epoch_read_s = last.epoch_read_s
    return TermSighting(read.version, version_read_s, read.term.epoch, epoch_read_s)


def earlier_commands_until_s(sighting: TermSighting) -> float:
    """Return when the owners before that of the term certainly send no more commands."""
    return sighting.epoch_read_s + OWNER_LEASE_S


def describe_predecessor(state: PredecessorState, sighting: TermSighting) -> Predecessor:
    """Return what is known about the earlier owners when the term that was read is replaced."""
    if state in (PredecessorState.REFUSING, PredecessorState.SILENT):
        return Predecessor(state, sighting.version_read_s + OWNER_LEASE_S)
    if state is PredecessorState.UNSETTLED:
        return Predecessor(state, earlier_commands_until_s(sighting))
    return Predecessor(state)
