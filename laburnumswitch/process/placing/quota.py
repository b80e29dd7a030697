"""Quotas of teams for batch tasks, and their usage across shards."""

from collections.abc import Iterable
from collections.abc import Mapping

from laburnumswitch.declaration import Team
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.shard_hint import TeamUsage
from laburnumswitch.size import count_fitting
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class QuotaUsage:
    """Quota usage of teams while one batch is planned.

    The usage in other shards comes from hints that may be slightly stale. So that several shards do
    not use the same remaining quota at once, one batch uses at most the remaining quota divided by
    the number of shards, or one task.
    """

    def __init__(
        self,
        teams: Iterable[Team],
        used_here: Mapping[str, Size],
        other_hints: Iterable[ShardHint],
        shard_count: int,
    ) -> None:
        self._quota_by_team = {team.name: team.quota for team in teams}
        self._used_by_team = dict(used_here)
        for hint in other_hints:
            for use in hint.used_by_team:
                self._add_used(use.team, use.used)
        self._shard_count = max(1, shard_count)
        self._planned_by_team: dict[str, Size] = {}

    def allows(self, team: str, size: Size) -> bool:
        """Return whether the team may use ``size`` more, always true for a team without a quota."""
        quota = self._quota_by_team.get(team)
        if quota is None:
            return True
        planned = self._planned_by_team.get(team, ZERO)
        used = self._used_by_team.get(team, ZERO)
        if not count_fitting(size, used.plus(planned), quota, 1):
            return False
        share = _divide(quota.minus(used), self._shard_count)
        return planned == ZERO or count_fitting(size, planned, share, 1) == 1

    def add_planned(self, team: str, size: Size) -> None:
        """Add a planned start to the usage."""
        self._planned_by_team[team] = self._planned_by_team.get(team, ZERO).plus(size)

    def dominant_share(self, team: str) -> float:
        """Return the largest share of its quota that the team uses of any resource."""
        quota = self._quota_by_team.get(team)
        used = self._used_by_team.get(team, ZERO).plus(self._planned_by_team.get(team, ZERO))
        if quota is None:
            return 0.0
        parts = zip(used, quota, strict=True)
        return max((part / whole for part, whole in parts if whole), default=0.0)

    def _add_used(self, team: str, size: Size) -> None:
        self._used_by_team[team] = self._used_by_team.get(team, ZERO).plus(size)


def batch_usage_by_team(ledger: Ledger) -> dict[str, Size]:
    """Return the size of the running batch tasks of each team in a ledger."""
    used: dict[str, Size] = {}
    for group in ledger.group_by_number.values():
        count = len(group.running)
        if group.task_spec.service or not count:
            continue
        group_usage = group.task_spec.size.times(count)
        used[group.task_spec.team] = used.get(group.task_spec.team, ZERO).plus(group_usage)
    return used


def team_usages(ledger: Ledger) -> tuple[TeamUsage, ...]:
    """Return the batch usage of each team, for a ``ShardHint``."""
    return tuple(TeamUsage(team, used) for team, used in batch_usage_by_team(ledger).items())


def merge_team_usages(hints: Iterable[ShardHint]) -> tuple[TeamUsage, ...]:
    """Return the total usage of each team over several shards."""
    used: dict[str, Size] = {}
    for hint in hints:
        for use in hint.used_by_team:
            used[use.team] = used.get(use.team, ZERO).plus(use.used)
    return tuple(TeamUsage(team, size) for team, size in used.items())


def _divide(size: Size, count: int) -> Size:
    return Size(*(part // count for part in size))
