"""Gives tasks that find no room in one shard to another."""

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.inbox import choose_target
from laburnumswitch.process.ledger.inbox import give_away
from laburnumswitch.process.ledger.inbox import GIVE_AWAY_TASKS
from laburnumswitch.process.ledger.inbox import tasks_that_fit
from laburnumswitch.process.ledger.ledger import Group
from laburnumswitch.process.ledger.ownership import shard_of_rack
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.task_spec import TaskSpec

GIVE_AWAY_AFTER_S = 1.0
SERVICE_GIVE_AWAY_AFTER_S = 0.25
SAME_TARGET_PAUSE_S = 3.0


class Handover:
    """Since when groups found no room, and to which shards tasks were given lately."""

    def __init__(self, context: SchedulerContext, shard: int, epoch: int) -> None:
        self._context = context
        self._epoch = epoch
        self._shard = shard
        self._stuck_since_by_group: dict[int, float] = {}
        self._given_s_by_shard: dict[int, float] = {}
        self._count = 0

    def gather(
        self, batch: BatchBuilder, stuck: list[Group], hints: list[ShardHint], now_s: float
    ) -> None:
        """Add the hand-over of groups that have found no room for a while.

        Hints are a little old, so one shard is given one chunk in a few seconds.
        """
        self._stuck_since_by_group = {
            group.number: self._stuck_since_by_group.get(group.number, now_s) for group in stuck
        }
        for group in stuck:
            if now_s - self._stuck_since_by_group[group.number] < _patience_s(group.work):
                continue
            if group.number in batch.settled_groups or _starts_some(batch, group):
                continue
            target = self._choose(group.work, hints, now_s)
            if target is not None:
                self._give(batch, group, target, now_s)

    def _choose(self, work: TaskSpec, hints: list[ShardHint], now_s: float) -> ShardHint | None:
        open_hints = [
            hint
            for hint in hints
            if now_s - self._given_s_by_shard.get(hint.shard, float("-inf")) >= SAME_TARGET_PAUSE_S
        ]
        if not open_hints:
            return None
        return choose_target(work.size, open_hints, self._fitting_shards(work))

    def _give(self, batch: BatchBuilder, group: Group, target: ShardHint, now_s: float) -> None:
        self._count += 1
        chunk_id = f"{self._context.vm_id}-{self._shard}-{self._epoch}-{self._count}"
        most = min(GIVE_AWAY_TASKS, max(1, tasks_that_fit(group.work.size, target.free)))
        count = give_away(batch, group, target.shard, chunk_id, most)
        self._given_s_by_shard[target.shard] = now_s
        self._context.timeline.record(
            "tasks_given_away", group.work.job_id, tasks=count, shard=target.shard
        )

    def _fitting_shards(self, work: TaskSpec) -> set[int]:
        return {
            shard_of_rack(vm.rack, self._context.shard_count)
            for vm in self._context.vms()
            if vm.state == "live" and work.size.fits(vm.capacity)
        }


def _patience_s(work: TaskSpec) -> float:
    if work.service or work.urgent:
        return SERVICE_GIVE_AWAY_AFTER_S
    return GIVE_AWAY_AFTER_S


def _starts_some(batch: BatchBuilder, group: Group) -> bool:
    return any(getattr(record, "group", None) == group.number for record in batch.records)
