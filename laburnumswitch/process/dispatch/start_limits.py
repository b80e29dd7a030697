"""How many tasks may be started on a worker and by an owner, whatever room there is.

Load pattern: jobs of tens of thousands of tasks that take no capacity, all of which fit on any
worker. Each run takes memory on the owner and part of each report of its worker, and each start a
connection until it is answered.
"""

from laburnumswitch.process.dispatch.fleet import Worker

# Maximum number of runs on one worker. Larger ones may have one for each tenth of a core.
MAX_RUNS_PER_WORKER = 1_024
SMALL_TASK_CPU_MILLIS = 100
# Maximum number of starts to one worker that are not answered yet. Those of a gang are sent
# together, and not held back.
MAX_PENDING_STARTS = 64
# Maximum number of runs of an owner for each MB of its VM's memory.
RUNS_PER_MB = 100


class StartLimits:
    """Number of the runs of an owner, and its bound.

    :ivar run_count: number of runs that may exist.
    :ivar max_runs: from how many on no more tasks are started.
    """

    def __init__(self, memory_mb: int) -> None:
        self.run_count = 0
        self.max_runs = memory_mb * RUNS_PER_MB

    def allow_start(self, worker: Worker) -> bool:
        """Return whether one more task may be started on a worker now."""
        return self.free_starts(worker) > 0 and len(worker.pending_starts) < MAX_PENDING_STARTS

    def free_starts(self, worker: Worker) -> int:
        """Return how many more runs a worker may have."""
        max_runs = max(MAX_RUNS_PER_WORKER, worker.listing.cpu_millis // SMALL_TASK_CPU_MILLIS)
        return min(max_runs - len(worker.runs_by_task), self.max_runs - self.run_count)
