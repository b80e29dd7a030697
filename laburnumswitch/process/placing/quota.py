"""What each team's batch tasks may hold, and who is next."""

from collections.abc import Iterable
from collections.abc import Mapping

from laburnumswitch.declaration import Team
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.shard_hint import TeamUsage
from laburnumswitch.size import Size
from laburnumswitch.size import ZERO


class QuotaBook:
    """Use of quotas while one batch is planned.

    Other shards' use comes from hints that may be a little old. To keep several shards from filling
    the same gap at once, one batch takes at most this shard's part of what is left, or one task.
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
                self._add(use.team, use.used)
        self._shard_count = max(1, shard_count)
        self._taken_by_team: dict[str, Size] = {}

    def allows(self, team: str, size: Size) -> bool:
        """Return whether the team may hold ``size`` more. Teams without a quota may always."""
        quota = self._quota_by_team.get(team)
        if quota is None:
            return True
        taken = self._taken_by_team.get(team, ZERO)
        left = quota.minus(self._used_by_team.get(team, ZERO))
        if not taken.plus(size).fits(left):
            return False
        return taken == ZERO or taken.plus(size).fits(_part(left, self._shard_count))

    def take(self, team: str, size: Size) -> None:
        """Count a planned start."""
        self._taken_by_team[team] = self._taken_by_team.get(team, ZERO).plus(size)

    def share(self, team: str) -> float:
        """Return the largest part of its quota that the team holds in any resource."""
        quota = self._quota_by_team.get(team)
        used = self._used_by_team.get(team, ZERO).plus(self._taken_by_team.get(team, ZERO))
        if quota is None:
            return 0.0
        parts = zip(used, quota, strict=True)
        return max((part / whole for part, whole in parts if whole), default=0.0)

    def _add(self, team: str, size: Size) -> None:
        self._used_by_team[team] = self._used_by_team.get(team, ZERO).plus(size)


def batch_use(ledger: Ledger) -> dict[str, Size]:
    """Return what each team's batch tasks hold in a ledger."""
    used: dict[str, Size] = {}
    for group in ledger.group_by_number.values():
        count = len(group.running)
        if group.work.service or not count:
            continue
        size = group.work.size
        held = Size(size.cpu_millis * count, size.memory_mb * count, size.accelerators * count)
        used[group.work.team] = used.get(group.work.team, ZERO).plus(held)
    return used


def team_uses(ledger: Ledger) -> tuple[TeamUsage, ...]:
    """Return the same for a hint."""
    return tuple(TeamUsage(team, used) for team, used in batch_use(ledger).items())


def join_team_uses(hints: Iterable[ShardHint]) -> tuple[TeamUsage, ...]:
    """Return what teams use in several shards together."""
    used: dict[str, Size] = {}
    for hint in hints:
        for use in hint.used_by_team:
            used[use.team] = used.get(use.team, ZERO).plus(use.used)
    return tuple(TeamUsage(team, size) for team, size in used.items())


def _part(size: Size, count: int) -> Size:
    return Size(*(part // count for part in size))
