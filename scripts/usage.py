"""Measures memory, CPU share and control traffic of each entry."""

import re
from time import monotonic
from typing import NamedTuple

from scripts.cluster import Cluster
from standin.balancer import Entry

CONTROL_BYTES = re.compile(
    r"(?m)^laburnumswitch_control_bytes(?:_total)?(?:\{[^}]*\})? ([0-9.eE+]+)"
)


class EntryUsage(NamedTuple):
    """Usage of an entry; ``control_bytes_per_s`` is ``None`` if its metrics lack the figure."""

    vm_id: str
    peak_memory_mb: float
    cpu_share: float
    control_bytes_per_s: float | None


class _UsageSample(NamedTuple):
    at_s: float
    cpu_s: float
    control_bytes: float | None


class UsageMeter:
    """Measures the resource usage of entries between ``begin`` and ``end``."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._first_by_vm: dict[str, _UsageSample] = {}

    def begin(self) -> None:
        """Take the first sample of each running entry."""
        for vm_id in self._running():
            self._first_by_vm[vm_id] = self._sample(vm_id)

    def end(self) -> list[EntryUsage]:
        """Return the usage of each running entry, since its start if it started after ``begin``."""
        usages = []
        for vm_id in self._running():
            started_s = self._cluster.launcher.started_s_by_name[vm_id]
            first = self._first_by_vm.get(vm_id, _UsageSample(started_s, 0.0, 0.0))
            last = self._sample(vm_id)
            peak_mb = self._cluster.launcher.usage_of(vm_id).peak_memory_mb
            duration_s = last.at_s - first.at_s
            bytes_per_s = None
            if last.control_bytes is not None:
                bytes_per_s = (last.control_bytes - (first.control_bytes or 0.0)) / duration_s
            cpu_share = (last.cpu_s - first.cpu_s) / duration_s
            usages.append(EntryUsage(vm_id, peak_mb, cpu_share, bytes_per_s))
        return usages

    def _running(self) -> list[str]:
        launcher = self._cluster.launcher
        return [vm_id for vm_id in self._cluster.entry_by_vm if launcher.is_running(vm_id)]

    def _sample(self, vm_id: str) -> _UsageSample:
        cpu_s = self._cluster.launcher.usage_of(vm_id).cpu_s
        return _UsageSample(
            monotonic(), cpu_s, self._control_bytes(self._cluster.entry_by_vm[vm_id])
        )

    def _control_bytes(self, entry: Entry) -> float | None:
        answer = self._cluster.call_admin_api(entry, "/metrics")
        if answer is None:
            return None
        found = CONTROL_BYTES.findall(answer.body.decode())
        return sum(map(float, found)) if found else None
