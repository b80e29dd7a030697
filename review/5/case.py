"""Workers are lost for good; the workers that advice allows are beyond the first 30 left."""

import sys
from asyncio import sleep
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import run_case
from lab import TROUBLE

JOB = "5c0e7a21d94b36f8"
WORKERS = 40
# The policy allows ten of the 40 machines: the five that are lost, and the last five.
LOST = range(5)
KEPT = range(35, 40)


async def case(lab):
    advice = {"decideMs": 20, "eachMs": 1, "validMs": 4000}
    lab.good_machines = {f"m{number:02d}" for number in (*LOST, *KEPT)}
    await lab.open(entries=3, workers=WORKERS, routes=[lab.route(advice=advice)])
    await sleep(3)
    if TROUBLE:
        for number in LOST:
            lab.workers[number].is_lost = True
            lab.workers[number].crash()
        # Their entries expire and the system can note their loss.
        await sleep(8)
    step = {"count": 2, "cpu": 2000, "memMb": 1000, "estimateMs": 1000}
    await lab.hand_in(JOB, [step], [{"ms": 1000, "cpu": 2000}])
    await sleep(30)
    state = await lab.state(JOB)
    if state != "completed" and not lab.starts_of(JOB):
        return [f"LOST: nothing of {JOB} ran in 30 s beside 35 idle workers; it is {state}"]
    return []


run_case(__file__, case)
