"""Relocation of throttled best-effort runs to workers with less interference.

This handles the case that an image turns out to interfere with serving tasks only after its own
tasks have started. These are throttled immediately and would finish late on their workers.
"""

from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.process.dispatch.best_effort import FailedPlacements
from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.placing import Choice
from laburnumswitch.process.dispatch.placing import INTERFERENCE_LIMIT
from laburnumswitch.process.dispatch.placing import is_far_from_data
from laburnumswitch.process.dispatch.placing import PlacementContext
from laburnumswitch.process.dispatch.placing import Ranking
from laburnumswitch.process.dispatch.placing import workers_to_rank

# A run is moved only after it has been heavily throttled for this long, in seconds, since samples
# of tail latencies are noisy.
MIN_THROTTLED_S = 0.8
# A run with checkpoints is moved only up to this percentage of its work: a move costs a stop and a
# restore, about a second.
NEARLY_DONE_PERCENT = 70.0
# A run without checkpoints is moved only up to this percentage, since its task starts from the
# beginning.
LITTLE_DONE_PERCENT = 8.0
# Cost allowed at the new worker, as a share of ``INTERFERENCE_LIMIT`` for new tasks.
MOVE_INTERFERENCE_SHARE = 0.5
# Maximum number of runs moved in one pass. Their costs do not include each other, hence the limit.
MOVES_PER_PASS = 6


class Move(NamedTuple):
    """A run to stop, and the worker on which it is expected to resume."""

    worker: Worker
    run: ActiveRun
    target: Worker


def choose_moves(workers: Iterable[Worker], context: PlacementContext, now_s: float) -> list[Move]:
    """Return the runs to move now, those throttled for the longest time first."""
    workers = list(workers)
    throttled = [
        (run.throttled_since_s, index, worker, run)
        for index, worker in enumerate(workers)
        for run in worker.best_effort_runs()
        if _should_move(run, now_s)
    ]
    moves: list[Move] = []
    targets: set[str] = set()
    failed_placements = FailedPlacements()
    for _, index, worker, run in sorted(throttled, key=lambda each: each[:2]):
        if len(moves) >= MOVES_PER_PASS:
            break
        if failed_placements.rules_out(run.step):
            continue
        near = workers_to_rank(run.step, workers, index)
        others = (each for each in near if each is not worker and each.worker_id not in targets)
        choice = Ranking(run.step, others, context).best()
        if choice is None or not _is_worth_moving(run, choice):
            failed_placements.note(run.step)
            continue
        targets.add(choice.worker.worker_id)
        moves.append(Move(worker, run, choice.worker))
    return moves


def _is_worth_moving(run: ActiveRun, choice: Choice) -> bool:
    if is_far_from_data(run.step, choice.worker):
        return False
    return choice.own_cost <= MOVE_INTERFERENCE_SHARE * INTERFERENCE_LIMIT


def _should_move(run: ActiveRun, now_s: float) -> bool:
    if run.throttled_since_s is None or now_s - run.throttled_since_s < MIN_THROTTLED_S:
        return False
    if run.is_stopping or run.confirmed_s is None or run.step.gang:
        return False
    limit = NEARLY_DONE_PERCENT if run.step.checkpoints else LITTLE_DONE_PERCENT
    return run.progress_percent <= limit
