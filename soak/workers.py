"""Worker processes on loopback. Signals are sent only to processes that were started here."""

import signal
import subprocess
import sys
from pathlib import Path
from random import Random
from time import monotonic
from typing import NamedTuple

from gevent import sleep
from gevent import socket
from gevent import spawn
from msgspec.json import encode
from msgspec.structs import replace

from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.size import Size
from soak.entries import REPOSITORY
from soak.proxy import Mode
from soak.proxy import Proxy
from standin.fleet.down_times import find_worker_spans
from standin.fleet.down_times import WorkerSpan
from standin.fleet.run_records import collect_runs
from standin.fleet.run_records import read_facts
from standin.fleet.run_records import RecordedRun
from standin.fleet.worker_process import Switches
from standin.fleet.worker_process import write_fact

MIN_CLOCK_RATE = 0.98
# The clock of a worker begins anywhere up to this time, in seconds.
MAX_CLOCK_START_S = 10_000.0
STOP_POLL_S = 0.001
LISTEN_POLL_S = 0.005


class WorkerConfig(NamedTuple):
    """Identity, addresses and files of one worker.

    :ivar listing: listing without an address.
    :ivar port: port of the proxy, to which entries connect.
    :ivar listen_address: address on which the process listens.
    """

    listing: WorkerListing
    port: int
    listen_address: str
    store_address: str
    folder: Path


class EmulatedWorker:
    """A worker process behind a proxy; each start of it draws the rate and start of its clock."""

    def __init__(self, config: WorkerConfig, random: Random) -> None:
        self.proxy = Proxy(config.listen_address, config.port)
        self.proxy.set_target_up(False)
        self.listing = config.listing._replace(address=self.proxy.address)
        self.switches = Switches()
        # Exit codes of processes that ended without being killed, which none should.
        self.own_exit_codes: list[int] = []
        self.is_paused = False
        # Whether the worker leaves, or has been lost, for good.
        self.is_leaving = False
        self._config = config
        self._random = random
        # A generator of its own, so that a seed keeps its faults.
        self._clock_random = Random(f"{config.folder.name} {self.listing.worker_id}")
        self._process: subprocess.Popen | None = None
        prefix = config.folder / self.listing.worker_id
        self._record_path = prefix.with_suffix(".jsonl")
        # A seed draws the same job ids again: records of an earlier run would count as its own.
        self._record_path.write_bytes(b"")
        self._control_path = prefix.with_suffix(".control")
        self._log_path = prefix.with_suffix(".log")
        self.set_switches()

    @property
    def is_crashed(self) -> bool:
        """Return whether the process is not running."""
        return self._process is None or self._process.poll() is not None

    def start(self) -> None:
        """Start the process unless it is running."""
        if not self.is_crashed:
            return
        self.kill()
        command = [sys.executable, "-m", "standin.fleet.worker_process"]
        options = {
            "listing": encode(self.listing).decode(),
            "listen": self._config.listen_address,
            "store": self._config.store_address,
            "record-file": self._record_path,
            "control-file": self._control_path,
            "clock-rate": self._random.uniform(MIN_CLOCK_RATE, 1.0),
            "clock-start": self._clock_random.uniform(0.0, MAX_CLOCK_START_S),
            "seed": self._random.getrandbits(32),
        }
        command += [f"--{name}={value}" for name, value in options.items()]
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log)
        self.is_paused = False
        spawn(self._await_listening, self._process)

    def kill(self) -> None:
        """Kill the process, wait until it has exited and record that."""
        process = self._process
        if process is None:
            return
        if process.poll() is not None:
            self.own_exit_codes.append(process.returncode)
        process.kill()
        process.wait()
        self._process = None
        self._record("gone")
        self.proxy.set_target_up(False)

    def restart(self) -> None:
        """Kill the process and start it again at once under the same id."""
        self.kill()
        self.start()

    def pause(self) -> None:
        """Stop the process with SIGSTOP and record when it has stopped."""
        if self.is_crashed or self.is_paused:
            return
        process = self._process
        self.is_paused = True
        process.send_signal(signal.SIGSTOP)
        stat_path = Path(f"/proc/{process.pid}/stat")
        while process.poll() is None:
            if stat_path.read_text(encoding="ascii").rpartition(")")[2].split()[0] == "T":
                self._record("paused")
                return
            sleep(STOP_POLL_S)

    def resume(self) -> None:
        """Continue the process after a pause."""
        if self.is_crashed or not self.is_paused:
            return
        self.is_paused = False
        self._record("resumed")
        self._process.send_signal(signal.SIGCONT)

    def set_switches(self, **changes: float) -> None:
        """Change fault switches of the process, also for its next starts."""
        self.switches = replace(self.switches, **changes)
        # Replaced as a whole: the process must not read a half-written file.
        new_path = self._control_path.with_suffix(".new")
        new_path.write_bytes(encode(self.switches))
        new_path.replace(self._control_path)

    def announce_departure(self, leaves_s: float) -> None:
        """Let the process announce that it leaves at a time in ``CLOCK_MONOTONIC``."""
        self.is_leaving = True
        self._record("leaving")
        self.set_switches(leaves_s=leaves_s)

    def cut_off(self) -> None:
        """Drop all traffic between entries and the process, for good."""
        self.is_leaving = True
        self._record("leaving")
        self.proxy.set_mode(Mode.SILENT)

    def crash(self) -> None:
        """Kill the process for good."""
        self.is_leaving = True
        self.kill()

    def recorded_runs(self) -> list[RecordedRun]:
        """Return the runs that the process has recorded so far."""
        return collect_runs(read_facts(self._record_path))

    def recorded_spans(self) -> list[WorkerSpan]:
        """Return when the process could take tasks."""
        capacity = Size(self.listing.cpu_millis, self.listing.memory_mb)
        return find_worker_spans(read_facts(self._record_path), capacity)

    def stop(self) -> None:
        """Kill the process and stop the proxy."""
        self.kill()
        self.proxy.stop()

    def _await_listening(self, process: subprocess.Popen) -> None:
        host, _, port = self._config.listen_address.rpartition(":")
        while self._process is process and process.poll() is None:
            try:
                socket.create_connection((host, int(port))).close()
            except ConnectionRefusedError:
                # The process is still starting.
                sleep(LISTEN_POLL_S)
                continue
            self.proxy.set_target_up(True)
            return

    def _record(self, fact: str) -> None:
        write_fact(self._record_path, fact, monotonic(), {})
