"""What entries tell each other of their shards. A hint may be late or wrong and costs only time."""

from typing import NamedTuple

from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class TeamUse(NamedTuple):
    """What a team's batch tasks hold in one shard."""

    team: str
    used: Size


class ShardHint(NamedTuple):
    """One owned shard.

    ``upstream_revision`` rises with every change of the shard's upstreams. While it is 0 a new
    owner does not know them yet, and those of the earlier epoch are to be kept. ``largest_free``
    is the free size of the worker with the most room; ``pending`` counts tasks that wait.
    """

    shard: int
    epoch: int
    upstream_revision: int
    free: Size = ZERO
    largest_free: Size = ZERO
    pending: int = 0
    used_by_team: tuple[TeamUse, ...] = ()
    format: int = 1
