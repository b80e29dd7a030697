"""Measures the whole system on real sockets under batch work and faults.

Each seed is one run of the demonstration cluster through the same phases: callers alone, batch work
beside them, a zone out and in, an entry killed, the store down, and recovery.
"""

import os
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic
from typing import NamedTuple

import click
from gevent import sleep
from msgspec.json import encode
from msgspec.json import format as format_json

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.rows.table import scan_all
from laburnumswitch.process.rows.table import TableClient
from scripts.cluster import Cluster
from scripts.demo import EXAMPLES
from scripts.fault_figures import AnswerStatistics
from scripts.fault_figures import count_ends
from scripts.fault_figures import first_start_after
from scripts.fault_figures import join_attempts
from scripts.fault_figures import running_cpu_millis
from scripts.fault_figures import summarize_answers
from scripts.fault_figures import Window
from scripts.launcher import Launcher
from scripts.probe import ConfigurationProbe
from scripts.profiles import Profile
from scripts.profiles import PROFILE_BY_NAME
from scripts.publication import Publication
from scripts.steps import DemoContext
from scripts.steps import make_sources
from scripts.steps import start_cluster
from scripts.steps import stop_all_entries
from standin.records import read_records
from standin.records import Record
from standin.records import RunStarted

PAGE = Path("docs/MEASUREMENTS-faults.md")
PHASE_S = 12.0
RECOVERY_S = 10.0
TAKEOVER_TIMEOUT_S = 15.0
HEAD_POLL_INTERVAL_S = 0.02
JOBS_FILE = "jobs.laburnumswitch.yaml"
BATCH_DECLARATION = """\
kind: job
name: measured-batch
team: demo
command: [measured-batch]
cpu: 1
memory: 2GB
tasks: {tasks}
run_time: 4s
checkpointable: true
retries: 3
"""
BATCH_CPU_SHARE = 0.5
BATCH_ROUNDS = 24
EVICTED = "evicted"
METHODS = ("GET", "POST")


class Takeover(NamedTuple):
    """Seconds from killing an entry until all its shards had another owner."""

    shards: int
    seconds: float


class FaultRun(NamedTuple):
    """Figures of one seed; ``answers`` is keyed by phase and method."""

    seed: int
    answers: dict[str, dict[str, AnswerStatistics]]
    takeover: Takeover
    start_after_kill_s: float
    start_after_outage_s: float
    evicted_with_zone: int
    batch_millis_by_phase: dict[str, int]


class Phases:
    """Time windows of the phases of one run, in order."""

    def __init__(self) -> None:
        self.by_name: dict[str, Window] = {}

    def run(self, name: str, duration_s: float, begin: Callable[[], None] = lambda: None) -> None:
        """Call ``begin`` and wait until the phase has lasted ``duration_s``."""
        began_s = monotonic()
        begin()
        sleep(max(0.0, began_s + duration_s - monotonic()))
        self.by_name[name] = Window(name, began_s, monotonic())


