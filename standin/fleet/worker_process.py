"""An emulated worker as a process of its own, which records what it does."""

import os
from base64 import b64encode
from collections.abc import Callable
from ctypes import CDLL
from pathlib import Path
from random import Random
from signal import SIGKILL
from time import monotonic
from time import time
from typing import Any

import click
from gevent import sleep
from gevent import spawn
from gevent import spawn_later
from msgspec import DecodeError
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.connection.client import Client
from laburnumswitch.platform.workers import format_task_id
from laburnumswitch.platform.workers import parse_task_id
from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from standin.fleet.api import make_worker_handler
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.worker import FleetWorker
from standin.fleet.worker import RecordFact
from standin.fleet.worker import WorkerTiming
from standin.server import AnswerDroppedError
from standin.server import Call
from standin.server import Handler
from standin.server import Reply
from standin.server import start_server

TICK_S = 0.01
HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 2.0
# Interval at which the worker looks whether it is to leave.
SWITCH_INTERVAL_S = 0.05
# The process was stopped, or had no processor, if it did not tick for so long.
MAX_TICK_GAP_S = 0.1
MAX_STOP_S = 0.4
# Delay of a call that is carried out late, and how long its connection stays open.
MIN_LATE_S = 2.0
MAX_LATE_S = 6.0
LATE_CALL_OPEN_S = 5.0
# Linux: the kernel sends this signal to the process when its parent exits.
PR_SET_PDEATHSIG = 1
START_PATH = "/v1/run-start"


class Switches(Struct, frozen=True):
    """Fault switches of a worker process, which it reads from its control file.

    :ivar late_share: part of the calls that are carried out late and not answered.
    :ivar leaves_s: when the worker leaves, in ``CLOCK_MONOTONIC``; 0 if it stays.
    """

    drops_answers: bool = False
    fails_runs: bool = False
    late_share: float = 0.0
    leaves_s: float = 0.0


def encode_steps(steps: tuple[Step, ...]) -> str:
    """Return the ``spec`` of a job from which a worker process learns the steps."""
    return encode(steps).decode()


def write_fact(path: Path, fact: str, at_s: float, fields: dict[str, Any]) -> None:
    """Append one fact to the record file of a worker; ``at_s`` is in ``CLOCK_MONOTONIC``.

    Each fact is written with one call, so that none is lost when the process is killed.
    """
    line = encode({"fact": fact, "at": at_s, **fields}) + b"\n"
    descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    try:
        os.write(descriptor, line)
    finally:
        os.close(descriptor)


def make_recorder(path: Path, to_monotonic_s: Callable[[float], float]) -> RecordFact:
    """Return a function that writes facts, whose times are on the worker's own clock."""

    def record(fact: str, at_s: float, fields: dict[str, Any]) -> None:
        if "task" in fields:
            fields = {**fields, "task": format_task_id(fields["task"])}
        write_fact(path, fact, to_monotonic_s(at_s), fields)

    return record


def make_process_handler(
    worker: FleetWorker,
    read_switches: Callable[[], Switches],
    record: RecordFact,
    clock: Callable[[], float],
    random: Random,
) -> Handler:
    """Return the handler of the calls, which learns steps from specs and carries some out late."""
    handle = make_worker_handler(worker)

    def carry_out_late(call: Call) -> None:
        if call.path == START_PATH:
            body = decode(call.body)
            fields = {"task": parse_task_id(body["task"]), "run": body["run"]}
            record("late", clock(), fields)
        try:
            handle(call)
        except AnswerDroppedError:
            # Its caller has had no answer in any case.
            return

    def handle_call(call: Call) -> Reply:
        switches = read_switches()
        worker.drops_answers = switches.drops_answers
        worker.fails_runs = switches.fails_runs
        if call.path == START_PATH and not _learn_steps(worker.checker, call.body):
            return Reply(400, b"{}")
        if random.random() >= switches.late_share:
            return handle(call)
        spawn_later(random.uniform(MIN_LATE_S, MAX_LATE_S), carry_out_late, call)
        sleep(LATE_CALL_OPEN_S)
        raise AnswerDroppedError

    return handle_call


