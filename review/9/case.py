"""A cancellation is answered 410, and the job is stored and started after that."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab2

# ``platform_lost`` with "late" and ``give_up`` of the site, at the doses of its sheet.
LOST_AT_S = 5.0
LOST_S = 4.5
LOST_SHARE = 0.35
LEAVE_AFTER_S = 0.9
TRAFFIC_S = 15.0
JOB_EVERY_S = 0.25
CANCEL_S = 3.0
STOP_S = 0.4
CONTACT_S = 3.0
# After all cancellations are acknowledged and the store is calm, this long is left to the system.
CALM_S = 12.0


async def cancel(world, job):
    """Cancel a job, and return when that was acknowledged."""
    while True:
        entry = world.choose_entry()
        answer = await lab2.http_call(
            entry.front,
            "DELETE",
            lab2.PREFIX + job.job_id,
            headers=[f"Host: {lab2.HOST}", "X-Deadline-Ms: 3000"],
        )
        status = answer and answer[0]
        world.record.note("cancel", job=job.job_id, entry=entry.name, status=status)
        if status is not None and (200 <= status < 300 or status == 410):
            return status, time.monotonic()
        await asyncio.sleep(0.3)


async def scenario(world):
    began_s = time.monotonic()
    lost_end_s = began_s + LOST_AT_S + LOST_S
    step = {"count": 2, "cpu": 1000, "memMb": 500, "longRunning": True}
    cancelled = []
    accepted = []

    async def call():
        job_id = f"{random.randrange(16**16):016x}"
        job = lab2.Job(job_id, [step], lambda *_: (0.0, "done"), {})
        world.jobs[job_id] = job
        body = lab2.dump({"spec": "feed", "steps": [step]})
        entry = world.choose_entry()
        world.record.note("send", method="POST", job=job_id, entry=entry.name)
        headers = [f"Host: {lab2.HOST}", "X-Deadline-Ms: 3000"]
        target = lab2.PREFIX + job_id
        answer = await lab2.http_call(entry.front, "POST", target, body, headers, LEAVE_AFTER_S)
        world.record.note("answer", method="POST", job=job_id, status=answer and answer[0])
        if answer and 200 <= answer[0] < 300:
            job.accepted_s = time.monotonic()
            accepted.append(job)
            # A caller that got its answer cancels later.
            await asyncio.sleep(1.0)
        cancelled.append((job, *await cancel(world, job)))

    calls = []
    while time.monotonic() - began_s < TRAFFIC_S:
        is_lossy = began_s + LOST_AT_S <= time.monotonic() < lost_end_s
        world.store.lost_share = LOST_SHARE if is_lossy and lab2.has_trouble() else 0.0
        calls.append(asyncio.create_task(call()))
        await asyncio.sleep(JOB_EVERY_S)
    await asyncio.gather(*calls)
    await asyncio.sleep(CALM_S)
    running = {task.split(".")[0] for worker in world.workers for task in worker.running}
    late_starts = []
    for job, status, acked_s in cancelled:
        for at_s, what, task, *_ in world.runs:
            is_late = at_s > max(acked_s + CANCEL_S, lost_end_s + CONTACT_S)
            if what == "start" and job.job_id in task and is_late:
                late_starts.append((job.job_id, status, round(at_s - acked_s, 2)))
    running_on = [
        (job.job_id, status, round(time.monotonic() - acked_s, 1))
        for job, status, acked_s in cancelled
        if job.job_id in running
        and time.monotonic() > max(acked_s, lost_end_s + CONTACT_S) + CANCEL_S + STOP_S
    ]
    by_status = {}
    for _, status, _ in cancelled:
        by_status[status] = by_status.get(status, 0) + 1
    print(f"jobs: {len(cancelled)} sent, {len(accepted)} accepted; cancellations: {by_status}")
    print(f"writes whose answer was lost: {world.store.lost_count}")
    broken = []
    if late_starts:
        broken.append(
            f"UNASKED: {len(late_starts)} tasks started over {CANCEL_S:.0f} s after the"
            f" cancellation was acknowledged (job, status, s after), with a calm store:"
            f" {late_starts[:4]}"
        )
    if running_on:
        broken.append(
            f"UNASKED: {len(running_on)} cancelled jobs still run, long after any disruption"
            f" (job, status of the cancellation, s since): {running_on[:4]}"
        )
    return broken


lab2.run_case(scenario, Path(__file__).resolve().parent)
