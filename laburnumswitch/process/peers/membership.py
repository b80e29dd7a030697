"""Which entries are believed live: listed by the platform, and heard by heartbeat."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.process.peers.heartbeat import Heartbeat

HEARD_LIMIT_S = 1.6
FORGET_LIMIT_S = 30.0
INFINITE_S = float("inf")


class _Heard(NamedTuple):
    at_s: float
    heartbeat: Heartbeat


class Membership:
    """The newest heartbeat of each peer and when it came."""

    def __init__(self, vm_id: str, clock: Callable[[], float]) -> None:
        self._vm_id = vm_id
        self._clock = clock
        self._heard_by_id: dict[str, _Heard] = {}

    def hear(self, heartbeat: Heartbeat) -> None:
        """Take in a heartbeat; one that arrives late cannot replace a newer one of its boot."""
        known = self._heard_by_id.get(heartbeat.vm_id)
        if known is not None and _is_late(heartbeat, known.heartbeat):
            return
        self._heard_by_id[heartbeat.vm_id] = _Heard(self._clock(), heartbeat)

    def is_heard(self, vm_id: str) -> bool:
        """Return whether ``vm_id`` is this entry or was heard within ``HEARD_LIMIT_S``."""
        if vm_id == self._vm_id:
            return True
        return self.silence_s(vm_id) <= HEARD_LIMIT_S

    def silence_s(self, vm_id: str) -> float:
        """Return the seconds since ``vm_id`` was heard, infinity for one that never was."""
        known = self._heard_by_id.get(vm_id)
        return INFINITE_S if known is None else self._clock() - known.at_s

    def newest(self, vm_id: str) -> Heartbeat | None:
        """Return the newest heartbeat of a peer that is heard."""
        known = self._heard_by_id.get(vm_id)
        return known.heartbeat if known is not None and self.is_heard(vm_id) else None

    def live_entries(self) -> tuple[str, ...]:
        """Return this entry and every peer that is heard and not leaving, sorted."""
        peers = [heartbeat.vm_id for heartbeat in self.heartbeats() if not heartbeat.leaving]
        return tuple(sorted({self._vm_id, *peers}))

    def heartbeats(self) -> tuple[Heartbeat, ...]:
        """Return the newest heartbeat of each peer that is heard."""
        return tuple(
            known.heartbeat for vm_id, known in self._heard_by_id.items() if self.is_heard(vm_id)
        )

    def forget_silent(self) -> None:
        """Drop the peers that have been silent for longer than ``FORGET_LIMIT_S``."""
        now_s = self._clock()
        for vm_id, known in list(self._heard_by_id.items()):
            if now_s - known.at_s > FORGET_LIMIT_S:
                del self._heard_by_id[vm_id]


def _is_late(heartbeat: Heartbeat, newest: Heartbeat) -> bool:
    return heartbeat.boot == newest.boot and heartbeat.clock < newest.clock
