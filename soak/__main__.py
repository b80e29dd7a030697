"""Runs seeds of the soak, and prints a verdict for each."""

import sys
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from time import monotonic
from typing import NamedTuple

import click
from gevent import joinall
from gevent import sleep
from gevent import spawn

from laburnumswitch.process.dispatch.jobs import JobState
from soak.callers import Callers
from soak.callers import keep_calling
from soak.cluster import Cluster
from soak.faults import inject
from standin.fleet.invariant_checker import Violation

# Entries need this long, in seconds, to start and to reach the workers.
START_S = 3.0
# Accepted jobs end within this time, in seconds, once nothing is wrong any more: the longest wait
# for an earlier owner and its leases is 14 s, and the work itself takes some more.
FINISH_S = 40.0
CALLERS = 4
CALL_PAUSE_S = 0.1
OVERLAPPING_FAULTS = 3


class Verdict(NamedTuple):
    """What one seed showed."""

    seed: int
    accepted: int
    starts: int
    faults: list[str]
    breaches: list[Violation]


def run_seed(
    seed: int, seconds: float, entries: int, workers: int, first_port: int, folder: Path
) -> Verdict:
    """Run one seed and judge it."""
    random = Random(seed)
    cluster = Cluster(folder, entries, workers, first_port, random)
    faults: list[str] = []
    try:
        cluster.start()
        sleep(START_S)
        fronts = tuple(entry.place.front for entry in cluster.entries)
        callers = Callers(random, fronts, cluster.judge)
        end_s = monotonic() + seconds

        def is_over() -> bool:
            return monotonic() > end_s

        tasks = [spawn(keep_calling, callers, CALL_PAUSE_S, is_over) for _ in range(CALLERS)]
        for number in range(OVERLAPPING_FAULTS):
            fault_random = Random(seed * 1000 + number)
            tasks.append(spawn(inject, cluster, fault_random, is_over, faults))
        joinall(tasks)
        cluster.heal()
        _finish(cluster, callers)
        return Verdict(
            seed, len(callers.accepted), cluster.judge.start_count, faults, cluster.judge.violations
        )
    finally:
        cluster.stop()


def _finish(cluster: Cluster, callers: Callers) -> None:
    """Wait for the accepted jobs, and judge how they ended."""
    open_ids = set(callers.accepted - callers.cancelled)
    state_by_id: dict[str, str] = {}
    end_s = monotonic() + FINISH_S
    while open_ids and monotonic() < end_s:
        for job_id in sorted(open_ids):
            state = state_by_id[job_id] = callers.state(job_id)
            if state == JobState.COMPLETED:
                cluster.judge.check_completed(monotonic(), job_id)
                open_ids.discard(job_id)
            elif state == JobState.FAILED:
                # Workers that fail everything may use up a job's attempts.
                open_ids.discard(job_id)
        sleep(0.2)
    for job_id in sorted(open_ids):
        cluster.judge.record_lost_job(monotonic(), job_id, state_by_id.get(job_id, "never asked"))


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Time of each seed with faults.")
@click.option("--entries", default=4, show_default=True)
@click.option("--workers", default=8, show_default=True)
@click.option("--first-port", default=21_000, show_default=True)
@click.option("--folder", default="", help="Where logs are kept; a new one without it.")
def main(
    seed: int, count: int, seconds: float, entries: int, workers: int, first_port: int, folder: str
) -> None:
    """Run the soak and exit with 1 where a promise was broken."""
    root = Path(folder or mkdtemp(prefix="soak-"))
    broken = 0
    for number in range(seed, seed + count):
        place = root / str(number)
        place.mkdir(parents=True, exist_ok=True)
        verdict = run_seed(number, seconds, entries, workers, first_port, place)
        outcome = "BROKEN" if verdict.breaches else "kept"
        click.echo(
            f"seed {number}: {outcome}, {verdict.accepted} jobs accepted, {verdict.starts} starts, "
            f"{len(verdict.faults)} faults; logs in {place}"
        )
        for breach in verdict.breaches[:8]:
            click.echo(f"  {breach.guarantee} {breach.subject}: {breach.details}")
        broken += bool(verdict.breaches)
    sys.exit(1 if broken else 0)


main()
