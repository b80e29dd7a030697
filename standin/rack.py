"""The workers of one rack, served from one address such as ``127.0.1.5:8300``."""

import os
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import NamedTuple
from typing import TypedDict
from urllib.parse import quote

from gevent import sleep
from gevent.event import Event
from msgspec.json import decode

from laburnumswitch.process.workers.worker_api import StartOrder
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_api import WorkerReply
from laburnumswitch.size import Size
from standin.interference import draw_coefficients
from standin.records import Record
from standin.run import StartReplica
from standin.server import Call
from standin.server import json_reply
from standin.server import NOT_FOUND
from standin.server import Reply
from standin.upstream import HttpReplica
from standin.upstream import ReplicaFaults
from standin.worker import Worker
from standin.worker import WorkerSettings

ADVANCE_INTERVAL_S = 0.1
CLOCK_RATE_ERROR = 0.0005
CLOCK_ORIGIN_RANGE_S = 10_000.0


class RackSettings(NamedTuple):
    """Settings shared by the workers of one rack.

    ``host`` is the IP of their replicas, ``delay_s`` the one-way delay to the entries.
    """

    rack: str
    host: str
    availability_zone: str
    first_number: int
    count: int
    capacity: Size
    seed: int
    speed: float
    checkpoint_directory: str
    delay_s: float = 0.0


class RackFaults(TypedDict, total=False):
    """Body of ``POST /faults``: absent switches stay unchanged, lists hold worker ids."""

    fails_everything: list[str]
    paused: list[str]
    delay_s: float
    slow_factor: float
    truncate_answers: int
    lies: bool
    silent: bool


class ExchangeRequest(TypedDict):
    """Body of ``POST /workers``."""

    by_worker: dict[str, WorkerOrders]


class ExchangeAnswer(NamedTuple):
    """Answer to ``POST /workers``."""

    by_worker: dict[str, WorkerReply]


class FileCheckpoints:
    """Checkpoints as files in one directory that all racks share."""

    def __init__(self, directory: str) -> None:
        self._directory = directory

    def save(self, name: str, done_s: float) -> None:
        """Save the progress of a run."""
        with open(self._path(name), "w") as file:
            file.write(repr(done_s))

    def load(self, name: str) -> float:
        """Return the progress that was saved under ``name``."""
        with open(self._path(name)) as file:
            return float(file.read())

    def _path(self, name: str) -> str:
        return os.path.join(self._directory, quote(name, safe=""))


class Rack:
    """The workers of one rack and their fault switches."""

    def __init__(
        self,
        settings: RackSettings,
        record: Callable[[Record], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._record = record
        self._clock = clock
        self._replica_faults = ReplicaFaults()
        self._replica_faults.delay_s = settings.delay_s
        self._resumed = Event()
        self._resumed.set()
        self._paused: set[str] = set()
        self._random = Random(f"{settings.seed}/{settings.rack}")
        coefficient = draw_coefficients(settings.seed)
        checkpoints = FileCheckpoints(settings.checkpoint_directory)
        self.worker_by_id = {
            worker.worker_id: Worker(
                worker,
                coefficient,
                checkpoints,
                self._replica_starter(settings.host, worker.worker_id),
                record,
                clock,
            )
            for worker in _worker_settings(settings, self._random)
        }

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        if call.method == "POST" and call.path == "/workers":
            return self._exchange(decode(call.body, type=ExchangeRequest)["by_worker"])
        if call.method == "POST" and call.path == "/faults":
            self._set_faults(decode(call.body, type=RackFaults))
            return json_reply(True)
        return NOT_FOUND

    def advance(self) -> None:
        """Advance every worker that is not paused."""
        for worker_id, worker in self.worker_by_id.items():
            if worker_id not in self._paused:
                worker.advance()

    def run(self) -> None:
        """Advance the workers periodically, without end."""
        while True:
            self.advance()
            sleep(ADVANCE_INTERVAL_S)

    def _exchange(self, orders_by_worker: dict[str, WorkerOrders]) -> Reply:
        sleep(2 * self._replica_faults.delay_s)
        self._wait_while_paused(set(orders_by_worker))
        reports = {
            worker_id: self.worker_by_id[worker_id].exchange(orders)
            for worker_id, orders in orders_by_worker.items()
            if worker_id in self.worker_by_id
        }
        return json_reply(ExchangeAnswer(reports))

    def _set_faults(self, faults: RackFaults) -> None:
        if "fails_everything" in faults:
            for worker_id, worker in self.worker_by_id.items():
                worker.fails_everything = worker_id in faults["fails_everything"]
        if "paused" in faults:
            self._set_paused(set(faults["paused"]))
        replica_faults = self._replica_faults
        replica_faults.delay_s = faults.get("delay_s", replica_faults.delay_s)
        replica_faults.slow_factor = faults.get("slow_factor", replica_faults.slow_factor)
        replica_faults.truncate_answers = faults.get(
            "truncate_answers", replica_faults.truncate_answers
        )
        replica_faults.reports_false_state = faults.get("lies", replica_faults.reports_false_state)
        if "silent" in faults:
            replica_faults.silent_since_s = self._clock() if faults["silent"] else -1.0

    def _set_paused(self, worker_ids: set[str]) -> None:
        self._paused = worker_ids
        # Wake all waiters; each checks again whether its worker is paused.
        self._resumed.set()
        self._resumed.clear()

    def _wait_while_paused(self, worker_ids: set[str]) -> None:
        while self._paused & worker_ids:
            self._resumed.wait()

    def _replica_starter(self, host: str, worker_id: str) -> StartReplica:
        def start(order: StartOrder, is_executing: Callable[[], bool]) -> HttpReplica:
            def is_executing_after_pause() -> bool:
                self._wait_while_paused({worker_id})
                return is_executing()

            def slowdown() -> float:
                run = self.worker_by_id[worker_id].run_by_task.get(order.task_id)
                return run.slowdown if run else 1.0

            return HttpReplica(
                host,
                order,
                is_executing_after_pause,
                slowdown,
                self._replica_faults,
                self._record,
                self._random,
                self._clock,
            )

        return start


def _worker_settings(settings: RackSettings, random: Random) -> list[WorkerSettings]:
    boot = f"{os.getpid()}-{int(monotonic() * 1000)}"
    return [
        WorkerSettings(
            worker_id=f"worker-{number:03}",
            boot=boot,
            availability_zone=settings.availability_zone,
            capacity=settings.capacity,
            rack=settings.rack,
            clock_rate=1.0 + random.uniform(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR),
            clock_origin=random.uniform(0.0, CLOCK_ORIGIN_RANGE_S),
            seed=settings.seed,
            speed=settings.speed,
        )
        for number in range(settings.first_number, settings.first_number + settings.count)
    ]
