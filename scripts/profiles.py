"""Cluster sizes of the demonstration, those of the two users' current deployments."""

from typing import NamedTuple

from laburnumswitch.size import Size


class RackPlan(NamedTuple):
    """A rack of ``count`` workers in the zone with index ``zone``."""

    zone: int
    count: int


class Profile(NamedTuple):
    """Size and load of the demonstration; delays are one-way.

    ``reads_per_s`` and ``orders_per_s`` are totals over all services.
    """

    name: str
    zones: tuple[str, ...]
    racks: tuple[RackPlan, ...]
    capacity: Size
    entries: int
    zone_delay_ms: float
    caller_delay_ms: float
    reads_per_s: float
    orders_per_s: float


BOUTIK = Profile(
    name="boutik",
    zones=("port-louis", "curepipe", "mahebourg", "grand-baie"),
    racks=(RackPlan(0, 8), RackPlan(1, 8), RackPlan(2, 8), RackPlan(3, 8), RackPlan(3, 3)),
    capacity=Size(64_000, 250_000, 0),
    entries=8,
    zone_delay_ms=1.0,
    caller_delay_ms=1.0,
    reads_per_s=120.0,
    orders_per_s=40.0,
)
LOIDI = Profile(
    name="loidi",
    zones=("saigon-1", "saigon-2", "can-tho"),
    racks=(RackPlan(0, 8), RackPlan(1, 8), RackPlan(2, 8), RackPlan(2, 1)),
    capacity=Size(16_000, 60_000, 2),
    entries=7,
    zone_delay_ms=1.5,
    caller_delay_ms=3.0,
    reads_per_s=130.0,
    orders_per_s=20.0,
)
PROFILE_BY_NAME = {profile.name: profile for profile in (BOUTIK, LOIDI)}
