"""What was asked of the system, for the judge."""

from collections.abc import Callable
from typing import NamedTuple


class Expectation(NamedTuple):
    """The batch tasks of each job, and the jobs that are not to be finished.

    ``job_of`` tells the job of a task id, or of any name that begins with the job's.
    """

    tasks_by_job: dict[str, int]
    job_of: Callable[[str], str]
    unfinished_jobs: frozenset[str] = frozenset()
