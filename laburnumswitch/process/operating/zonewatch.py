"""Keeps the directory's zones up to date from the platform's table."""

from collections.abc import Callable

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.operating.zones import read_zones
from laburnumswitch.process.peers.heartbeat import ZoneHint
from laburnumswitch.process.peers.upstream_directory import UpstreamDirectory
from laburnumswitch.process.rows.table import Table

POLL_INTERVAL_S = 1.0


def run_zone_watch(
    directory: UpstreamDirectory,
    table: Table,
    timeline: Timeline,
    sleep: Callable[[float], None],
    stopping: Callable[[], bool],
) -> None:
    """Read the zones' rows every ``POLL_INTERVAL_S``; an outage leaves what is known in force."""
    while not stopping():
        watch_zones_once(directory, table, timeline)
        sleep(POLL_INTERVAL_S)


def watch_zones_once(directory: UpstreamDirectory, table: Table, timeline: Timeline) -> None:
    """Read the rows and record each change of state."""
    by_name = read_zones(table)
    if isinstance(by_name, Failure):
        return
    known = {zone.name: zone.state for zone in directory.zones()}
    for name, zone in by_name.items():
        if known.get(name, "in") != zone.state:
            timeline.record("zone_state", name, state=zone.state, version=zone.version)
    directory.apply_zones(ZoneHint(*zone) for zone in by_name.values())
