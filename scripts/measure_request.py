"""Measures the cost of the request path and compares its routing policy with the baselines.

Starts a few processes at a time on loopback and ends each of them.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from contextlib import ExitStack
from os import cpu_count
from pathlib import Path
from platform import python_version
from subprocess import PIPE
from subprocess import Popen
from subprocess import TimeoutExpired
from sys import executable
from time import sleep
from typing import NamedTuple

import click
from msgspec.json import decode
from msgspec.json import encode

from scripts.request_report import PolicyResult
from scripts.request_report import ProxyCost
from scripts.request_report import render
from scripts.request_report import Results
from scripts.request_roles import EntryResults
from scripts.request_roles import EntrySettings
from scripts.request_roles import LoadSettings
from scripts.request_roles import Sample
from scripts.request_roles import UpstreamSettings
from scripts.request_roles import UpstreamsSettings

POLICIES = ("product", "least_outstanding", "round_robin", "random")
SLOTS = 4
SERVICE_S = 0.05
UPSTREAMS = 8
CAPACITY_RPS = UPSTREAMS * SLOTS / SERVICE_S
SLOW_FACTOR = 5
ENTRIES = 2
LOADERS = 2
LATENCY_ROUND_S = 1.0
RATE_ROUND_S = 1.5
RATE_CONNECTIONS = 8
FAULTY_S = 5.0
FAULTY_LOAD = 0.5
OVERLOAD_S = 4.0
OVERLOAD = 3.0
RECOVERY_S = 5.0
RECOVERY_LOAD = 0.5
RECOVERY_WINDOW_S = 0.5
RECOVERED_SHARE = 0.99
RECOVERED_LATENCY_S = 0.25
ORDER_SHARE = 0.2
END_TIMEOUT_S = 8.0
STATUS_OK = 200
NOT_AVAILABLE = None


class RunningProcess(NamedTuple):
    """A started process and the addresses it serves."""

    process: Popen
    addresses: tuple[str, ...]


@contextmanager
def started_process(
    role: str, settings: NamedTuple, directory: str | None = None
) -> Iterator[RunningProcess]:
    """Start a process and end it on leaving the block, also on an exception.

    :param directory: work tree whose code the process runs, by default this one.
    """
    command = [executable, "-m", "scripts.request_roles", role]
    process = Popen(command, stdin=PIPE, stdout=PIPE, cwd=directory)
    try:
        process.stdin.write(encode(settings) + b"\n")
        process.stdin.flush()
        yield RunningProcess(process, tuple(decode(process.stdout.readline())))
    finally:
        process.terminate()
        try:
            process.wait(END_TIMEOUT_S)
        except TimeoutExpired:
            process.kill()
            process.wait()


def run_load_processes(settings: tuple[LoadSettings, ...]) -> list[Sample]:
    """Run load processes concurrently and return all samples."""
    with ExitStack() as stack:
        return _collect_samples(
            [stack.enter_context(started_process("load", each)) for each in settings]
        )


def _collect_samples(running: list[RunningProcess]) -> list[Sample]:
    begin_load(running)
    return [sample for each in running for sample in samples_of(each)]


def begin_load(running: Iterable[RunningProcess]) -> None:
    """Signal started load processes to begin sending."""
    for each in running:
        each.process.stdin.write(b"\n")
        each.process.stdin.flush()


def samples_of(running: RunningProcess) -> list[Sample]:
    """Wait for a load process to finish and return its samples."""
    return decode(running.process.stdout.readline(), type=list[Sample])


def end_entry(running: RunningProcess) -> EntryResults:
    """Stop an entry or relay and return its counters."""
    running.process.terminate()
    return decode(running.process.stdout.readline(), type=EntryResults)


def measure_cost(rounds: int) -> tuple[ProxyCost, ...]:
    """Measure direct calls, a bare relay and an entry in turn, to share machine conditions."""
    upstreams = UpstreamsSettings((UpstreamSettings(),) * 4)
    with started_process("upstreams", upstreams) as running:
        return tuple(_cost_round(running.addresses, number) for number in range(rounds))


def _cost_round(addresses: tuple[str, ...], number: int) -> ProxyCost:
    direct = _latencies_us(addresses, number)
    relay, relay_rate = _measure_proxy(EntrySettings(addresses, timeout_s=5.0, relay=True), number)
    entry, entry_rate = _measure_proxy(EntrySettings(addresses, timeout_s=5.0), number)
    click.echo(
        f"cost round {number}: entry {entry_rate:.0f}, relay {relay_rate:.0f} requests/CPU s"
    )
    return ProxyCost(
        _quantile(direct, 0.5),
        _quantile(direct, 0.99),
        _quantile(relay, 0.5),
        _quantile(relay, 0.99),
        _quantile(entry, 0.5),
        _quantile(entry, 0.99),
        relay_rate,
        entry_rate,
    )


def _measure_proxy(settings: EntrySettings, number: int) -> tuple[list[float], float]:
    with started_process("entry", settings) as running:
        latencies = _latencies_us(running.addresses, number)
    with started_process("entry", settings) as running:
        each = LoadSettings(running.addresses, RATE_ROUND_S, connections=RATE_CONNECTIONS)
        idle_cpu_s = _cpu_s(running.process.pid)
        samples = run_load_processes((each,) * LOADERS)
        cpu_s = _cpu_s(running.process.pid) - idle_cpu_s
    return latencies, len(samples) / cpu_s


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def _latencies_us(addresses: tuple[str, ...], seed: int) -> list[float]:
    samples = run_load_processes((LoadSettings(addresses[:1], LATENCY_ROUND_S, seed=seed),))
    return [sample.latency_s * 1e6 for sample in samples]


def profile_entry() -> tuple[str, ...]:
    """Return the functions that take most of an entry's time."""
    with started_process("upstreams", UpstreamsSettings((UpstreamSettings(),) * 4)) as upstreams:
        settings = EntrySettings(upstreams.addresses, timeout_s=5.0, profile=True)
        with started_process("entry", settings) as entry:
            each = LoadSettings(entry.addresses, RATE_ROUND_S, connections=RATE_CONNECTIONS)
            run_load_processes((each,) * LOADERS)
            return end_entry(entry).profile


