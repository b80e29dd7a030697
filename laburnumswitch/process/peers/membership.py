"""Liveness of peer entries, derived from their heartbeats."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.process.peers.heartbeat import Heartbeat

# A peer without a heartbeat for longer than this, in seconds, is not live.
HEARTBEAT_EXPIRY_S = 1.6
# A peer without a heartbeat for longer than this, in seconds, is removed from memory.
FORGET_AFTER_S = 30.0
INFINITE_S = float("inf")


class _ReceivedHeartbeat(NamedTuple):
    received_s: float
    heartbeat: Heartbeat


class Membership:
    """Latest heartbeat of each peer and when it was received."""

    def __init__(self, vm_id: str, clock: Callable[[], float]) -> None:
        self._vm_id = vm_id
        self._clock = clock
        self._latest_by_vm_id: dict[str, _ReceivedHeartbeat] = {}

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store a heartbeat, unless a newer one of the same boot has been received."""
        latest = self._latest_by_vm_id.get(heartbeat.vm_id)
        if latest is not None and _is_outdated(heartbeat, latest.heartbeat):
            return
        self._latest_by_vm_id[heartbeat.vm_id] = _ReceivedHeartbeat(self._clock(), heartbeat)

    def has_recent_heartbeat(self, vm_id: str) -> bool:
        """Return whether a heartbeat of ``vm_id`` is recent; true for this entry itself."""
        if vm_id == self._vm_id:
            return True
        return self.seconds_since_heartbeat(vm_id) <= HEARTBEAT_EXPIRY_S

    def seconds_since_heartbeat(self, vm_id: str) -> float:
        """Return the seconds since the last heartbeat of ``vm_id``, infinity if there was none."""
        latest = self._latest_by_vm_id.get(vm_id)
        return INFINITE_S if latest is None else self._clock() - latest.received_s

    def latest_heartbeat(self, vm_id: str) -> Heartbeat | None:
        """Return the latest heartbeat of a peer, or ``None`` if it is not recent."""
        latest = self._latest_by_vm_id.get(vm_id)
        return latest.heartbeat if latest is not None and self.has_recent_heartbeat(vm_id) else None

    def live_entries(self) -> tuple[str, ...]:
        """Return this entry and every peer with a recent heartbeat that is not leaving, sorted."""
        peers = [heartbeat.vm_id for heartbeat in self.heartbeats() if not heartbeat.leaving]
        return tuple(sorted({self._vm_id, *peers}))

    def heartbeats(self) -> tuple[Heartbeat, ...]:
        """Return the latest heartbeat of each peer, if it is recent."""
        return tuple(
            latest.heartbeat
            for vm_id, latest in self._latest_by_vm_id.items()
            if self.has_recent_heartbeat(vm_id)
        )

    def forget_expired(self) -> None:
        """Drop peers whose last heartbeat is older than ``FORGET_AFTER_S``."""
        now_s = self._clock()
        for vm_id, latest in list(self._latest_by_vm_id.items()):
            if now_s - latest.received_s > FORGET_AFTER_S:
                del self._latest_by_vm_id[vm_id]


def _is_outdated(heartbeat: Heartbeat, latest: Heartbeat) -> bool:
    return heartbeat.boot == latest.boot and heartbeat.clock < latest.clock
