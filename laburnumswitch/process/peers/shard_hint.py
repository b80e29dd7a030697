"""Summaries of shards that entries send each other.

A summary may be outdated. That may delay work but does not endanger it.
"""

from typing import NamedTuple

from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class TeamUsage(NamedTuple):
    """Resources held by a team's batch tasks, in one shard or in all shards of one entry."""

    team: str
    used: Size


class ShardHint(NamedTuple):
    """Summary of one shard, sent by its owner.

    ``upstream_revision`` increases with every change of the shard's upstreams. It is 0 while a new
    owner does not know them yet; peers then keep those of the earlier epoch. ``largest_free`` is
    the free capacity of the worker with the most; ``pending`` counts pending tasks.
    """

    shard: int
    epoch: int
    upstream_revision: int
    free: Size = ZERO
    largest_free: Size = ZERO
    pending: int = 0
    used_by_team: tuple[TeamUsage, ...] = ()
    format: int = 1
