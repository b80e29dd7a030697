"""A worker goes down and up by turns, and jobs that could be done are shown as failed."""

import asyncio
import os
import sys
import time
from pathlib import Path
from random import Random

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab3 import Lab  # noqa: E402
from lab3 import ROUTE  # noqa: E402
from lab3 import run_case  # noqa: E402
from lab3 import Worker  # noqa: E402

ZONES = ["north", "south", "east"]
WORKERS = 12
ENTRIES = 3
JOBS_PER_S = 2.4
WARM_UP_S = 5.0
# ``srv_flap`` of the grown sites: a tenth of the workers, 1.4 s for down and up, 6.5 s long. One of
# twelve workers is less than a tenth.
PERIOD_S = 1.4
SPELL_S = 6.5
SPELLS = 9
FINISH_S = 14.0
SHORT_S = 0.64
LONG_S = 2.7


def make_job(random: Random) -> tuple[dict, float]:
    """Return a job like those of the sheet, and how long its tasks work."""
    if random.random() < 0.55:
        count = max(1, round(random.gauss(6, 3)))
        return {"spec": "check", "steps": [_step(count, 5800, 12000, SHORT_S)]}, SHORT_S
    counts = [max(1, round(random.gauss(8, 4))) for _ in range(2)]
    steps = [_step(count, 7000, 13000, LONG_S) for count in counts]
    steps[1]["after"] = [0]
    return {"spec": "plan", "steps": steps}, LONG_S


def _step(count: int, cpu: int, memory_mb: int, work_s: float) -> dict:
    return {"count": count, "cpu": cpu, "memMb": memory_mb, "estimateMs": round(work_s * 1000)}


async def send_jobs(lab: Lab, random: Random, work_s_by_id: dict, status_by_id: dict) -> None:
    """Hand in jobs until it is cancelled."""

    async def submit(job_id: str, job: dict) -> None:
        status_by_id[job_id] = await lab.submit(job_id, job, random.choice(lab.entries))

    pending = set()
    while True:
        await asyncio.sleep(random.expovariate(JOBS_PER_S))
        job_id = f"{random.getrandbits(64):016x}"
        job, work_s_by_id[job_id] = make_job(random)
        task = asyncio.create_task(submit(job_id, job))
        pending.add(task)
        task.add_done_callback(pending.discard)


async def flap(worker: Worker) -> None:
    """Have a worker go down and up by turns for one spell; it keeps its id."""
    until_s = time.monotonic() + SPELL_S
    while time.monotonic() < until_s:
        await worker.crash()
        await asyncio.sleep(PERIOD_S / 2)
        await worker.start()
        await asyncio.sleep(PERIOD_S / 2)


async def main(has_trouble: bool) -> bool:
    """Return whether no accepted job is shown as failed without a cause."""
    lab = Lab(FOLDER, ZONES, ENTRIES)
    random = Random(int(os.environ.get("SEED", "1")))
    work_s_by_id: dict[str, float] = {}
    status_by_id: dict[str, int] = {}
    failed_ends: dict[str, int] = {}

    def note_end(worker: Worker, task: str, run: int, how: str) -> None:
        if how == "failed":
            failed_ends[task] = failed_ends.get(task, 0) + 1

    lab.work_s = lambda task: work_s_by_id[task.partition(".")[0]]
    for number in range(WORKERS):
        lab.add_worker(number).note_end = note_end
    lab.publish(1, [ROUTE])
    try:
        await lab.start()
        sending = asyncio.create_task(send_jobs(lab, random, work_s_by_id, status_by_id))
        await asyncio.sleep(WARM_UP_S)
        for _ in range(SPELLS):
            if has_trouble:
                await flap(random.choice(lab.workers))
            else:
                await asyncio.sleep(SPELL_S)
        sending.cancel()
        await asyncio.sleep(FINISH_S)
        broken = []
        accepted = [job_id for job_id, status in status_by_id.items() if status == 200]
        for job_id in accepted:
            status, state = await lab.state(job_id)
            lab.record.note("client GET", job_id, "->", status, state)
            most = max([n for task, n in failed_ends.items() if task.startswith(job_id)], default=0)
            if state in ("failed", "cancelled") and most < ROUTE["maxAttempts"]:
                broken.append(job_id)
                lab.record.note("LOST:", job_id, "is shown as", state, "after", most, "failed ends")
        lab.note_log("task_suspected", given_up=True)
        print(f"{len(accepted)} jobs accepted, {len(broken)} shown as failed without cause")
        return not broken
    finally:
        await lab.stop()


run_case(main)
