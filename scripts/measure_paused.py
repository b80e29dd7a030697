"""Measures what callers see while some of eight upstreams are paused, optionally for two trees.

The kernel still accepts connections for a paused process, unlike for a VM that has vanished, so
only the missing first byte of the response reveals the fault.
"""

from os import kill
from signal import SIGCONT
from signal import SIGSTOP
from statistics import median
from time import sleep
from typing import NamedTuple

import click

from scripts.measure_request import begin_load
from scripts.measure_request import end_entry
from scripts.measure_request import RunningProcess
from scripts.measure_request import samples_of
from scripts.measure_request import SERVICE_S
from scripts.measure_request import SLOTS
from scripts.measure_request import started_process
from scripts.measure_request import STATUS_OK
from scripts.measure_request import UPSTREAMS
from scripts.request_roles import EntrySettings
from scripts.request_roles import LoadSettings
from scripts.request_roles import Sample
from scripts.request_roles import UpstreamSettings
from scripts.request_roles import UpstreamsSettings

TIMEOUT_S = 3.0
LOAD_S = 12.0
PAUSE_AFTER_S = 3.0
ORDER_SHARE = 0.2
QUANTILE = 0.99


class PausedUpstreamsResult(NamedTuple):
    """Result of one run: reads and orders sent after the pause; ``p99_s`` covers reads only."""

    reads_answered: float
    reads_lost: int
    p99_s: float
    orders_answered: float
    sends_per_request: float


def measure(
    seed: int, paused: int, read_rps: float, directory: str | None
) -> PausedUpstreamsResult:
    """Run the load once through two entries, using the code in ``directory``."""
    upstream = UpstreamSettings(SLOTS, SERVICE_S)
    healthy_settings = UpstreamsSettings((upstream,) * (UPSTREAMS - paused), seed)
    with (
        started_process("upstreams", healthy_settings) as healthy,
        started_process("upstreams", UpstreamsSettings((upstream,) * paused, seed)) as victim,
    ):
        addresses = healthy.addresses + victim.addresses
        settings = EntrySettings(addresses, slots=SLOTS, timeout_s=TIMEOUT_S, seed=seed)
        other = settings._replace(seed=seed + 1_000)
        with (
            started_process("entry", settings, directory) as one,
            started_process("entry", other, directory) as two,
        ):
            try:
                reads, orders = _load_and_pause(
                    one.addresses + two.addresses, victim, seed, read_rps
                )
            finally:
                kill(victim.process.pid, SIGCONT)
            results = (end_entry(one), end_entry(two))
    latencies_s = sorted(sample.latency_s for sample in reads)
    return PausedUpstreamsResult(
        _answered(reads),
        sum(1 for sample in reads if sample.status != STATUS_OK),
        latencies_s[int(len(latencies_s) * QUANTILE)],
        _answered(orders),
        sum(each.sends for each in results) / sum(each.requests for each in results),
    )


def _load_and_pause(
    addresses: tuple[str, ...], victim: RunningProcess, seed: int, read_rps: float
) -> tuple[list[Sample], list[Sample]]:
    reads = LoadSettings(addresses, LOAD_S, read_rps, 1, seed)
    orders = LoadSettings(addresses, LOAD_S, read_rps * ORDER_SHARE, 1, seed + 100, order_share=1.0)
    with started_process("load", reads) as first, started_process("load", orders) as second:
        begin_load((first, second))
        sleep(PAUSE_AFTER_S)
        kill(victim.process.pid, SIGSTOP)
        return tuple(
            [sample for sample in samples_of(each) if sample.at_s > PAUSE_AFTER_S]
            for each in (first, second)
        )


def _answered(samples: list[Sample]) -> float:
    return sum(1 for sample in samples if sample.status == STATUS_OK) / len(samples)


def _medians(runs: list[PausedUpstreamsResult]) -> PausedUpstreamsResult:
    return PausedUpstreamsResult(*(median(values) for values in zip(*runs, strict=True)))


@click.command()
@click.option("--seeds", default=3, show_default=True, help="Seeds of each tree.")
@click.option("--paused", default=1, show_default=True, help="Paused upstreams of eight.")
@click.option("--rate", default=200.0, show_default=True, help="Reads a second.")
@click.option("--against", help="Another work tree, whose entries are measured in turn.")
def main(seeds: int, paused: int, rate: float, against: str | None) -> None:
    """Print the figures of each run and their medians."""
    trees = (None,) if against is None else (against, None)
    runs_by_tree: dict[str | None, list[PausedUpstreamsResult]] = {tree: [] for tree in trees}
    for seed in range(1, seeds + 1):
        for tree in trees:
            runs_by_tree[tree].append(measure(seed, paused, rate, tree))
            click.echo(f"seed {seed}, {tree or 'this tree'}: {runs_by_tree[tree][-1]}")
    for tree, runs in runs_by_tree.items():
        click.echo(f"medians, {tree or 'this tree'}: {_medians(runs)}")


if __name__ == "__main__":
    main()
