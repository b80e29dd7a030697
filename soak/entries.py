"""Entry processes on loopback. Signals are sent only to processes that were started here."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from soak.keys import REVOKE_S
from soak.keys import STATUS_OK
from soak.proxy import Proxy

REPOSITORY = Path(__file__).resolve().parent.parent
PORTS_PER_ENTRY = 20
KILL_TIMEOUT_S = 8.0
READY_PATH = "/v1/ready"
SETTINGS = """\
node = "{vm_id}"
ip = "{ip}"
zone = "{zone}"
internalPorts = [{peer_port}, {last_port}]
[listen]
front = "127.0.0.1:{front_port}"
ready = "127.0.0.1:{ready_port}"
[limits]
cpuShare = 0.5
cores = {cores}
memoryMb = 200
[bounds]
drainMs = 2000
graceS = 4
holdMaxMs = 6000
stopMs = 400
harmMs = 4000
configApplyMs = 3000
strictRevoke = true
revokeMs = {revoke_ms}
[platform]
address = "{store}"
"""
VM_LIST_SETTINGS = """\
[cloud]
address = "{vm_list}"
"""


class EntryConfig(NamedTuple):
    """Identity, addresses and files of an entry; ``front_address`` is that of the callers' port."""

    vm_id: str
    front_address: str
    settings_path: Path
    log_path: Path
    ready_address: str
    peer_address: str
    zone: str = ""


class EntryProcess:
    """An entry process that can be started, signalled, killed and restarted."""

    def __init__(self, config: EntryConfig, store_proxy: Proxy) -> None:
        self.config = config
        self.store_proxy = store_proxy
        self.starts = 0
        self.is_paused = False
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running():
            return
        environment = {**os.environ, "LABURNUMSWITCH_CONFIG": str(self.config.settings_path)}
        command = [sys.executable, "-m", "laburnumswitch", "entry"]
        with self.config.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        self.is_paused = False

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            self.is_paused = number == signal.SIGSTOP
            self._process.send_signal(number)

    def holds_signal(self, number: int) -> bool:
        """Return whether the process has blocked a signal, which then stays pending."""
        return bool(int(self._status()["SigBlk"], 16) >> (number - 1) & 1)

    def resident_mb(self) -> float:
        """Return the resident memory of the process."""
        return int(self._status()["VmRSS"].split()[0]) / 1024

    def open_descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))

    def _status(self) -> dict[str, str]:
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        return dict(line.split(":", 1) for line in status.splitlines())

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.is_running():
            self._process.kill()
        if self._process is not None:
            self._process.wait(KILL_TIMEOUT_S)


def are_ready(entries: Iterable[EntryProcess]) -> bool:
    """Return whether all entries answer that callers may be sent to them."""
    return all(_is_ready(entry.config) for entry in entries)


def _is_ready(config: EntryConfig) -> bool:
    client = Client(config.ready_address)
    answer = client.call("GET", READY_PATH)
    client.close()
    return not isinstance(answer, Failure) and answer.status == STATUS_OK


def write_settings(
    folder: Path,
    number: int,
    first_port: int,
    zone: str,
    store_address: str,
    vm_list_address: str,
    ip: str = "127.0.0.1",
) -> EntryConfig:
    """Write the settings file of one entry and return its configuration.

    :param vm_list_address: empty for a deployment without a list of VMs.
    :param ip: where the other entries reach it.
    """
    peer_port = first_port + number * PORTS_PER_ENTRY
    vm_id = f"front-{zone}-{number}"
    settings_path = folder / f"{vm_id}.toml"
    template = SETTINGS + (VM_LIST_SETTINGS if vm_list_address else "")
    settings_path.write_text(
        template.format(
            vm_id=vm_id,
            ip=ip,
            zone=zone,
            peer_port=peer_port,
            last_port=peer_port + 15,
            front_port=peer_port + 16,
            ready_port=peer_port + 17,
            cores=2 + number % 2,
            store=store_address,
            vm_list=vm_list_address,
            revoke_ms=int(REVOKE_S * 1000),
        ),
        encoding="utf-8",
    )
    return EntryConfig(
        vm_id,
        f"127.0.0.1:{peer_port + 16}",
        settings_path,
        folder / f"{vm_id}.log",
        f"127.0.0.1:{peer_port + 17}",
        f"{ip}:{peer_port}",
        zone,
    )
