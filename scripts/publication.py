"""What the demonstration publishes beside the examples: jobs that run once, and a probe service."""

import os
from shutil import copytree

from laburnumswitch.version.reading import read_paths

from laburnumswitch.declaration import Configuration
from laburnumswitch.exceptions import ProblemsFound
from scripts.launcher import ProcessFailedError

PROBE_HOST = "probe.demo"
SECOND_PROBE_HOST = "probe-2.demo"
FILE_NAME = "demo.laburnumswitch.yaml"
LOADING_TASKS = 60
FORECAST_TASKS = 24
FAILING_JOB = "failing-everywhere"
IMPOSSIBLE_JOB = "never-fitting"

DOCUMENT = """\
kind: team
name: demo
quota: {{cpu: 400, memory: 1000GB}}
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
name: demo-loading
team: demo
command: [plan-loads]
cpu: 2
memory: 4GB
tasks: {loading}
run_time: 12s
checkpointable: true
---
kind: job
name: demo-forecast
team: demo
command: [forecast]
cpu: 1
memory: 2GB
tasks: {forecast}
run_time: 5s
urgent: true
---
kind: job
name: {failing}
team: demo
command: [fail]
cpu: 1
memory: 1GB
tasks: 2
run_time: 5s
---
kind: job
name: {impossible}
team: demo
command: [simulate]
cpu: 300
memory: 1GB
run_time: 5s
"""


class Publication:
    """The folder that is published: a copy of the examples and the demonstration's own file."""

    def __init__(self, directory: str, examples: str) -> None:
        self.directory = os.path.join(directory, "declarations")
        if os.path.isdir(examples):
            copytree(examples, self.directory)
        else:
            os.mkdir(self.directory)
        self.write((PROBE_HOST,))

    def write(self, probe_hosts: tuple[str, ...]) -> None:
        """Write the demonstration's file with the hosts of its probe service."""
        text = DOCUMENT.format(
            hosts=", ".join(probe_hosts),
            loading=LOADING_TASKS,
            forecast=FORECAST_TASKS,
            failing=FAILING_JOB,
            impossible=IMPOSSIBLE_JOB,
        )
        with open(os.path.join(self.directory, FILE_NAME), "w") as file:
            file.write(text)

    def read(self) -> Configuration:
        """Return what the folder declares.

        :raises ProcessFailedError: if it is refused.
        """
        configuration = read_paths((self.directory,))
        if isinstance(configuration, ProblemsFound):
            raise ProcessFailedError(configuration.describe())
        return configuration
