"""Occurrences of a job, which are made when they come due.

Load pattern: a schedule with an occurrence a minute for a year, in a submission of a few bytes. The
owner keeps those that are due and not done; of the others it knows how many there are.
"""

from bisect import insort
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from laburnumswitch.process.dispatch.job_spec import Submission
from laburnumswitch.process.dispatch.step_state import StepState

# Maximum number of steps in the occurrences of one job that are due and not done. Further ones are
# made once earlier ones are done.
MAX_LIVE_STEPS = 256


class Occurrence:
    """One execution of a job's steps; it may start from the Unix time ``due_s`` on."""

    __slots__ = ("number", "due_s", "steps")

    def __init__(self, submission: Submission, number: int) -> None:
        self.number = number
        self.due_s = due_s(submission, number)
        self.steps = [
            StepState(step, submission.job_id, number, index)
            for index, step in enumerate(submission.steps)
        ]

    def ready_steps(self) -> Iterator[StepState]:
        """Return the steps that have waiting tasks and whose predecessors are done."""
        for step_state in self.steps:
            if step_state.has_waiting() and all(
                self.steps[n].is_done() for n in step_state.step.after
            ):
                yield step_state

    def is_done(self) -> bool:
        """Return whether all steps are done."""
        return all(step_state.is_done() for step_state in self.steps)

    def is_running(self) -> bool:
        """Return whether any task has an active run."""
        return any(step_state.active_count for step_state in self.steps)


class MadeOccurrences(NamedTuple):
    """Which occurrences of a schedule are done, as it is stored.

    :ivar below: all occurrences with a lower number have come due.
    :ivar undone: numbers of those of them that are not done.
    :ivar done_above: numbers of occurrences from ``below`` on that are done.
    """

    below: int = 0
    undone: tuple[int, ...] = ()
    done_above: tuple[int, ...] = ()


class Occurrences:
    """The occurrences of one job.

    A job without a schedule has a single one, which exists until the job has ended. Iterating
    returns those that exist, in the order of their numbers.

    :ivar count: number of all occurrences.
    """

    def __init__(self, submission: Submission) -> None:
        self.count = max(1, submission.occurrences)
        self._submission = submission
        self._live: list[Occurrence] = []
        self._live_by_number: dict[int, Occurrence] = {}
        # All occurrences below this number were made.
        self._made_below = 0
        # Numbers from there on that are done, as workers have reported.
        self._done_above: set[int] = set()
        if not self._is_scheduled():
            self._make(0)
            self._made_below = 1

    def __iter__(self) -> Iterator[Occurrence]:
        return iter(self._live)

    def __len__(self) -> int:
        return len(self._live)

    def __getitem__(self, index: int) -> Occurrence:
        return self._live[index]

    def find(self, number: int) -> Occurrence | None:
        """Return an occurrence, ``None`` if it is done or there is none with this number.

        One that was not due here is made: an earlier owner with another clock may have started it.
        """
        occurrence = self._live_by_number.get(number)
        if occurrence is None and self._is_unmade(number):
            occurrence = self._make(number)
        return occurrence

    def make_due(self, wall_s: float, has_room: bool) -> None:
        """Make the occurrences that have come due, as far as there is room for them.

        :param wall_s: Unix time in seconds.
        :param has_room: whether there is memory for more than one.
        """
        while self._made_below < self.count and due_s(self._submission, self._made_below) <= wall_s:
            if self._made_below in self._done_above:
                self._done_above.discard(self._made_below)
            elif self._made_below not in self._live_by_number:
                if self._live and not (has_room and self._has_room()):
                    return
                self._make(self._made_below)
            self._made_below += 1

    def next_due_s(self) -> float | None:
        """Return the Unix time at which the next one is made, ``None`` if none is left."""
        if self._made_below >= self.count:
            return None
        return due_s(self._submission, self._made_below)

    def drop_done(self) -> list[Occurrence]:
        """Remove the occurrences of a schedule that are done and of which nothing runs."""
        if not self._is_scheduled():
            return []
        dropped = [each for each in self._live if each.is_done() and not each.is_running()]
        for occurrence in dropped:
            self._live.remove(occurrence)
            del self._live_by_number[occurrence.number]
            if occurrence.number >= self._made_below:
                self._done_above.add(occurrence.number)
        return dropped

    def are_all_done(self) -> bool:
        """Return whether no occurrence is left to do."""
        unmade = self.count - self._made_below - len(self._done_above)
        live_above = sum(each.number >= self._made_below for each in self._live)
        return unmade == live_above and all(each.is_done() for each in self._live)

    def describe_made(self) -> MadeOccurrences:
        """Return which occurrences are done, for storage."""
        undone = [each.number for each in self._live if each.number < self._made_below]
        return MadeOccurrences(self._made_below, tuple(undone), tuple(sorted(self._done_above)))

    def restore_made(self, made: MadeOccurrences) -> None:
        """Apply what is stored of a schedule that was just loaded.

        :raises ValueError: if there are no such occurrences.
        """
        numbers = (*made.undone, *made.done_above)
        if not 0 <= made.below <= self.count or not all(0 <= n < self.count for n in numbers):
            raise ValueError(f"the job has only {self.count} occurrences")
        self._made_below = made.below
        self._done_above = {number for number in made.done_above if number >= made.below}
        for number in made.undone:
            if number not in self._live_by_number:
                self._make(number)

    def done_numbers(self) -> Iterable[int]:
        """Return the numbers of all occurrences that are done and were removed."""
        made = range(self._made_below)
        return (*(n for n in made if n not in self._live_by_number), *sorted(self._done_above))

    def clear(self) -> None:
        """Remove all occurrences of a job that has ended."""
        self._live.clear()
        self._live_by_number.clear()
        self._made_below = self.count

    def _is_scheduled(self) -> bool:
        return self._submission.occurrences > 0

    def _is_unmade(self, number: int) -> bool:
        return self._made_below <= number < self.count and number not in self._done_above

    def _has_room(self) -> bool:
        return (len(self._live) + 1) * max(1, len(self._submission.steps)) <= MAX_LIVE_STEPS

    def _make(self, number: int) -> Occurrence:
        occurrence = Occurrence(self._submission, number)
        self._live_by_number[number] = occurrence
        insort(self._live, occurrence, key=lambda each: each.number)
        return occurrence


def due_s(submission: Submission, number: int) -> float:
    """Return the Unix time at which an occurrence may start."""
    if submission.occurrences <= 0:
        return submission.submitted_s
    return submission.first_due_s + number * submission.interval_s
