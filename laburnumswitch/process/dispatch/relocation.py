"""Which throttled filling runs are stopped, to resume on workers where they harm nobody.

Load pattern: a filling image turns out to hurt serving tasks only after its tasks have started.
They are throttled at once, and would finish late where they are.
"""

from collections.abc import Iterable
from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import ActiveRun
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.placing import HARM_LIMIT
from laburnumswitch.process.dispatch.placing import PlacementContext
from laburnumswitch.process.dispatch.placing import Ranking

# A run has to be slowed for so long, in seconds, before it moves: tails are rough figures.
SLOWED_LIMIT_S = 0.8
# A move costs a stop and a restore, about a second: what is nearly done stays.
NEARLY_DONE_PERCENT = 70.0
# Without checkpoints only a run that has done no more than this starts anew elsewhere.
LITTLE_DONE_PERCENT = 8.0
# Expected harm at the new place, as a share of what a new task may cause.
MOVE_HARM_SHARE = 0.5
# Runs moved in one pass: they all choose by the same state.
MOVES_PER_PASS = 6


class Move(NamedTuple):
    """A run to stop, and where it is expected to resume."""

    worker: Worker
    run: ActiveRun
    target: Worker


def choose_moves(workers: Iterable[Worker], context: PlacementContext, now_s: float) -> list[Move]:
    """Return the runs to move now, the longest slowed first."""
    workers = list(workers)
    slowed = [
        (run.slowed_s, index, worker, run)
        for index, worker in enumerate(workers)
        for run in worker.filling_runs()
        if _should_move(run, now_s)
    ]
    moves: list[Move] = []
    targets: set[str] = set()
    for _, _, worker, run in sorted(slowed, key=lambda each: each[:2]):
        if len(moves) >= MOVES_PER_PASS:
            break
        others = (each for each in workers if each is not worker and each.worker_id not in targets)
        choice = Ranking(run.step, others, context).best()
        if choice is None or choice.cost > MOVE_HARM_SHARE * HARM_LIMIT:
            continue
        targets.add(choice.worker.worker_id)
        moves.append(Move(worker, run, choice.worker))
    return moves


def _should_move(run: ActiveRun, now_s: float) -> bool:
    if run.slowed_s is None or now_s - run.slowed_s < SLOWED_LIMIT_S:
        return False
    if run.is_stopping or run.confirmed_s is None or run.step.gang:
        return False
    limit = NEARLY_DONE_PERCENT if run.step.checkpoints else LITTLE_DONE_PERCENT
    return run.percent <= limit
