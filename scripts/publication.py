"""Declarations that the demonstration publishes: accelerated examples and some jobs of its own.

Schedules are removed, so that every job runs once per generation, and run times are shortened.
"""

import os
import re
from collections.abc import Callable
from shutil import copytree

from laburnumswitch.declaration import Configuration
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.units import decode_amount
from laburnumswitch.units import Seconds
from laburnumswitch.version.reading import read_paths
from scripts.launcher import ProcessFailedError

PROBE_HOST = "probe.demo"
SECOND_PROBE_HOST = "probe-2.demo"
FILE_NAME = "demo.laburnumswitch.yaml"
FAILING_JOB = "failing-everywhere"
IMPOSSIBLE_JOB = "never-fitting"
JOBS_THAT_DO_NOT_FINISH = frozenset((FAILING_JOB, IMPOSSIBLE_JOB))
RUN_TIME_DIVISOR = 500

DOCUMENT = """\
kind: team
name: demo
quota: {{cpu: 400, memory: 1TB}}
---
kind: service
name: probe
team: demo
hosts: [{hosts}]
replicas: 2
cpu: 0.1
memory: 100MB
command: [probe, --service-ms=1]
---
kind: job
name: demo-forecast
team: demo
command: [forecast]
cpu: 1
memory: 2GB
tasks: 24
run_time: 3s
urgent: true
generation: {generation}
---
kind: job
name: {failing}
team: demo
command: [fail]
cpu: 1
memory: 1GB
tasks: 2
run_time: 3s
---
kind: job
name: {impossible}
team: demo
command: [simulate]
cpu: 300
memory: 1GB
run_time: 3s
"""


class Publication:
    """Directory of the declarations to publish."""

    def __init__(self, directory: str, examples: str) -> None:
        self.directory = os.path.join(directory, "declarations")
        copytree(examples, self.directory)
        for path in _files_below(self.directory):
            _rewrite(path, accelerate_jobs)
        self.write((PROBE_HOST,), 1)

    def write(self, probe_hosts: tuple[str, ...], generation: int) -> None:
        """Write the demonstration's own file."""
        text = DOCUMENT.format(
            hosts=", ".join(probe_hosts),
            generation=generation,
            failing=FAILING_JOB,
            impossible=IMPOSSIBLE_JOB,
        )
        with open(os.path.join(self.directory, FILE_NAME), "w") as file:
            file.write(text)

    def write_second_version(self) -> None:
        """Declare a second probe host and the next generation of a job."""
        self.write((PROBE_HOST, SECOND_PROBE_HOST), 2)

    def read(self) -> Configuration:
        """Return the declared configuration.

        :raises ProcessFailedError: if the declarations are invalid.
        """
        configuration = read_paths((self.directory,))
        if isinstance(configuration, ProblemsFound):
            raise ProcessFailedError(configuration.describe())
        return configuration


def accelerate_jobs(text: str) -> str:
    """Return declarations without schedules and with run times divided by RUN_TIME_DIVISOR."""
    text = re.sub(r"(?m)^(schedule|time_zone):.*\n", "", text)
    return re.sub(r"(?m)^run_time: (.*)$", _shorten_run_time, text)


def _shorten_run_time(match: re.Match[str]) -> str:
    seconds = decode_amount(Seconds, match[1].strip()) / RUN_TIME_DIVISOR
    return f"run_time: {max(1, round(1000 * seconds))}ms"


def _files_below(directory: str) -> list[str]:
    return [os.path.join(folder, name) for folder, _, names in os.walk(directory) for name in names]


def _rewrite(path: str, change: Callable[[str], str]) -> None:
    with open(path) as file:
        text = file.read()
    with open(path, "w") as file:
        file.write(change(text))
