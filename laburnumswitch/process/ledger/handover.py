"""Transfer of pending tasks to another shard when no worker of this shard has capacity."""

from laburnumswitch.process.ledger.batch_builder import BatchBuilder
from laburnumswitch.process.ledger.inbox import choose_target
from laburnumswitch.process.ledger.inbox import count_fitting_tasks
from laburnumswitch.process.ledger.inbox import hand_over_tasks
from laburnumswitch.process.ledger.inbox import MAX_HANDOVER_TASKS
from laburnumswitch.process.ledger.ledger import TaskGroup
from laburnumswitch.process.ledger.ownership import shard_of_rack
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.workers.task_spec import TaskSpec

# How long a group must have been unplaced before it is handed over.
HANDOVER_AFTER_S = 1.0
# The same for urgent jobs and services.
URGENT_HANDOVER_AFTER_S = 0.25
# Minimum time between two chunks sent to the same shard.
SAME_TARGET_COOLDOWN_S = 3.0


class Handover:
    """Tracks groups that fit on no worker of this shard, and recent targets of handovers."""

    def __init__(self, context: SchedulerContext, shard: int, epoch: int) -> None:
        self._context = context
        self._epoch = epoch
        self._shard = shard
        self._unplaced_since_by_group: dict[int, float] = {}
        self._handed_over_s_by_shard: dict[int, float] = {}
        self._chunk_count = 0

    def add_handovers(
        self, batch: BatchBuilder, unplaced: list[TaskGroup], hints: list[ShardHint], now_s: float
    ) -> None:
        """Add the handover of groups that have been unplaced for a while to the batch.

        A shard receives at most one chunk per ``SAME_TARGET_COOLDOWN_S``, because its hint does
        not yet reflect the tasks handed over before.
        """
        self._unplaced_since_by_group = {
            group.number: self._unplaced_since_by_group.get(group.number, now_s)
            for group in unplaced
        }
        for group in unplaced:
            if now_s - self._unplaced_since_by_group[group.number] < _handover_delay_s(
                group.task_spec
            ):
                continue
            if group.number in batch.unstartable_groups or _batch_changes_group(batch, group):
                continue
            target = self._choose_target(group.task_spec, hints, now_s)
            if target is not None:
                self._hand_over(batch, group, target, now_s)

    def _choose_target(
        self, task_spec: TaskSpec, hints: list[ShardHint], now_s: float
    ) -> ShardHint | None:
        eligible_hints = [
            hint
            for hint in hints
            if now_s - self._handed_over_s_by_shard.get(hint.shard, float("-inf"))
            >= SAME_TARGET_COOLDOWN_S
        ]
        if not eligible_hints:
            return None
        return choose_target(task_spec.size, eligible_hints, self._fitting_shards(task_spec))

    def _hand_over(
        self, batch: BatchBuilder, group: TaskGroup, target: ShardHint, now_s: float
    ) -> None:
        self._chunk_count += 1
        chunk_id = f"{self._context.vm_id}-{self._shard}-{self._epoch}-{self._chunk_count}"
        max_tasks = min(
            MAX_HANDOVER_TASKS, max(1, count_fitting_tasks(group.task_spec.size, target.free))
        )
        count = hand_over_tasks(batch, group, target.shard, chunk_id, max_tasks)
        self._handed_over_s_by_shard[target.shard] = now_s
        self._context.timeline.record(
            "tasks_given_away", group.task_spec.job_id, tasks=count, shard=target.shard
        )

    def _fitting_shards(self, task_spec: TaskSpec) -> set[int]:
        return {
            shard_of_rack(vm.rack, self._context.shard_count)
            for vm in self._context.vms()
            if vm.state == "live" and task_spec.size.fits(vm.capacity)
        }


def _handover_delay_s(task_spec: TaskSpec) -> float:
    if task_spec.service or task_spec.urgent:
        return URGENT_HANDOVER_AFTER_S
    return HANDOVER_AFTER_S


def _batch_changes_group(batch: BatchBuilder, group: TaskGroup) -> bool:
    return any(getattr(record, "group", None) == group.number for record in batch.records)
