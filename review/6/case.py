"""A schedule of one year, one occurrence a minute, ends every entry that becomes the owner."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab2

TRAFFIC_S = 40.0
PAUSE_S = 0.5
# One occurrence a minute for a year.
MINUTES = 365 * 24 * 60
OWN_ENDS = 3
MACHINES = 2


async def scenario(world):
    began_s = time.monotonic()
    end_s = began_s + TRAFFIC_S
    steps = [{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 500}]
    following = []
    jobs = []

    async def submit_small():
        job = await world.submit(steps, lambda *_: (0.5, "done"))
        jobs.append(job)
        if job.accepted_s is not None:
            await world.follow(job, end_s + lab2.FINISH_S)

    scheduled = None
    while time.monotonic() < end_s:
        following.append(asyncio.create_task(submit_small()))
        if scheduled is None and time.monotonic() - began_s > 5.0:
            times = MINUTES if lab2.has_trouble() else 60
            scheduled = await world.submit(
                steps,
                lambda *_: (0.5, "done"),
                times=times,
                firstRunMs=int((time.time() + 60) * 1000),
                intervalMs=60_000,
            )
            world.record.note("schedule", job=scheduled.job_id, times=times)
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(max(0.0, end_s + lab2.FINISH_S - time.monotonic()))
    for task in following:
        task.cancel()
    broken = []
    accepted = [job for job in jobs if job.accepted_s is not None]
    unanswered, idle = await world.find_lost(accepted)
    if unanswered or idle:
        broken.append(
            f"LOST: of {len(accepted)} accepted jobs, {len(idle)} have nothing running for 3 s and"
            f" {len(unanswered)} got no state, {lab2.FINISH_S:.0f} s after the end of the traffic"
        )
    ends_by_entry = {
        entry.name: len(entry.memory_ends) + len(entry.own_ends) for entry in world.entries
    }
    peaks = {entry.name: round(entry.peak_mb) for entry in world.entries}
    print("processes that ended by themselves or over the memory limit:", ends_by_entry)
    print("peak resident MB:", peaks)
    done = sum(job.state in lab2.FINAL for job in accepted)
    print(f"small jobs: {len(jobs)} sent, {len(accepted)} accepted, {done} shown as ended")
    if sum(count >= OWN_ENDS for count in ends_by_entry.values()) >= MACHINES:
        broken.append(f"Fault: processes ended {OWN_ENDS} times or more on {MACHINES} machines")
    return broken


lab2.run_case(scenario, Path(__file__).resolve().parent)
