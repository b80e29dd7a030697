"""The work submitted to the system, against which a history is checked."""

from collections.abc import Callable
from typing import NamedTuple


class Expectation(NamedTuple):
    """The number of batch tasks by job, and the jobs that need not finish.

    ``job_of`` returns the job of a task id, or of any other name that begins with the job's.
    """

    tasks_by_job: dict[str, int]
    job_of: Callable[[str], str]
    unfinished_jobs: frozenset[str] = frozenset()
