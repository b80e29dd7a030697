"""Sums of what each organisation has running over all workers.

The sums are kept up where runs begin and end, since a planning pass decides about thousands of
steps. Nothing is stored: a new owner adopts the runs that the workers report, and until all of them
are known each waiting task that an earlier owner may have started counts as running.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.jobs import Job
from laburnumswitch.process.dispatch.quota import NOTHING_RUNS
from laburnumswitch.process.dispatch.quota import OrganisationTotal

NO_JOBS: Mapping[str, Job] = {}


class OrganisationUsage:
    """Sums by organisation. Runs of jobs without an organisation count for none.

    :ivar total_by_organisation: holds no organisation of which nothing runs.
    """

    def __init__(self) -> None:
        self.total_by_organisation: dict[str, OrganisationTotal] = {}
        self._run_by_key: dict[tuple[str, TaskKey], tuple[str, Step]] = {}
        # Runs that workers report, and that the owner stops without adopting them.
        self._unwanted_by_worker: dict[str, set[TaskKey]] = {}
        # Organisation and steps of jobs that had ended before this owner's term, and whose runs may
        # still be reported.
        self._ended_by_job_id: dict[str, tuple[str, tuple[Step, ...]]] = {}

    def add_run(self, worker_id: str, task: TaskKey, organisation: str, step: Step) -> None:
        """Add a run that may exist on a worker, in place of an earlier one of its task there."""
        if not organisation:
            return
        self.remove_run(worker_id, task)
        self._unwanted_by_worker.get(worker_id, set()).discard(task)
        self._run_by_key[worker_id, task] = (organisation, step)
        total = self.total_by_organisation.get(organisation, NOTHING_RUNS)
        self.total_by_organisation[organisation] = total.plus_tasks(step, 1)

    def remove_run(self, worker_id: str, task: TaskKey) -> None:
        """Remove a run that certainly no longer exists, if it is counted."""
        entry = self._run_by_key.pop((worker_id, task), None)
        if entry is None:
            return
        organisation, step = entry
        total = self.total_by_organisation.pop(organisation).plus_tasks(step, -1)
        if total.runs:
            self.total_by_organisation[organisation] = total

    def organisation_of(self, worker_id: str, task: TaskKey) -> str:
        """Return the organisation of a counted run, empty if it counts for none."""
        entry = self._run_by_key.get((worker_id, task))
        return entry[0] if entry else ""

    def set_unwanted(
        self, worker_id: str, tasks: Iterable[TaskKey] = (), jobs_by_id: Mapping[str, Job] = NO_JOBS
    ) -> None:
        """Replace the runs that a worker reports, and that the owner stops without adopting them.

        These are runs of jobs that have ended, or of tasks that run elsewhere or are done.

        :param tasks: their tasks; empty once they have certainly ended.
        """
        step_by_task = {task: self._find_step(task, jobs_by_id) for task in tasks}
        for task in self._unwanted_by_worker.pop(worker_id, ()):
            self.remove_run(worker_id, task)
        for task, found in step_by_task.items():
            if found is not None:
                self.add_run(worker_id, task, *found)
        if step_by_task:
            self._unwanted_by_worker[worker_id] = set(step_by_task)

    def note_ended(self, submission: Submission) -> None:
        """Note a job that had ended before this owner's term, and of which runs may remain."""
        if submission.organisation:
            job = (submission.organisation, submission.steps)
            self._ended_by_job_id[submission.job_id] = job

    def forget_ended(self) -> None:
        """Forget the jobs of which no runs remain, once all runs of earlier owners are known."""
        unwanted = {task.job_id for tasks in self._unwanted_by_worker.values() for task in tasks}
        for job_id in self._ended_by_job_id.keys() - unwanted:
            del self._ended_by_job_id[job_id]

    def _find_step(self, task: TaskKey, jobs_by_id: Mapping[str, Job]) -> tuple[str, Step] | None:
        job = jobs_by_id.get(task.job_id)
        if job is not None:
            organisation, steps = job.submission.organisation, job.submission.steps
        else:
            organisation, steps = self._ended_by_job_id.get(task.job_id, ("", ()))
        return (organisation, steps[task.step]) if task.step < len(steps) else None


def unknown_totals(
    jobs: Iterable[Job],
    wall_s: float,
    knows_runs: Callable[[Job, Step], bool] = lambda job, step: False,
) -> dict[str, OrganisationTotal]:
    """Return by organisation the waiting tasks that an earlier owner may have started.

    Steps whose predecessors are not done count as well: the earlier owner may have known of ends
    that it had not stored yet. Occurrences that are not due count for nothing.

    :param wall_s: Unix time in seconds.
    :param knows_runs: whether all runs of a step that may exist are known.
    """
    totals: dict[str, OrganisationTotal] = {}
    for job in jobs:
        organisation = job.submission.organisation
        if not (organisation and job.may_have_unknown_runs) or job.is_final():
            continue
        for occurrence in job.occurrences:
            if occurrence.due_s > wall_s and job.submission.occurrences:
                break
            for step_state in occurrence.steps:
                if knows_runs(job, step_state.step):
                    continue
                total = totals.get(organisation, NOTHING_RUNS)
                # Members of a gang that is done may still run, and count twice in the steps.
                waiting = max(0, step_state.waiting_count())
                totals[organisation] = total.plus_tasks(step_state.step, waiting)
    return totals
