"""In-memory stand-in of the platform's list of VMs, which shows changes after a lag."""

from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.peers.vms import VmChanges


class _Change(NamedTuple):
    revision: int
    at_s: float
    vm: Vm


class MemoryVmList:
    """Log of changes to the list; each is visible ``lag_s`` seconds after it was made."""

    def __init__(self, lag_s: float = 0.0, clock: Callable[[], float] = monotonic) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._changes: list[_Change] = []

    def put(self, vm: Vm) -> None:
        """Add a VM or change its record."""
        self._changes.append(_Change(len(self._changes) + 1, self._clock(), vm))

    def changes_after(self, revision: int) -> VmChanges:
        """Return the latest visible record of each VM that changed after ``revision``."""
        shown_until_s = self._clock() - self.lag_s
        by_vm: dict[str, Vm] = {}
        last = revision
        for change in self._changes[revision:]:
            if change.at_s > shown_until_s:
                break
            by_vm[change.vm.vm_id] = change.vm
            last = change.revision
        return VmChanges(last, tuple(by_vm.values()))
