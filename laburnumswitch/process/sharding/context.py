"""Dependencies that the composition root passes to the scheduler."""

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


def wait_for_event(event: Event, seconds: float) -> None:
    """Wait until an event is set, for at most ``seconds``."""
    event.wait(seconds)


class SchedulerContext(NamedTuple):
    """Dependencies of one entry's scheduler.

    ``vms`` returns the known worker VMs, and the same tuple object until one of them changes.
    ``live_entries`` returns the ids of the entry VMs believed to be live, including this one.
    ``has_recent_heartbeat`` returns whether an entry has sent a heartbeat recently. ``clock`` is
    monotonic and ``wall_clock`` Unix time, both in seconds.

    ``services_outlive_store`` lets leases of service replicas be renewed while the table is
    unreachable. If a worker can reach the old owner but not the new one, a replica may then run at
    the same time as its successor. Batch tasks never do.

    ``note_commit`` is called with the outcome of a shard's commit, as named in the metrics, and the
    seconds until it was known.

    ``wait`` is like ``sleep`` but returns early when an event is set. ``wake_peer`` asks the peer
    that owns a shard to read its inbox now. It does not block, and a lost request only delays the
    read until the next poll.
    """

    vm_id: str
    table: Table
    objects: ObjectStore
    workers: WorkerApi
    configuration: Callable[[], Configuration]
    vms: Callable[[], tuple[Vm, ...]]
    live_entries: Callable[[], tuple[str, ...]]
    has_recent_heartbeat: Callable[[str], bool]
    shard_hints: Callable[[], Mapping[int, ShardHint]]
    shard_count: int
    timeline: Timeline
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    sleep: Callable[[float], None]
    random: Random
    services_outlive_store: bool = False
    note_commit: Callable[[str, float], None] = lambda outcome, taken_s: None
    wait: Callable[[Event, float], None] = wait_for_event
    wake_peer: Callable[[int], None] = lambda shard: None
