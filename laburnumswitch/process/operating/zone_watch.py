"""Copies zone states from the platform's table to the upstream directory, for routing."""

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
    is_stopped: Callable[[], bool],
) -> None:
    """Read the zone rows every ``POLL_INTERVAL_S``; known states stay in force in an outage."""
    while not is_stopped():
        refresh_zones(directory, table, timeline)
        sleep(POLL_INTERVAL_S)


def refresh_zones(directory: UpstreamDirectory, table: Table, timeline: Timeline) -> None:
    """Read the zone rows, record each change of state, and update the upstream directory."""
    by_name = read_zones(table)
    if isinstance(by_name, Failure):
        return
    known = {zone.name: zone.state for zone in directory.zones()}
    for name, zone in by_name.items():
        if known.get(name, "in") != zone.state:
            timeline.record("zone_state", name, state=zone.state, version=zone.version)
    directory.apply_zones(ZoneHint(*zone) for zone in by_name.values())
