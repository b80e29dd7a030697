"""Starts processes, signals them by process id, and kills all of them on exit."""

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
POLL_INTERVAL_S = 0.02
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ADDRESS_TIMEOUT_S = 15.0
BYTES_PER_MB = 1_000_000


class ProcessFailedError(Exception):
    """A process failed or did not do in time what was expected of it."""


class ProcessUsage(NamedTuple):
    """Resource usage of a process: peak memory in MB and CPU seconds since its start."""

    peak_memory_mb: float
    cpu_s: float


class Launcher:
    """Set of named processes; as a context manager it kills all of them on exit."""

    def __init__(self, directory: str) -> None:
        self.directory = directory
        self.process_by_name: dict[str, Popen] = {}
        self.started_s_by_name: dict[str, float] = {}

    def __enter__(self) -> Self:
        # Turns the signals into SystemExit, so that ``__exit__`` runs for them too.
        for number in (SIGTERM, SIGINT):
            signal(number, _exit_on_signal)
        return self

    def __exit__(self, *error: object) -> None:
        for number in (SIGTERM, SIGINT):
            signal(number, lambda *_: None)
        self.kill_all()

    def start(self, name: str, *command: str) -> None:
        """Start ``command`` with its output redirected to files named after the process."""
        out = self._log(name, "out")
        error = self._log(name, "err")
        with out, error:
            self.process_by_name[name] = Popen(
                command,
                stdout=out,
                stderr=error,
                start_new_session=True,
                preexec_fn=_kill_on_parent_exit,
            )
        self.started_s_by_name[name] = monotonic()

    def address_of(self, name: str) -> str:
        """Wait for the address that a process prints as its first line, and return it.

        :raises ProcessFailedError: if the process ends or prints nothing in time.
        """
        until_s = monotonic() + ADDRESS_TIMEOUT_S
        while monotonic() < until_s:
            with open(self._path(name, "out")) as file:
                line = file.readline()
            if line.endswith("\n"):
                return line.strip()
            if self.process_by_name[name].poll() is not None:
                break
            sleep(POLL_INTERVAL_S)
        raise ProcessFailedError(f"{name} did not print its address: {self.last_error_lines(name)}")

    def is_running(self, name: str) -> bool:
        """Return whether the process has not ended."""
        return self.process_by_name[name].poll() is None

    def last_error_lines(self, name: str) -> str:
        """Return the last lines of a process's standard error."""
        with open(self._path(name, "err"), errors="replace") as file:
            return "".join(file.readlines()[-5:]).strip()

    def terminate(self, name: str) -> None:
        """Send SIGTERM."""
        self.process_by_name[name].send_signal(SIGTERM)

    def kill(self, name: str) -> None:
        """Send SIGKILL and wait for the process to exit."""
        self.process_by_name[name].send_signal(SIGKILL)
        self.process_by_name[name].wait()

    def pause(self, name: str) -> None:
        """Send SIGSTOP."""
        self.process_by_name[name].send_signal(SIGSTOP)

    def resume(self, name: str) -> None:
        """Send SIGCONT."""
        self.process_by_name[name].send_signal(SIGCONT)

    def wait(self, name: str, timeout_s: float) -> int:
        """Wait for a process to exit and return its exit code.

        :raises ProcessFailedError: if it is still running after ``timeout_s`` seconds.
        """
        until_s = monotonic() + timeout_s
        while monotonic() < until_s:
            code = self.process_by_name[name].poll()
            if code is not None:
                return code
            sleep(POLL_INTERVAL_S)
        raise ProcessFailedError(f"{name} did not exit within {timeout_s} s")

    def usage_of(self, name: str) -> ProcessUsage:
        """Return the resource usage of a process, or zeros if it has ended."""
        try:
            return _read_usage(self.process_by_name[name].pid)
        except (OSError, IndexError):
            return ProcessUsage(0.0, 0.0)

    def kill_all(self) -> None:
        """Kill every process that is still running, paused ones included."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(SIGKILL)
        for process in self.process_by_name.values():
            try:
                process.wait(timeout=5)
            except TimeoutExpired:
                sys.stderr.write(f"process {process.pid} still runs after SIGKILL\n")

    def _log(self, name: str, stream: str) -> IO[bytes]:
        return open(self._path(name, stream), "ab")

    def _path(self, name: str, stream: str) -> str:
        return os.path.join(self.directory, f"{name}.{stream}")


def run_with_timeout(
    command: tuple[str, ...], timeout_s: float, clock: Callable[[], float] = monotonic
) -> tuple[int, str]:
    """Run ``command``, kill it on timeout, and return its exit code and output."""
    with TemporaryFile("w+") as output:
        process = Popen(command, stdout=output, stderr=output)
        until_s = clock() + timeout_s
        while process.poll() is None and clock() < until_s:
            sleep(POLL_INTERVAL_S)
        if process.poll() is None:
            process.kill()
            process.wait()
        output.seek(0)
        return process.returncode, output.read()


def _exit_on_signal(number: int, frame: object) -> None:
    raise SystemExit(128 + number)


def _kill_on_parent_exit() -> None:
    # The kernel kills the process if the launcher itself is killed and cannot clean up.
    CDLL(None).prctl(PR_SET_PDEATHSIG, SIGKILL)


def _read_usage(pid: int) -> ProcessUsage:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status") as file:
        peak = [line for line in file if line.startswith("VmHWM:")]
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return ProcessUsage(int(peak[0].split()[1]) * 1024 / BYTES_PER_MB, cpu_s)
