"""A worker crashes just after lasting tasks started there; most of them stay down."""

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
WORKERS = 8
ENTRIES = 3
JOBS = 10
STEP = {"count": 6, "cpu": 500, "memMb": 256, "longRunning": True}
# ``srv_crash`` of the site file: 0.14 of the workers, 4.5 s long. One of eight is less.
DOWN_S = 4.5
WATCH_S = 40.0
# The rule counts from 6 s after the last run, then 3 s; and these 3 s and the 4 s before them have
# to be calm, so that nothing counts sooner than this after the worker is back.
LONGEST_S = 6.0 + 3.0
CALM_S = 4.0 + 3.0


async def main(has_trouble: bool) -> bool:
    """Return whether each lasting task runs again in time after the crash of its worker."""
    lab = Lab(FOLDER, ZONES, ENTRIES)
    random = Random(int(os.environ.get("SEED", "1")))
    down_s: dict[str, float] = {}
    gaps: list[tuple[float, str]] = []

    def note_start(worker: Worker, task: str, run: int) -> None:
        if task in down_s:
            gaps.append((time.monotonic() - down_s.pop(task), task))

    for number in range(WORKERS):
        lab.add_worker(number).note_start = note_start
    lab.publish(1, [ROUTE])
    try:
        await lab.start()
        submissions = [
            lab.submit(
                f"{random.getrandbits(64):016x}",
                {"spec": "feed", "steps": [STEP]},
                random.choice(lab.entries),
            )
            for _ in range(JOBS)
        ]
        accepted = sum(status == 200 for status in await asyncio.gather(*submissions))
        await asyncio.sleep(0.8)
        busiest = max(lab.workers, key=lambda worker: len(worker.runs))
        lab.record.note("runs by worker:", [len(worker.runs) for worker in lab.workers])
        back_s = time.monotonic()
        if has_trouble:
            down_s.update((task, back_s) for task in busiest.runs)
            await busiest.crash()
            await asyncio.sleep(DOWN_S)
            await busiest.start()
            back_s = time.monotonic()
        crashed = len(down_s) + len(gaps)
        await asyncio.sleep(WATCH_S)
        now_s = time.monotonic()
        gaps += [(now_s - at_s, task) for task, at_s in down_s.items()]
        crash_s = back_s - (DOWN_S if has_trouble else 0.0)
        limit_s = max(LONGEST_S, back_s - crash_s + CALM_S)
        late = [(gap_s, task) for gap_s, task in gaps if gap_s > limit_s]
        for gap_s, task in sorted(late):
            lab.record.note(f"LOST: {task} did not run for {gap_s:.1f} s, with room for it")
        lab.record.note("runs by worker:", [len(worker.runs) for worker in lab.workers])
        longest = max(gaps, default=(0.0, ""))[0]
        print(f"{accepted} jobs accepted, {crashed} tasks ended with their worker")
        print(f"{len(late)} of them were down for over {limit_s:.1f} s, at most {longest:.1f} s")
        return not late
    finally:
        await lab.stop()


run_case(main)
