"""Entries as processes on loopback, with signals. Only processes started here are signalled."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

from soak.proxy import Proxy

ROOT = Path(__file__).resolve().parent.parent
PORTS_PER_ENTRY = 20
KILL_WAIT_S = 8.0
SETTINGS = """\
node = "{vm_id}"
ip = "127.0.0.1"
zone = "{zone}"
internalPorts = [{peer_port}, {last_port}]
[listen]
front = "127.0.0.1:{front_port}"
ready = "127.0.0.1:{ready_port}"
[limits]
cpuShare = 0.5
cores = {cores}
memoryMb = 300
[bounds]
drainMs = 2000
graceS = 4
holdMaxMs = 6000
stopMs = 400
harmMs = 4000
[platform]
address = "{store}"
"""


class Place(NamedTuple):
    """Where one entry listens, and its files."""

    vm_id: str
    front: str
    settings: Path
    log: Path


class Entry:
    """One entry that can be stopped, paused, killed and started again."""

    def __init__(self, place: Place, store: Proxy) -> None:
        self.place = place
        self.store = store
        self.starts = 0
        self.is_paused = False
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.is_running():
            return
        environment = {**os.environ, "LABURNUMSWITCH_CONFIG": str(self.place.settings)}
        command = [sys.executable, "-m", "laburnumswitch", "entry"]
        with self.place.log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        self.is_paused = False

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running():
            self.is_paused = number == signal.SIGSTOP
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running():
            self._process.kill()
        if self._process is not None:
            self._process.wait(KILL_WAIT_S)


def place_entry(folder: Path, number: int, first_port: int, zone: str, store: str) -> Place:
    """Write the settings of one entry and return where it listens."""
    peer_port = first_port + number * PORTS_PER_ENTRY
    vm_id = f"front-{zone}-{number}"
    settings = folder / f"{vm_id}.toml"
    settings.write_text(
        SETTINGS.format(
            vm_id=vm_id,
            zone=zone,
            peer_port=peer_port,
            last_port=peer_port + 15,
            front_port=peer_port + 16,
            ready_port=peer_port + 17,
            cores=2 + number % 2,
            store=store,
        ),
        encoding="utf-8",
    )
    return Place(vm_id, f"127.0.0.1:{peer_port + 16}", settings, folder / f"{vm_id}.log")
