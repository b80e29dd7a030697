"""One job of 20 can never be done; a job that needs a rare kind of worker must run all the same."""

import sys
from asyncio import sleep
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import run_case
from lab import TROUBLE

WORKERS = 34
RARE = "large"
RARE_COUNT = 4
HOPELESS = "6d1f8b32ea5c4709"
JOB = "5c0e7a21d94b36f8"


async def case(lab):
    routes = [lab.route("urgent", "/urgent/"), lab.route("plans", "/plans/", priority=2)]
    await lab.open(entries=3, workers=WORKERS - RARE_COUNT, routes=routes)
    await lab.add_workers(RARE_COUNT, kind=RARE, cpu=32000)
    await sleep(3)
    step = {"count": 1, "cpu": 2000, "memMb": 1000, "estimateMs": 640}
    for number in range(19):
        await lab.hand_in(f"{number:015x}a", [step], [{"ms": 640, "cpu": 2000}], prefix="/urgent/")
        await sleep(0.1)
    if TROUBLE:
        # No worker has this label.
        hopeless = {**step, "count": 6, "requires": "huge"}
        await lab.hand_in(HOPELESS, [hopeless], [{"ms": 640, "cpu": 2000}], prefix="/urgent/")
    await sleep(1)
    needy = {**step, "requires": RARE}
    await lab.hand_in(JOB, [needy], [{"ms": 640, "cpu": 2000}], prefix="/plans/")
    await sleep(30)
    state = await lab.state(JOB, prefix="/plans/")
    if not lab.starts_of(JOB):
        return [
            f"LOST: nothing of {JOB} ran in 30 s beside {RARE_COUNT} idle workers; it is {state}"
        ]
    return []


run_case(__file__, case)
