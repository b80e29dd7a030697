"""Command line of the soak test: runs seeds and prints the result of each."""

import sys
from pathlib import Path
from random import Random
from signal import signal
from signal import SIGTERM
from tempfile import mkdtemp
from time import monotonic
from time import time
from typing import NamedTuple

import click
from gevent import Greenlet
from gevent import joinall
from gevent import killall
from gevent import sleep
from gevent import spawn

from laburnumswitch.process.dispatch.jobs import JobState
from soak.callers import Callers
from soak.callers import GONE
from soak.callers import submit_jobs
from soak.cluster import Cluster
from soak.entries import are_ready
from soak.faults import choose_faults
from soak.faults import FAULTS
from soak.faults import inject_faults
from soak.faults import NAMED_FAULTS
from soak.odd_callers import OddCallers
from soak.owners_cut_off import play_cuts
from soak.owners_in_series import draw_mix
from soak.owners_in_series import play_series
from soak.owners_in_series import Series
from soak.routes import call_routes
from soak.routes import change_routes
from soak.zones import ZoneLinks
from standin.fleet.invariant_checker import Violation

# Time for the entries to start and to reach the workers, and how long they may take on a busy
# machine until they are ready.
STARTUP_S = 3.0
MAX_STARTUP_S = 15.0
READY_POLL_S = 0.1
# Accepted jobs must end within this time after the last fault. The longest wait for a previous
# owner and its leases is 14 s; the rest is for the work itself.
COMPLETION_TIMEOUT_S = 40.0
CALLER_COUNT = 4
CALL_PAUSE_S = 0.2
CONCURRENT_FAULTS = 3
# Of the seeds with a series: the other jobs leave room for those of the series.
WORKERS_PER_LONG_RUNNING_JOB = 2
SERIES_CALL_PAUSE_S = 1.5
LONG_RUNNING_START_S = 3.0
# Observation of the long-running tasks after the series: a run whose lease nobody renews ends in
# the first time, and all tasks have to run again within the second one.
MIN_OBSERVATION_S = 6.0
MAX_OBSERVATION_S = 12.0


class SeedResult(NamedTuple):
    """Result of one seed; ``violations`` are the violations of guarantees to callers."""

    seed: int
    accepted: int
    starts: int
    faults: list[str]
    violations: list[Violation]
    longest_down_s: float = 0.0


def run_seed(
    seed: int,
    seconds: float,
    entries: int,
    workers: int,
    first_port: int,
    folder: Path,
    fault_names: tuple[str, ...] = (),
    ends_owners: bool = False,
    cuts_off_owners: bool = False,
) -> SeedResult:
    """Run one seed and return its result; only the named faults are injected, if any.

    :param ends_owners: whether owners end in series, while workers leave, in place of other faults.
    :param cuts_off_owners: whether owners are cut off with their zone, in place of other faults.
    """
    random = Random(seed)
    series_random = Random(f"{seed} series")
    mix = draw_mix(series_random) if ends_owners else None
    # The links to the list of VMs are not cut with a zone.
    has_vm_list = mix.has_vm_list if mix else not cuts_off_owners
    links = ZoneLinks() if cuts_off_owners else None
    cluster = Cluster(folder, entries, workers, first_port, random, has_vm_list, links)
    faults = [mix.describe()] if mix else []
    series = Series(cluster, series_random, faults)
    greenlets: list[Greenlet] = []
    try:
        cluster.start()
        _await_startup(cluster)
        fronts = tuple(entry.config.front_address for entry in cluster.entries)
        callers = Callers(random, fronts, cluster.checker, cluster.keys)
        if mix:
            _start_long_running(cluster, callers, series.random)
        odd_callers = OddCallers(Random(f"{seed} odd"), fronts, cluster)
        end_s = monotonic() + seconds

        def is_over() -> bool:
            return monotonic() > end_s

        pause_s = SERIES_CALL_PAUSE_S if mix or cuts_off_owners else CALL_PAUSE_S
        greenlets += [spawn(submit_jobs, callers, pause_s, is_over) for _ in range(CALLER_COUNT)]
        route_random = Random(f"{seed} routes")
        greenlets.append(spawn(change_routes, cluster.routes, route_random, is_over))
        greenlets.append(spawn(call_routes, cluster.routes, fronts, route_random, is_over))
        if mix:
            greenlets.append(spawn(play_series, series, mix, is_over))
            greenlets += [spawn(callers.poll_long_running, front, is_over) for front in fronts]
        elif cuts_off_owners:
            greenlets.append(spawn(play_cuts, series, callers, is_over))
        else:
            greenlets.append(spawn(odd_callers.run, is_over))
            for number in range(CONCURRENT_FAULTS):
                fault_random = Random(seed * 1000 + number)
                chosen = choose_faults(fault_names)
                arguments = (cluster, fault_random, chosen, is_over, faults)
                greenlets.append(spawn(inject_faults, *arguments))
        joinall(greenlets, raise_error=True)
        cluster.end_faults()
        ended_s = monotonic()
        _await_completion(cluster, callers)
        if mix:
            _observe_long_running(cluster, callers, ended_s)
        odd_callers.check()
        cluster.check_down_times(callers.long_running, series.troubles)
        starts = cluster.check_runs()
        return SeedResult(
            seed,
            len(callers.accepted),
            starts,
            faults,
            cluster.checker.violations,
            cluster.longest_down_s,
        )
    finally:
        # A run that is interrupted: no fault may start an entry again.
        killall(greenlets)
        series.stop()
        cluster.stop()


