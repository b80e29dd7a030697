"""Decides with the platform's list of VMs which silent workers have certainly ended.

The list says which worker a VM runs. A worker that its VM no longer runs never resumes, but may
start again under its id.
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

    def as_of_s(self) -> float:
        """Return the time from which on the VMs may have changed since the list was made."""
        return self.sent_s - MAX_DELAY_S


class SilentWorker(NamedTuple):
    """A worker that does not answer.

    :ivar vm_id: empty if unknown: an earlier owner stores only silent workers with their VMs.
    :ivar known_since_s: since when this incarnation of the worker has been known.
    :ivar last_answer_s: when the worker last answered, 0 if never.
    """

    worker_id: str
    vm_id: str
    known_since_s: float
    last_answer_s: float


class Evidence(NamedTuple):
    """Why a worker has certainly ended.

    :ivar is_crash: whether it crashed; otherwise its VM was taken away, or nothing tells.
    """

    reason: str
    is_crash: bool = False


VM_REMOVED = Evidence("its VM is no longer listed")
RUN_BY_NONE = Evidence("no listed VM runs it")
_BY_ABSENCE = (VM_REMOVED, RUN_BY_NONE)

# Reads the whole list; the argument is the time limit of each page in seconds.
ListVms = Callable[[float], tuple[VmRow, ...] | Failure]


def find_ended_workers(
    workers: Iterable[SilentWorker], vm_list: VmList, earlier: VmList | None
) -> dict[str, Evidence]:
    """Return the evidence by worker id for each worker that has certainly ended.

    :param earlier: the reading before ``vm_list``. What a list lacks counts only if both lack it,
        since the pages of one reading may be inconsistent.
    """
    evidence_by_id = {}
    for worker in workers:
        evidence = _find_evidence(worker, vm_list)
        if evidence in _BY_ABSENCE and (
            earlier is None or _find_evidence(worker, earlier) != evidence
        ):
            continue
        if evidence is not None:
            evidence_by_id[worker.worker_id] = evidence
    return evidence_by_id


def _find_evidence(worker: SilentWorker, vm_list: VmList) -> Evidence | None:
    if not _covers(vm_list, worker):
        return None
    if not worker.vm_id:
        may_run_worker = any(
            row.state is VmState.UNKNOWN
            or (row.state is VmState.UP and row.worker_id in ("", worker.worker_id))
            for row in vm_list.row_by_vm_id.values()
        )
        return None if may_run_worker else RUN_BY_NONE
    row = vm_list.row_by_vm_id.get(worker.vm_id)
    if row is None:
        return VM_REMOVED
    if row.state is VmState.UP:
        runs_another = row.worker_id and row.worker_id != worker.worker_id
        return Evidence(f"its VM runs {row.worker_id}", is_crash=True) if runs_another else None
    if row.state is VmState.UNKNOWN:
        return None
    return Evidence(f"its VM is {row.state.value}", is_crash=row.state is VmState.DOWN)


def _covers(vm_list: VmList, worker: SilentWorker) -> bool:
    """Return whether a list was made while the worker was known and after its last answer."""
    # A list without any VM is not plausible.
    return (
        bool(vm_list.row_by_vm_id)
        and vm_list.sent_s > worker.last_answer_s
        and vm_list.as_of_s() > worker.known_since_s
    )
