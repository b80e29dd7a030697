"""Starts processes, sends them signals by their own ids, and ends every one of them in the end."""

import os
import sys
from collections.abc import Callable
from ctypes import CDLL
from signal import SIGCONT
from signal import SIGINT
from signal import SIGKILL
from signal import signal
from signal import SIGSTOP
from signal import SIGTERM
from subprocess import Popen
from subprocess import TimeoutExpired
from tempfile import TemporaryFile
from time import monotonic
from typing import IO
from typing import NamedTuple
from typing import Self

from gevent import sleep

PR_SET_PDEATHSIG = 1
POLL_S = 0.02
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ADDRESS_LIMIT_S = 15.0
BYTES_PER_MB = 1_000_000


class ProcessFailedError(Exception):
    """A process did not do what the launcher waits for."""


class Use(NamedTuple):
    """What a process uses: peak memory in MB and processor seconds since its start."""

    peak_memory_mb: float
    cpu_s: float


class Launcher:
    """The processes by name. As a context manager it ends all of them on leaving."""

    def __init__(self, directory: str) -> None:
        self.directory = directory
        self.by_name: dict[str, Popen] = {}
        self.started_s_by_name: dict[str, float] = {}

    def __enter__(self) -> Self:
        # An end by a signal must leave through ``__exit__`` too.
        for number in (SIGTERM, SIGINT):
            signal(number, _exit_on_signal)
        return self

    def __exit__(self, *error: object) -> None:
        for number in (SIGTERM, SIGINT):
            signal(number, lambda *_: None)
        self.end_all()

    def start(self, name: str, *command: str) -> None:
        """Start ``command``; its output goes to files named after the process."""
        out = self._log(name, "out")
        error = self._log(name, "err")
        with out, error:
            self.by_name[name] = Popen(
                command,
                stdout=out,
                stderr=error,
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )
        self.started_s_by_name[name] = monotonic()

    def address_of(self, name: str) -> str:
        """Return the first line that a process wrote, its address.

        :raises ProcessFailedError: if it ends or stays silent.
        """
        until_s = monotonic() + ADDRESS_LIMIT_S
        while monotonic() < until_s:
            with open(self._path(name, "out")) as file:
                line = file.readline()
            if line.endswith("\n"):
                return line.strip()
            if self.by_name[name].poll() is not None:
                break
            sleep(POLL_S)
        raise ProcessFailedError(f"{name} gave no address: {self.last_words(name)}")

    def is_running(self, name: str) -> bool:
        """Return whether the process has not ended."""
        return self.by_name[name].poll() is None

    def last_words(self, name: str) -> str:
        """Return the last lines that a process wrote to its error output."""
        with open(self._path(name, "err"), errors="replace") as file:
            return "".join(file.readlines()[-5:]).strip()

    def terminate(self, name: str) -> None:
        """Send SIGTERM."""
        self.by_name[name].send_signal(SIGTERM)

    def kill(self, name: str) -> None:
        """Send SIGKILL and wait for the end."""
        self.by_name[name].send_signal(SIGKILL)
        self.by_name[name].wait()

    def pause(self, name: str) -> None:
        """Send SIGSTOP."""
        self.by_name[name].send_signal(SIGSTOP)

    def resume(self, name: str) -> None:
        """Send SIGCONT."""
        self.by_name[name].send_signal(SIGCONT)

    def wait(self, name: str, limit_s: float) -> int:
        """Wait for the end of a process and return its exit code.

        :raises ProcessFailedError: if it has not ended after ``limit_s`` seconds.
        """
        until_s = monotonic() + limit_s
        while monotonic() < until_s:
            code = self.by_name[name].poll()
            if code is not None:
                return code
            sleep(POLL_S)
        raise ProcessFailedError(f"{name} did not end within {limit_s} s")

    def use_of(self, name: str) -> Use:
        """Return what a running process uses; zeros for one that has ended."""
        try:
            return _read_use(self.by_name[name].pid)
        except (OSError, IndexError):
            return Use(0.0, 0.0)

    def end_all(self) -> None:
        """End every process, whatever state it is in."""
        for process in self.by_name.values():
            if process.poll() is None:
                process.send_signal(SIGKILL)
        for process in self.by_name.values():
            try:
                process.wait(timeout=5)
            except TimeoutExpired:
                sys.stderr.write(f"process {process.pid} does not end\n")

    def _log(self, name: str, stream: str) -> IO[bytes]:
        return open(self._path(name, stream), "ab")

    def _path(self, name: str, stream: str) -> str:
        return os.path.join(self.directory, f"{name}.{stream}")


def run_to_end(
    command: tuple[str, ...], limit_s: float, clock: Callable[[], float] = monotonic
) -> tuple[int, str]:
    """Run ``command`` and return its exit code and what it wrote."""
    with TemporaryFile("w+") as output:
        process = Popen(command, stdout=output, stderr=output)
        until_s = clock() + limit_s
        while process.poll() is None and clock() < until_s:
            sleep(POLL_S)
        if process.poll() is None:
            process.kill()
            process.wait()
        output.seek(0)
        return process.returncode, output.read()


def _exit_on_signal(number: int, frame: object) -> None:
    raise SystemExit(128 + number)


def _die_with_parent() -> None:
    # Covers a launcher that is itself killed without notice.
    CDLL(None).prctl(PR_SET_PDEATHSIG, SIGKILL)


def _read_use(pid: int) -> Use:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status") as file:
        peak = [line for line in file if line.startswith("VmHWM:")]
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return Use(int(peak[0].split()[1]) * 1024 / BYTES_PER_MB, cpu_s)
