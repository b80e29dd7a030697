"""Decides with the platform's list of VMs which silent workers have certainly ended.

The list says which worker a VM runs. A worker that its VM no longer runs never resumes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from laburnumswitch.exceptions import Failure

# Upper bound, in seconds, of the time by which the list is behind the VMs. A list older than a
# worker may still say what its VM ran before.
MAX_DELAY_S = 2.0


class VmState(Enum):
    """What a VM does; it runs a worker only while it is ``UP``."""

    UP = "up"
    DOWN = "down"
    MOVING = "moving"
    IN_MAINTENANCE = "in maintenance"
    UNKNOWN = "unknown"


class VmRow(NamedTuple):
    """A row of the list.

    :ivar worker_id: the worker that the VM runs, empty if none is named.
    """

    vm_id: str
    state: VmState
    worker_id: str


class VmList(NamedTuple):
    """A complete reading of the list; ``sent_s`` is when it was requested."""

    sent_s: float
    row_by_vm_id: dict[str, VmRow]


class SilentWorker(NamedTuple):
    """A worker that does not answer.

    :ivar known_since_s: since when this incarnation of the worker has been known.
    :ivar last_answer_s: when the worker last answered, 0 if never.
    """

    worker_id: str
    vm_id: str
    known_since_s: float
    last_answer_s: float


# Reads the whole list; the argument is the time limit of each page in seconds.
ListVms = Callable[[float], tuple[VmRow, ...] | Failure]


def find_ended_workers(
    workers: Iterable[SilentWorker], vm_list: VmList, earlier: VmList | None
) -> dict[str, str]:
    """Return the evidence by worker id for each worker that has certainly ended.

    :param earlier: the reading before ``vm_list``. A VM counts as removed only if both lack it,
        since the pages of one reading may be inconsistent.
    """
    evidence_by_id = {}
    for worker in workers:
        if not _covers(vm_list, worker):
            continue
        row = vm_list.row_by_vm_id.get(worker.vm_id)
        if row is None:
            was_listed = earlier is None or worker.vm_id in earlier.row_by_vm_id
            if not was_listed and _covers(earlier, worker):
                evidence_by_id[worker.worker_id] = "its VM is no longer listed"
        elif row.state is VmState.UP:
            if row.worker_id and row.worker_id != worker.worker_id:
                evidence_by_id[worker.worker_id] = f"its VM runs {row.worker_id}"
        elif row.state is not VmState.UNKNOWN:
            evidence_by_id[worker.worker_id] = f"its VM is {row.state.value}"
    return evidence_by_id


def _covers(vm_list: VmList, worker: SilentWorker) -> bool:
    """Return whether a list was made while the worker was known and after its last answer."""
    # A list without any VM is not plausible.
    return (
        bool(worker.vm_id and vm_list.row_by_vm_id)
        and vm_list.sent_s > worker.last_answer_s
        and vm_list.sent_s - MAX_DELAY_S > worker.known_since_s
    )
