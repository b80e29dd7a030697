"""Processes of the demonstration cluster and the calls that control them."""

import os
import sys
from collections.abc import Callable
from time import monotonic
from typing import Any
from typing import NamedTuple

from gevent import socket
from msgspec.json import decode
from msgspec.json import encode
from msgspec.yaml import encode as encode_yaml

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response
from laburnumswitch.process.peers.vms import Vm
from scripts.launcher import Launcher
from scripts.launcher import ProcessFailedError
from scripts.launcher import run_with_timeout
from scripts.profiles import Profile
from scripts.profiles import RackPlan
from standin.balancer import Entry
from standin.records import ProcessPaused
from standin.records import ProcessStopped
from standin.records import record_appender

PRODUCT_COMMAND = (sys.executable, "-m", "laburnumswitch")
HOST = "127.0.0.1"
ADMIN_KEY = "the-key-of-one-demonstration"
READY_DELAY = "1500ms"
DRAIN_LIMIT = "10s"
COMMAND_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
SHARDS = 8
FIRST_ENTRY_HOST = 100


class Rack(NamedTuple):
    """A rack process; its workers are numbered from ``first``."""

    name: str
    zone: str
    address: str
    first: int
    count: int


class Cluster:
    """Platform, racks, callers and entries of one run, with their records in one directory."""

    def __init__(
        self,
        launcher: Launcher,
        profile: Profile,
        seed: int,
        product_command: tuple[str, ...] = PRODUCT_COMMAND,
    ) -> None:
        """Initialise without starting any process.

        :param product_command: program and leading arguments of every product command.
        """
        self.launcher = launcher
        self.profile = profile
        self.racks: list[Rack] = []
        self.entry_by_vm: dict[str, Entry] = {}
        self.zone_by_vm: dict[str, str] = {}
        self.record = record_appender(self._path("launcher.records"))
        self._seed = seed
        self._product_command = product_command
        self._entries_started = 0
        self._client_by_address: dict[str, Client] = {}
        self.platform_address = ""
        self._callers = ""

    def start_standins(self) -> None:
        """Start the platform, the racks and the callers."""
        self.platform_address = self._start_standin(
            "platform", "platform", "--address", f"{HOST}:0"
        )
        self._callers = self._start_standin(
            "callers",
            "callers",
            *("--address", f"{HOST}:0"),
            *("--seed", str(self._seed)),
            *("--delay-ms", str(self.profile.caller_delay_ms)),
        )
        os.mkdir(self._path("checkpoints"))
        first = 1
        for number, plan in enumerate(self.profile.racks, 1):
            self._start_rack(number, plan, first)
            first += plan.count

    def start_entry(self) -> Entry:
        """Start an entry on a new VM and add the VM to the platform's list."""
        number = self._entries_started
        self._entries_started += 1
        zone = number % len(self.profile.zones)
        host = f"127.0.{zone + 1}.{FIRST_ENTRY_HOST + number}"
        vm_id = f"entry-{number + 1}"
        entry = Entry(vm_id, f"{host}:{_free_port(host)}", f"{host}:{_free_port(host)}")
        self.entry_by_vm[vm_id] = entry
        self.zone_by_vm[vm_id] = self.profile.zones[zone]
        settings = self._write_settings(entry)
        self.launcher.start(vm_id, *self._product_command, "entry", "--settings", settings)
        self.set_entry_state(vm_id, "live")
        return entry

    def set_entry_state(self, vm_id: str, state: str) -> None:
        """Set the state of an entry's VM in the platform's list."""
        entry = self.entry_by_vm[vm_id]
        vm = Vm(vm_id, "entry", entry.admin_address, self.zone_by_vm[vm_id], state)
        self.call_standin(self.platform_address, "POST", "/vms", vm)

    def set_rack_state(self, rack: Rack, state: str) -> None:
        """Set the state of a rack's VMs in the platform's list."""
        for number in range(rack.first, rack.first + rack.count):
            vm = Vm(
                f"worker-{number:03}",
                "worker",
                rack.address,
                rack.zone,
                state,
                rack.name,
                self.profile.capacity,
            )
            self.call_standin(self.platform_address, "POST", "/vms", vm)

    def update_balancer(self) -> None:
        """Send the running entries to the callers' load balancer."""
        entries = [
            entry for vm_id, entry in self.entry_by_vm.items() if self.launcher.is_running(vm_id)
        ]
        self.call_standin(self._callers, "POST", "/entries", {"entries": entries})

    def set_platform_faults(self, **faults: object) -> None:
        """Set fault injection options of the platform."""
        self.call_standin(self.platform_address, "POST", "/faults", faults)

    def set_rack_faults(self, rack: Rack, **faults: object) -> None:
        """Set fault injection options of a rack."""
        self.call_standin(rack.address, "POST", "/faults", faults)

    def set_load(self, sources: list) -> None:
        """Replace the load that the callers generate."""
        self.call_standin(self._callers, "POST", "/load", {"sources": sources})

    def progress(self) -> Any:
        """Return the callers' request counts and latencies so far."""
        return self.call_standin(self._callers, "GET", "/progress", None)

    def platform_usage(self) -> Any:
        """Return the usage of the platform's read and write budgets."""
        return self.call_standin(self.platform_address, "GET", "/use", None)

    def run_command(self, *arguments: str) -> str:
        """Run a product command against the platform and return its output.

        :raises ProcessFailedError: if the exit code is not 0.
        """
        options = ("--platform", self.platform_address)
        code, output = run_with_timeout(
            (*self._product_command, *arguments, *options), COMMAND_TIMEOUT_S
        )
        if code != 0:
            raise ProcessFailedError(
                f"{' '.join(arguments)} failed with exit code {code}: {output}"
            )
        return output

    def kill_process(self, name: str) -> None:
        """Kill a process with SIGKILL and record the stop."""
        began_s = monotonic()
        self.launcher.kill(name)
        self.record(ProcessStopped(began_s, monotonic(), name, False))

    def pause_processes(self, names: tuple[str, ...]) -> Callable[[], None]:
        """Pause processes with SIGSTOP; return a function that resumes and records them."""
        began_s = monotonic()
        for name in names:
            self.launcher.pause(name)

        def resume() -> None:
            for name in names:
                self.record(ProcessPaused(began_s, monotonic(), name))
                self.launcher.resume(name)

        return resume

    def stop_entry(self, vm_id: str) -> int:
        """Stop an entry with SIGTERM, record the stop and return the exit code."""
        self.set_entry_state(vm_id, "leaving")
        began_s = monotonic()
        self.launcher.terminate(vm_id)
        code = self.launcher.wait(vm_id, STOP_TIMEOUT_S)
        self.record(ProcessStopped(began_s, monotonic(), vm_id, True))
        self.set_entry_state(vm_id, "gone")
        return code

    def record_paths(self) -> tuple[str, ...]:
        """Return the paths of all record files."""
        names = os.listdir(self.launcher.directory)
        return tuple(self._path(name) for name in names if name.endswith(".records"))

    def call_admin_api(self, entry: Entry, target: str) -> Response | None:
        """Return the response of an entry's admin port, or ``None`` if there is none."""
        client = Client(entry.admin_address, lambda: {"Authorization": f"Bearer {ADMIN_KEY}"})
        response = client.call("GET", target, b"", 1.0)
        client.close()
        return response if isinstance(response, Response) else None

    def call_standin(self, address: str, method: str, target: str, body: object) -> Any:
        """Call a stand-in and return its decoded response.

        :raises ProcessFailedError: if it does not answer with status 200.
        """
        client = self._client_by_address.setdefault(address, Client(address))
        payload = b"" if body is None else encode(body)
        response = client.call(method, target, payload, 5.0)
        if not isinstance(response, Response) or response.status != 200:
            raise ProcessFailedError(f"{method} {target} at {address} failed: {response}")
        return decode(response.body)

    def _start_standin(self, name: str, *arguments: str) -> str:
        records = self._path(f"{name}.records")
        command = (sys.executable, "-m", "standin", *arguments, "--records", records)
        self.launcher.start(name, *command)
        return self.launcher.address_of(name)

    def _start_rack(self, number: int, plan: RackPlan, first: int) -> None:
        name = f"rack-{number}"
        zone = self.profile.zones[plan.zone]
        address = self._start_standin(
            name,
            "workers",
            *("--address", f"127.0.{plan.zone + 1}.{number}:0"),
            *("--rack", name, "--zone", zone),
            *("--first", str(first), "--count", str(plan.count)),
            *("--cpu-millis", str(self.profile.capacity.cpu_millis)),
            *("--memory-mb", str(self.profile.capacity.memory_mb)),
            *("--accelerators", str(self.profile.capacity.accelerators)),
            *("--seed", str(self._seed)),
            *("--delay-ms", str(self.profile.zone_delay_ms)),
            *("--checkpoints", self._path("checkpoints")),
        )
        rack = Rack(name, zone, address, first, plan.count)
        self.racks.append(rack)
        self.set_rack_state(rack, "live")

    def _write_settings(self, entry: Entry) -> str:
        with open(self._path("keys"), "w") as file:
            file.write(ADMIN_KEY + "\n")
        platform = dict.fromkeys(("table", "objects", "vms"), self.platform_address)
        settings = {
            "vm_id": entry.vm_id,
            "availability_zone": self.zone_by_vm[entry.vm_id],
            "caller_address": entry.caller_address,
            "admin_address": entry.admin_address,
            "platform": platform,
            "key_file": self._path("keys"),
            "shard_count": SHARDS,
            "limits": {"ready_delay": READY_DELAY, "drain_limit": DRAIN_LIMIT},
        }
        path = self._path(f"{entry.vm_id}.yaml")
        with open(path, "wb") as file:
            file.write(encode_yaml(settings))
        return path

    def _path(self, name: str) -> str:
        return os.path.join(self.launcher.directory, name)


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]