def measure_policy(policy: str, seed: int) -> PolicyResult:
    """Measure one policy with faulty upstreams and under overload."""
    faulty = _run_faulty(policy, seed)
    peak, after, results = _run_overload(policy, seed)
    good = [sample for sample in faulty if sample.status == STATUS_OK]
    shed = [sample.latency_s * 1e3 for sample in peak if sample.outcome == "not-run"]
    high = [sample for sample in peak if sample.priority == 0]
    requests = sum(each.requests for each in results)
    result = PolicyResult(
        policy,
        seed,
        len(good) / len(faulty),
        _quantile([sample.latency_s * 1e3 for sample in faulty], 0.5),
        _quantile([sample.latency_s * 1e3 for sample in faulty], 0.99),
        _count_ok(peak) / (CAPACITY_RPS * OVERLOAD_S),
        _count_ok(high) / len(high),
        _quantile(shed, 0.5),
        _quantile(shed, 0.99),
        sum(each.sends for each in results) / requests,
        _recovery_s(after),
    )
    click.echo(f"{result}")
    return result


def _run_faulty(policy: str, seed: int) -> list[Sample]:
    healthy = UpstreamSettings(SLOTS, SERVICE_S)
    slow = UpstreamSettings(SLOTS, SERVICE_S * SLOW_FACTOR)
    failing = UpstreamSettings(SLOTS, SERVICE_S, failing=True)
    kinds = (slow, failing) + (healthy,) * (UPSTREAMS - 2)
    with _started_entries(kinds, policy, seed) as entries:
        addresses = tuple(entry.addresses[0] for entry in entries)
        rate = CAPACITY_RPS * FAULTY_LOAD
        return run_load_processes((LoadSettings(addresses, FAULTY_S, rate, 1, seed, ORDER_SHARE),))


def _run_overload(policy: str, seed: int) -> tuple[list[Sample], list[Sample], list[EntryResults]]:
    kinds = (UpstreamSettings(SLOTS, SERVICE_S),) * UPSTREAMS
    with _started_entries(kinds, policy, seed) as entries:
        addresses = tuple(entry.addresses[0] for entry in entries)
        rate = CAPACITY_RPS * OVERLOAD / LOADERS
        peak = run_load_processes(
            tuple(
                LoadSettings(addresses, OVERLOAD_S, rate, 1, seed * 10 + number, ORDER_SHARE)
                for number in range(LOADERS)
            )
        )
        rate = CAPACITY_RPS * RECOVERY_LOAD
        after = run_load_processes(
            (LoadSettings(addresses, RECOVERY_S, rate, 1, seed, ORDER_SHARE),)
        )
        return peak, after, [end_entry(entry) for entry in entries]


@contextmanager
def _started_entries(
    kinds: tuple[UpstreamSettings, ...], policy: str, seed: int
) -> Iterator[tuple[RunningProcess, RunningProcess]]:
    with started_process("upstreams", UpstreamsSettings(kinds, seed)) as upstreams:
        first = EntrySettings(upstreams.addresses, policy, SLOTS, seed=seed)
        second = first._replace(seed=seed + 1_000)
        with started_process("entry", first) as one, started_process("entry", second) as two:
            sleep(0.2)
            yield one, two


def _recovery_s(samples: list[Sample]) -> float:
    """Return the time from which on all windows meet the recovery criteria."""
    recovered_s = 0.0
    for number in range(int(RECOVERY_S / RECOVERY_WINDOW_S)):
        begin_s = number * RECOVERY_WINDOW_S
        window = [s for s in samples if begin_s <= s.at_s < begin_s + RECOVERY_WINDOW_S]
        good = [s for s in window if s.status == STATUS_OK and s.latency_s < RECOVERED_LATENCY_S]
        if len(good) < RECOVERED_SHARE * len(window):
            recovered_s = begin_s + RECOVERY_WINDOW_S
    return recovered_s


def _count_ok(samples: list[Sample]) -> int:
    return sum(1 for sample in samples if sample.status == STATUS_OK)


def _quantile(values: list[float], fraction: float) -> float | None:
    if not values:
        return NOT_AVAILABLE
    return sorted(values)[min(int(len(values) * fraction), len(values) - 1)]


@click.command()
@click.option("--seeds", default=5, show_default=True, help="Seeds of each policy, and rounds.")
@click.option("--json", "json_path", default="out/measure_request.json", show_default=True)
@click.option("--page", default="docs/MEASUREMENTS-requests.md", show_default=True)
@click.option("--render-only", is_flag=True, help="Make the page from the figures of last time.")
def main(seeds: int, json_path: str, page: str, render_only: bool) -> None:
    """Measure the request path and write the figures and the page."""
    if not render_only:
        results = _measure(seeds)
        Path(json_path).parent.mkdir(parents=True, exist_ok=True)
        Path(json_path).write_bytes(encode(results))
    results = decode(Path(json_path).read_bytes(), type=Results)
    Path(page).write_text(render(results))


def _measure(seeds: int) -> Results:
    numbers = tuple(range(1, seeds + 1))
    cost = measure_cost(seeds)
    profile = profile_entry()
    policies = tuple(measure_policy(policy, seed) for seed in numbers for policy in POLICIES)
    return Results(python_version(), cpu_count() or 0, numbers, cost, profile, policies)


if __name__ == "__main__":
    main()