def _learn_steps(checker: InvariantChecker, body: bytes) -> bool:
    """Take the steps of a job from a start, and return whether they could be read."""
    try:
        order = decode(body)
        steps = decode(order["spec"], type=tuple[Step, ...])
        job_id = parse_task_id(order["task"]).job_id
    except (DecodeError, ValidationError, KeyError, ValueError):
        return False
    checker.record_submission(Submission(job_id, "", order["spec"], steps, 0.0))
    return True


def _send_heartbeats(
    listing: WorkerListing, store: str, read_switches: Callable[[], Switches]
) -> None:
    client = Client(store)
    value = {
        "service": listing.service,
        "address": listing.address,
        "zone": listing.availability_zone,
        "state": "ready",
        "capacity": {"cpu": listing.cpu_millis, "memMb": listing.memory_mb, "gpu": 0},
        "labels": listing.labels,
        "born": listing.incarnation,
        "machine": listing.vm_id,
    }
    seq = 0
    while True:
        seq += 1
        leaves_s = read_switches().leaves_s
        departure = describe_departure(leaves_s - monotonic()) if leaves_s else {}
        encoded = b64encode(encode({**value, **departure, "seq": seq})).decode()
        row = {"table": "servers", "part": "", "key": listing.worker_id, "value": encoded}
        # A lost or refused heartbeat is followed by the next one.
        client.call("POST", "/v1/rows-tx", encode({"puts": [row]}), HEARTBEAT_TIMEOUT_S)
        next_s = monotonic() + HEARTBEAT_INTERVAL_S
        # A departure is announced at once.
        while monotonic() < next_s and read_switches().leaves_s == leaves_s:
            sleep(SWITCH_INTERVAL_S)


def describe_departure(remaining_s: float) -> dict[str, Any]:
    """Return the fields in which the entry of a worker that leaves differs."""
    return {"state": "draining", "remainingMs": max(0, int(remaining_s * 1000))}


@click.command()
@click.option("--listing", required=True, help="Listing of the worker, as JSON.")
@click.option("--listen", required=True, help="Address on which it answers calls.")
@click.option("--store", required=True, help="Address of the store.")
@click.option("--record-file", required=True, type=Path)
@click.option("--control-file", required=True, type=Path)
@click.option("--clock-rate", default=1.0, show_default=True, help="Rate of its steady clock.")
@click.option(
    "--clock-start", default=0.0, show_default=True, help="Where the clock that it reports begins."
)
@click.option("--seed", default=1, show_default=True)
def main(
    listing: str,
    listen: str,
    store: str,
    record_file: Path,
    control_file: Path,
    clock_rate: float,
    clock_start: float,
    seed: int,
) -> None:
    """Run one emulated worker until the process is killed or its parent has exited."""
    parent_id = os.getppid()
    # Also ends a worker that is stopped by a signal, which cannot look for its parent.
    CDLL(None).prctl(PR_SET_PDEATHSIG, SIGKILL)
    booted_s = monotonic()
    random = Random(seed)
    incarnation = int(time() * 1000)
    worker_listing = decode(listing, type=WorkerListing)._replace(incarnation=incarnation)
    fields = {"worker": worker_listing.worker_id, "born": incarnation, "rate": clock_rate}
    write_fact(record_file, "boot", booted_s, fields)

    def clock() -> float:
        return (monotonic() - booted_s) * clock_rate

    def to_monotonic_s(at_s: float) -> float:
        return booted_s + at_s / clock_rate

    def read_switches() -> Switches:
        return decode(control_file.read_bytes(), type=Switches)

    record = make_recorder(record_file, to_monotonic_s)
    timing = WorkerTiming(MAX_STOP_S, MAX_TICK_GAP_S)
    worker = FleetWorker(worker_listing, InvariantChecker(), clock, random, timing, record)
    worker.set_clock(clock_start)
    handle = make_process_handler(worker, read_switches, record, clock, random)
    start_server(listen, handle)
    spawn(_send_heartbeats, worker_listing, store, read_switches)
    while os.getppid() == parent_id:
        worker.advance()
        sleep(TICK_S)


if __name__ == "__main__":
    main()
