"""Cached VM list of the platform, updated by polling for changes."""

from collections.abc import Callable

from absl import logging

from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.peers.vms import VmChanges
from laburnumswitch.process.peers.vms import VmList

POLL_INTERVAL_S = 1.0


class VmCache:
    """Latest known VM list.

    The list may be outdated: a listed VM may be gone and a new one missing, so no safety decision
    may rely on it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._by_id: dict[str, Vm] = {}
        self._entries: tuple[Vm, ...] = ()
        self._workers: tuple[Vm, ...] = ()

    def apply(self, changes: VmChanges) -> None:
        """Apply the changes since ``revision``."""
        self.revision = changes.revision
        for vm in changes.vms:
            if vm.state == "gone":
                self._by_id.pop(vm.vm_id, None)
            else:
                self._by_id[vm.vm_id] = vm
        if changes.vms:
            vms = sorted(self._by_id.values())
            self._entries = tuple(vm for vm in vms if vm.role == "entry")
            self._workers = tuple(vm for vm in vms if vm.role == "worker")

    def entries(self) -> tuple[Vm, ...]:
        """Return the listed VMs that run an entry."""
        return self._entries

    def zone_of(self, address: str) -> str | None:
        """Return the availability zone of the VM that listens at, or connects from, ``address``.

        A connecting VM is matched by its IP address only, since its port is not listed. An address
        that is not listed, or is shared by VMs of several zones, has no zone.
        """
        host = address.rpartition(":")[0]
        vms = self._by_id.values()
        listens = {vm.availability_zone for vm in vms if vm.address == address}
        zones = listens or {
            vm.availability_zone for vm in vms if vm.address.rpartition(":")[0] == host
        }
        return zones.pop() if len(zones) == 1 else None

    def workers(self) -> tuple[Vm, ...]:
        """Return the listed VMs that run a worker."""
        return self._workers


def poll_vm_list(
    vm_cache: VmCache,
    vm_list: VmList,
    sleep: Callable[[float], None],
    is_stopped: Callable[[], bool],
) -> None:
    """Poll the platform's list until the process stops."""
    was_available = True
    while not is_stopped():
        changes = vm_list.changes_after(vm_cache.revision)
        is_available = isinstance(changes, VmChanges)
        if is_available:
            vm_cache.apply(changes)
        elif was_available:
            logging.warning("event=vm_list_unavailable reason=%s", changes.describe())
        was_available = is_available
        sleep(POLL_INTERVAL_S)