@click.command()
@click.option("--profile", type=click.Choice(sorted(PROFILE_BY_NAME)), default="boutik")
@click.option("--seeds", default=5, show_default=True, help="How many runs.")
@click.option("--outage", "outage_s", default=20.0, show_default=True, help="Seconds.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False), default="out/faults.json")
def main(profile: str, seeds: int, outage_s: float, json_file: str) -> None:
    """Run every seed, and write the figures and the page."""
    runs = []
    for seed in range(1, seeds + 1):
        runs.append(measure(PROFILE_BY_NAME[profile], seed, outage_s))
        click.echo(f"seed {seed}: {runs[-1]}")
    os.makedirs(os.path.dirname(json_file) or ".", exist_ok=True)
    Path(json_file).write_bytes(format_json(encode(runs)) + b"\n")
    PAGE.write_text(render(profile, outage_s, runs), encoding="utf-8")


def measure(profile: Profile, seed: int, outage_s: float) -> FaultRun:
    """Run all phases with one seed and return the figures."""
    with TemporaryDirectory(prefix="laburnumswitch-") as directory, Launcher(directory) as launcher:
        cluster = Cluster(launcher, profile, seed)
        publication = Publication(directory, os.path.join(EXAMPLES, profile.name))
        remove_jobs(publication.directory)
        probe = ConfigurationProbe(cluster.record)
        context = DemoContext(cluster, publication, probe, Random(seed), lambda text: None)
        start_cluster(context)
        phases = Phases()
        takeover = run_phases(context, phases, outage_s)
        cluster.set_load([])
        stop_all_entries(context)
        records = read_records(cluster.record_paths())
    return compute_figures(seed, records, phases, takeover)


def run_phases(context: DemoContext, phases: Phases, outage_s: float) -> Takeover:
    """Apply load and faults, one phase after the other."""
    cluster = context.cluster
    cluster.set_load(make_sources(context.publication.read(), cluster.profile))
    sleep(RECOVERY_S / 2)
    phases.run("callers alone", PHASE_S)
    publish_batch(context)
    sleep(RECOVERY_S / 2)
    phases.run("beside batch", PHASE_S)
    zone = cluster.profile.zones[0]
    phases.run("zone out", PHASE_S, lambda: cluster.run_command("zone", "out", zone))
    phases.run("zone returns", RECOVERY_S, lambda: cluster.run_command("zone", "in", zone))
    phases.run("zone back", PHASE_S)
    takeovers: list[Takeover] = []
    phases.run("entry killed", PHASE_S, lambda: takeovers.append(kill_largest_owner(cluster)))
    phases.run("store down", outage_s, lambda: cluster.set_platform_faults(down=True))
    phases.run("store back", RECOVERY_S, lambda: cluster.set_platform_faults(down=False))
    phases.run("after", PHASE_S)
    return takeovers[0]


def publish_batch(context: DemoContext) -> None:
    """Publish batch work that can fill half of the CPUs for the rest of the run."""
    profile = context.cluster.profile
    workers = sum(rack.count for rack in profile.racks)
    slots = int(workers * profile.capacity.cpu_millis / 1000 * BATCH_CPU_SHARE)
    path = os.path.join(context.publication.directory, JOBS_FILE)
    Path(path).write_text(BATCH_DECLARATION.format(tasks=slots * BATCH_ROUNDS), encoding="utf-8")
    context.cluster.run_command("publish", context.publication.directory, "--yes")


def remove_jobs(directory: str) -> None:
    """Remove the jobs from a publication, leaving services and teams."""
    for path in Path(directory).rglob("*.yaml"):
        documents = path.read_text(encoding="utf-8").split("\n---\n")
        kept = [document for document in documents if "kind: job" not in document]
        if kept:
            path.write_text("\n---\n".join(kept), encoding="utf-8")
        else:
            path.unlink()


def kill_largest_owner(cluster: Cluster) -> Takeover:
    """Kill the entry that owns the most shards and wait until each has another owner."""
    owners = owner_by_head(cluster)
    counted = sorted(owners.values())
    victim = max(counted, key=counted.count)
    began_s = monotonic()
    cluster.kill_process(victim)
    while monotonic() - began_s < TAKEOVER_TIMEOUT_S:
        if victim not in owner_by_head(cluster).values():
            break
        sleep(HEAD_POLL_INTERVAL_S)
    return Takeover(counted.count(victim), monotonic() - began_s)


def owner_by_head(cluster: Cluster) -> dict[str, str]:
    """Return the owner stored in each shard's head row."""
    rows = scan_all(TableClient(Client(cluster.platform_address)), "head/")
    if isinstance(rows, Failure):
        return {}
    return {row.key: row.value["owner"] for row in rows}


def compute_figures(
    seed: int, records: list[Record], phases: Phases, takeover: Takeover
) -> FaultRun:
    """Compute the figures of one run."""
    requests = join_attempts(records)
    windows = phases.by_name
    answers = {
        name: {method: summarize_answers(requests, window, method) for method in METHODS}
        for name, window in windows.items()
    }
    return FaultRun(
        seed,
        answers,
        takeover,
        first_start_after(records, windows["entry killed"].began_s + takeover.seconds, _is_batch),
        first_start_after(records, windows["store back"].began_s, _is_batch),
        count_ends(records, EVICTED, windows["zone out"]),
        {
            name: running_cpu_millis(records, window.ended_s - 1.0, _is_batch)
            for name, window in windows.items()
        },
    )


def _is_batch(started: RunStarted) -> bool:
    return not started.service


def render(profile: str, outage_s: float, runs: list[FaultRun]) -> str:
    """Return the page in Markdown."""
    lines = [
        "# Measurement: work and faults on real sockets",
        "",
        f"Written by `python -m scripts.measure_faults --profile {profile} --seeds {len(runs)}"
        f" --outage {outage_s:g}`: medians over the seeds, with the least and the greatest.",
        "Requests are counted with all their attempts, in the phase in which they were first sent.",
        "",
        "| phase | method | answered share | p50 ms | p99 ms | p99 against callers alone |"
        " batch processors |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for phase in runs[0].answers:
        for method in METHODS:
            lines.append(_phase_row(runs, phase, method))
    lines += [
        "",
        "| figure | median | least | greatest |",
        "| --- | --- | --- | --- |",
        _figure_row(
            "seconds from the kill until the last shard moved", [r.takeover.seconds for r in runs]
        ),
        _figure_row("seconds from then to the next start", [r.start_after_kill_s for r in runs]),
        _figure_row(
            "seconds from the store's return to the first start",
            [r.start_after_outage_s for r in runs],
        ),
        _figure_row("runs evicted when the zone left", [float(r.evicted_with_zone) for r in runs]),
        "",
    ]
    return "\n".join(lines)


def _phase_row(runs: list[FaultRun], phase: str, method: str) -> str:
    found = [run.answers[phase][method] for run in runs]
    ratios = [
        run.answers[phase][method].p99_ms / run.answers["callers alone"][method].p99_ms
        for run in runs
    ]
    batch = [run.batch_millis_by_phase[phase] / 1000 for run in runs]
    cells = (
        phase,
        method,
        f"{median(answers.answered_share for answers in found):.4f}",
        f"{median(answers.p50_ms for answers in found):.1f}",
        f"{median(answers.p99_ms for answers in found):.1f}",
        f"{median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})",
        f"{median(batch):.0f}",
    )
    return f"| {' | '.join(cells)} |"


def _figure_row(name: str, values: list[float]) -> str:
    return f"| {name} | {median(values):.2f} | {min(values):.2f} | {max(values):.2f} |"


if __name__ == "__main__":
    main()