def _await_startup(cluster: Cluster) -> None:
    began_s = monotonic()
    sleep(STARTUP_S)
    while not are_ready(cluster.entries) and monotonic() - began_s < MAX_STARTUP_S:
        sleep(READY_POLL_S)


def _observe_long_running(cluster: Cluster, callers: Callers, ended_s: float) -> None:
    """Wait until all long-running tasks run again, or should; their jobs must still be known."""
    sleep(max(0.0, ended_s + MIN_OBSERVATION_S - monotonic()))
    while monotonic() < ended_s + MAX_OBSERVATION_S:
        if not cluster.count_down(callers.long_running):
            break
        sleep(0.2)
    for job_id in sorted(callers.long_running):
        state = callers.read_state(job_id)
        if state in (GONE, JobState.FAILED, JobState.CANCELLED, JobState.COMPLETED):
            cluster.checker.record_lost_job(monotonic(), job_id, state)


def _start_long_running(cluster: Cluster, callers: Callers, random: Random) -> None:
    """Submit the long-running jobs, and leave their tasks time to start.

    That not all of them are accepted is a violation, as a run without them would show nothing.
    """
    job_count = len(cluster.workers) // WORKERS_PER_LONG_RUNNING_JOB
    for _ in range(job_count):
        callers.submit_long_running(random)
    sleep(LONG_RUNNING_START_S)
    if len(callers.long_running) < job_count:
        details = f"{len(callers.long_running)} of {job_count} accepted before the series"
        cluster.checker.violations.append(Violation(monotonic(), "soak", "long-running", details))


def _await_completion(cluster: Cluster, callers: Callers) -> None:
    """Wait for the accepted jobs and report those that do not complete as lost."""
    pending_ids = set(callers.accepted - callers.cancelled)
    state_by_id: dict[str, str] = {}
    end_s = monotonic() + COMPLETION_TIMEOUT_S
    while pending_ids and monotonic() < end_s:
        for job_id in sorted(pending_ids):
            state = state_by_id[job_id] = callers.read_state(job_id)
            if state == JobState.COMPLETED:
                cluster.record_completed(job_id)
                pending_ids.discard(job_id)
            elif state == JobState.FAILED:
                # Legitimate: a worker that fails all its runs may use up a job's attempts.
                pending_ids.discard(job_id)
        sleep(0.2)
    for job_id in sorted(pending_ids):
        cluster.checker.record_lost_job(monotonic(), job_id, state_by_id.get(job_id, "never asked"))


def _exit_on_signal(number: int, frame: object) -> None:
    sys.exit(128 + number)


def _write_summary(folder: Path, result: SeedResult) -> None:
    """Write the faults and the violations, with the difference between the clocks of the logs."""
    offset_s = time() - monotonic()
    lines = [f"Unix time is CLOCK_MONOTONIC, as in the records of workers, plus {offset_s:.3f} s"]
    lines += result.faults
    lines += [
        f"{violation.at_s + offset_s:.3f} {violation.guarantee} {violation.subject}: "
        f"{violation.details}"
        for violation in result.violations
    ]
    (folder / "summary.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Time of each seed with faults.")
@click.option("--entries", default=4, show_default=True)
@click.option("--workers", default=24, show_default=True)
@click.option("--first-port", default=21_000, show_default=True)
@click.option("--folder", default="", help="Folder for the logs; a new temporary one by default.")
@click.option(
    "--fault",
    "fault_names",
    multiple=True,
    type=click.Choice([fault.__name__ for fault in (*FAULTS, *NAMED_FAULTS)]),
    help="Inject only this fault; may be repeated. All but misbehaving clients by default.",
)
@click.option(
    "--owners-cut-off",
    "cuts_off_owners",
    is_flag=True,
    help="Cut off one owner after the other with its availability zone, in place of other faults.",
)
@click.option(
    "--owners-in-series",
    "ends_owners",
    is_flag=True,
    help="End one owner after the other while workers leave or end, in place of other faults.",
)
def main(
    seed: int,
    count: int,
    seconds: float,
    entries: int,
    workers: int,
    first_port: int,
    folder: str,
    fault_names: tuple[str, ...],
    ends_owners: bool,
    cuts_off_owners: bool,
) -> None:
    """Run the soak and exit with 1 where a promise was broken."""
    # Without a handler, SIGTERM would leave the processes of the run behind.
    signal(SIGTERM, _exit_on_signal)
    root = Path(folder or mkdtemp(prefix="soak-"))
    failed_seeds = 0
    for number in range(seed, seed + count):
        seed_folder = root / str(number)
        seed_folder.mkdir(parents=True, exist_ok=True)
        result = run_seed(
            number,
            seconds,
            entries,
            workers,
            first_port,
            seed_folder,
            fault_names,
            ends_owners,
            cuts_off_owners,
        )
        outcome = "BROKEN" if result.violations else "kept"
        down = f"down for {result.longest_down_s:.1f} s at most, " if ends_owners else ""
        click.echo(
            f"seed {number}: {outcome}, {result.accepted} jobs accepted, {result.starts} starts, "
            f"{down}{len(result.faults)} faults; logs in {seed_folder}"
        )
        for violation in result.violations[:8]:
            click.echo(f"  {violation.guarantee} {violation.subject}: {violation.details}")
        _write_summary(seed_folder, result)
        failed_seeds += bool(result.violations)
    sys.exit(1 if failed_seeds else 0)


main()
