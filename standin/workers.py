"""The workers of one rack behind one address, such as ``127.0.1.5:8300``."""

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

TICK_S = 0.1
CLOCK_RATE_ERROR = 0.0005
CLOCK_ORIGIN_RANGE_S = 10_000.0


class RackSettings(NamedTuple):
    """The workers of one rack, all alike.

    ``host`` is the IP of their replicas, ``delay_s`` the one-way delay to the entries.
    """

    rack: str
    host: str
    availability_zone: str
    first: int
    count: int
    capacity: Size
    seed: int
    speed: float
    checkpoint_directory: str
    delay_s: float = 0.0


class Faults(TypedDict, total=False):
    """Fault switches; absent ones stay as they are, and those of workers name worker ids."""

    fails_everything: list[str]
    paused: list[str]
    delay_s: float
    slow_factor: float
    truncate_answers: int
    lies: bool
    silent: bool


class Orders(TypedDict):
    """Body of an exchange."""

    by_worker: dict[str, WorkerOrders]


class Reports(NamedTuple):
    """Answer to an exchange."""

    by_worker: dict[str, WorkerReply]


class FileCheckpoints:
    """Saved states as files of one directory that all racks share."""

    def __init__(self, directory: str) -> None:
        self._directory = directory

    def save(self, name: str, done_s: float) -> None:
        """Keep the progress of a run."""
        with open(self._path(name), "w") as file:
            file.write(repr(done_s))

    def load(self, name: str) -> float:
        """Return the progress that was saved under ``name``."""
        with open(self._path(name)) as file:
            return float(file.read())

    def _path(self, name: str) -> str:
        return os.path.join(self._directory, quote(name, safe=""))


class Rack:
    """The workers of one process and their fault switches."""

    def __init__(
        self,
        settings: RackSettings,
        record: Callable[[Record], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._record = record
        self._clock = clock
        self._faults = ReplicaFaults()
        self._faults.delay_s = settings.delay_s
        self._resumed = Event()
        self._resumed.set()
        self._paused: set[str] = set()
        self._random = Random(f"{settings.seed}/{settings.rack}")
        coefficient = draw_coefficients(settings.seed)
        checkpoints = FileCheckpoints(settings.checkpoint_directory)
        self.by_worker = {
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
            return self._exchange(decode(call.body, type=Orders)["by_worker"])
        if call.method == "POST" and call.path == "/faults":
            self._set_faults(decode(call.body, type=Faults))
            return json_reply(True)
        return NOT_FOUND

    def advance(self) -> None:
        """Let every worker that is not paused progress."""
        for worker_id, worker in self.by_worker.items():
            if worker_id not in self._paused:
                worker.advance()

    def run(self) -> None:
        """Advance for ever."""
        while True:
            self.advance()
            sleep(TICK_S)

    def _exchange(self, orders_by_worker: dict[str, WorkerOrders]) -> Reply:
        sleep(2 * self._faults.delay_s)
        self._wait_while_paused(set(orders_by_worker))
        reports = {
            worker_id: self.by_worker[worker_id].exchange(orders)
            for worker_id, orders in orders_by_worker.items()
            if worker_id in self.by_worker
        }
        return json_reply(Reports(reports))

    def _set_faults(self, faults: Faults) -> None:
        if "fails_everything" in faults:
            for worker_id, worker in self.by_worker.items():
                worker.fails_everything = worker_id in faults["fails_everything"]
        if "paused" in faults:
            self._pause(set(faults["paused"]))
        replicas = self._faults
        replicas.delay_s = faults.get("delay_s", replicas.delay_s)
        replicas.slow_factor = faults.get("slow_factor", replicas.slow_factor)
        replicas.truncate_answers = faults.get("truncate_answers", replicas.truncate_answers)
        replicas.lies = faults.get("lies", replicas.lies)
        if "silent" in faults:
            replicas.silent_since_s = self._clock() if faults["silent"] else -1.0

    def _pause(self, worker_ids: set[str]) -> None:
        self._paused = worker_ids
        self._resumed.set()
        self._resumed.clear()

    def _wait_while_paused(self, worker_ids: set[str]) -> None:
        while self._paused & worker_ids:
            self._resumed.wait()

    def _replica_starter(self, host: str, worker_id: str) -> StartReplica:
        def start(order: StartOrder, holds: Callable[[], bool]) -> HttpReplica:
            def still_holds() -> bool:
                self._wait_while_paused({worker_id})
                return holds()

            def slowdown() -> float:
                run = self.by_worker[worker_id].by_task.get(order.task_id)
                return run.slowdown if run else 1.0

            return HttpReplica(
                host,
                order,
                still_holds,
                slowdown,
                self._faults,
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
        for number in range(settings.first, settings.first + settings.count)
    ]
