"""Contains unexpected errors in the data of one job, so that they do not end what serves all.

Load pattern: a stored job on which each owner fails in the same way. The error ended the term of
one owner after the other, and no job ran any more. Such a job is set aside for the rest of the
term: none of its tasks is started. It stays stored, its state is answered and it can be cancelled.
The next owner tries it again.
"""

from collections.abc import Callable
from typing import Any

from laburnumswitch.process.observing.decisions import DecisionLog


class JobFaults:
    """The jobs that are set aside.

    :ivar count: number of errors.
    :ivar operation_by_id: what failed first, by job id.
    """

    def __init__(self, log: DecisionLog, epoch: int, set_aside: Callable[[str], None]) -> None:
        self.count = 0
        self.operation_by_id: dict[str, str] = {}
        self._log = log
        self._epoch = epoch
        self._set_aside = set_aside

    def note(self, job_id: str, operation: str) -> None:
        """Set a job aside because of the exception that is being handled, and log it.

        :param operation: what failed, for the log.
        """
        self.count += 1
        self._log.note_error("job_set_aside", job_id, operation=operation, epoch=self._epoch)
        self.operation_by_id.setdefault(job_id, operation)
        self._set_aside(job_id)

    def set_aside(self, job_id: str, operation: str) -> None:
        """Set a job aside whose stored state cannot be read."""
        self.count += 1
        self._log.note("job_set_aside", job_id, operation=operation, epoch=self._epoch)
        self.operation_by_id.setdefault(job_id, operation)
        self._set_aside(job_id)

    def holds(self, job_id: str) -> bool:
        """Return whether a job is set aside."""
        return job_id in self.operation_by_id

    def forget(self, job_id: str) -> None:
        """Forget a job whose rows are removed."""
        self.operation_by_id.pop(job_id, None)

    def contain(
        self, job_id: str, operation: str, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Run a function that concerns one job; an unexpected error sets the job aside."""
        try:
            function(*arguments)
        except Exception:
            self.note(job_id, operation)
