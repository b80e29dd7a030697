"""What the scheduler is given by the composition root."""

from collections.abc import Callable
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from gevent.event import Event

from laburnumswitch.declaration import Configuration
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.rows.object_store import ObjectStore
from laburnumswitch.process.rows.table import Table
from laburnumswitch.process.workers.worker_api import WorkerApi


def wait_for(event: Event, seconds: float) -> None:
    """Wait until an event is set, at most for so many seconds."""
    event.wait(seconds)


class SchedulerContext(NamedTuple):
    """Seams, clocks and views of one entry.

    ``vms`` returns the known worker VMs, and the same tuple object until one changes.
    ``live_entries`` returns the ids of entry VMs believed live, this one included. ``clock`` is
    monotonic and ``wall_clock`` Unix time, both in seconds.

    ``services_outlive_store`` lets replicas of services keep their leases while the table cannot be
    reached. A replica may then run beside its successor where a worker is cut off from a new owner
    but not from the old one; batch tasks never do.

    ``note_commit`` is told the outcome of a shard's batch and the seconds until it was decided.

    ``wait`` sleeps like ``sleep`` until an event is set. ``wake_peer`` asks the peer that owns a
    shard to read its inbox now. It returns at once, and a request that is lost costs only time.
    """

    vm_id: str
    table: Table
    objects: ObjectStore
    workers: WorkerApi
    configuration: Callable[[], Configuration]
    vms: Callable[[], tuple[Vm, ...]]
    live_entries: Callable[[], tuple[str, ...]]
    entry_is_heard: Callable[[str], bool]
    shard_hints: Callable[[], Mapping[int, ShardHint]]
    shard_count: int
    timeline: Timeline
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    sleep: Callable[[float], None]
    random: Random
    services_outlive_store: bool = False
    note_commit: Callable[[str, float], None] = lambda outcome, taken_s: None
    wait: Callable[[Event, float], None] = wait_for
    wake_peer: Callable[[int], None] = lambda shard: None
