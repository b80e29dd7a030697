"""A cancelled job without steps ends the term of every later owner while it loads."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab2

TRAFFIC_S = 40.0
JOB_EVERY_S = 0.5
EMPTY_AT_S = 5.0
CANCEL_AT_S = 8.0
TERM_AT_S = 12.0


async def cancel(world, job):
    """Cancel a job, and repeat that until it is acknowledged."""
    for _ in range(20):
        entry = world.choose_entry()
        answer = await lab2.http_call(
            entry.front,
            "DELETE",
            lab2.PREFIX + job.job_id,
            headers=[f"Host: {lab2.HOST}", "X-Deadline-Ms: 3000"],
        )
        status = answer and answer[0]
        world.record.note("cancel", job=job.job_id, entry=entry.name, status=status)
        if status in (200, 410):
            return
        await asyncio.sleep(0.5)


def stop_owner(world):
    """Stop the owner as the platform does in a rolling restart: SIGTERM, and SIGKILL later."""
    term = world.store.value("leadership", "laburnumswitch", "term")
    owner = next(entry for entry in world.entries if entry.name == term[1])
    world.record.note("sigterm", entry=owner.name)
    process = owner.process
    process.terminate()
    asyncio.get_running_loop().call_later(6.0, process.kill)


async def scenario(world):
    began_s = time.monotonic()
    end_s = began_s + TRAFFIC_S
    steps = [{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 500}]
    following = []
    jobs = []

    async def submit():
        job = await world.submit(steps, lambda *_: (0.5, "done"))
        jobs.append(job)
        if job.accepted_s is not None:
            await world.follow(job, end_s + lab2.FINISH_S)

    async def submit_and_cancel():
        odd = await world.submit([] if lab2.has_trouble() else steps, lambda *_: (30.0, "done"))
        world.record.note("odd_job", job=odd.job_id, steps=len(odd.steps), status=odd.last_answer)
        await asyncio.sleep(CANCEL_AT_S - EMPTY_AT_S)
        await cancel(world, odd)

    due = [
        (EMPTY_AT_S, lambda: following.append(asyncio.create_task(submit_and_cancel()))),
        (TERM_AT_S, lambda: stop_owner(world)),
    ]
    while time.monotonic() < end_s:
        following.append(asyncio.create_task(submit()))
        while due and time.monotonic() - began_s > due[0][0]:
            due.pop(0)[1]()
        await asyncio.sleep(JOB_EVERY_S)
    await asyncio.sleep(max(0.0, end_s + lab2.FINISH_S - time.monotonic()))
    for task in following:
        task.cancel()
    accepted = [job for job in jobs if job.accepted_s is not None]
    shown = sum(job.state in lab2.FINAL for job in accepted)
    print(f"jobs: {len(jobs)} sent, {len(accepted)} accepted, {shown} shown as ended")
    unanswered, idle = await world.find_lost(accepted)
    if not unanswered and not idle:
        return []
    return [
        f"LOST: of {len(accepted)} accepted jobs, {len(idle)} have nothing running for 3 s and"
        f" {len(unanswered)} got no state, {lab2.FINISH_S:.0f} s after the end of the traffic"
    ]


lab2.run_case(scenario, Path(__file__).resolve().parent)
