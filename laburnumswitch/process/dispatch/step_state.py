"""State of a step and of its tasks.

Load pattern: jobs with tens of thousands of tasks that no worker has room for. A task has an object
of its own only from its first use until it is done, so that a step that waits takes the same memory
whatever its width.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from itertools import islice
from math import exp
from typing import overload

from laburnumswitch.process.dispatch.job_spec import Step
from laburnumswitch.process.dispatch.job_spec import TaskKey

StepKey = tuple[str, int, int]

# Time constant of the moving average of whether there is room for a step, in seconds.
ROOM_WINDOW_S = 1.0
NO_RUNS: frozenset[int] = frozenset()
# Converts the flags of done tasks to the digits of a binary number.
DIGIT_BY_FLAG = bytes.maketrans(b"\0\1", b"01")
FLAG_BY_DIGIT = bytes.maketrans(b"01", b"\0\1")


class Task:
    """State of one task.

    :ivar active_run: number of the active run, 0 for none.
    :ivar last_run: highest number of a run; it never decreases.
    :ivar failed_runs: numbers of the runs that have failed.
    :ivar crashed_runs: numbers of the runs that may have crashed their workers.
    :ivar was_always_last_started: whether each of these was the last one that its worker started.
    :ivar checkpoint: last checkpoint, from which the next run resumes; empty for none.
    :ivar down_since_s: when its last run ended, on the owner's clock, ``None`` if it has never run.
        Only used for long-running tasks that are not running.
    """

    __slots__ = (
        "key",
        "is_done",
        "failed_runs",
        "crashed_runs",
        "was_always_last_started",
        "checkpoint",
        "active_run",
        "last_run",
        "worker_id",
        "down_since_s",
    )

    def __init__(self, key: TaskKey, is_done: bool = False) -> None:
        self.key = key
        self.is_done = is_done
        self.failed_runs: frozenset[int] = NO_RUNS
        self.crashed_runs: frozenset[int] = NO_RUNS
        self.was_always_last_started = True
        self.checkpoint = ""
        self.active_run = 0
        self.last_run = 0
        self.worker_id = ""
        self.down_since_s: float | None = None

    def is_waiting(self) -> bool:
        """Return whether the task is neither done nor running."""
        return not self.is_done and not self.active_run


class RoomShare:
    """Moving average of whether there is room for a step.

    :ivar share: share of the time for which there was room lately.
    """

    __slots__ = ("share", "_had_room", "_updated_s")

    def __init__(self) -> None:
        self.share = 0.0
        self._had_room = False
        self._updated_s: float | None = None

    def update(self, has_room: bool, now_s: float) -> None:
        """Record whether there is room now; it counts until the next update."""
        if self._updated_s is not None:
            weight = 1.0 - exp((self._updated_s - now_s) / ROOM_WINDOW_S)
            self.share += weight * (self._had_room - self.share)
        self._had_room = has_room
        self._updated_s = now_s


class StepState:
    """State of one step of one occurrence, with its tasks.

    :ivar key: job id, number of the occurrence and index of the step.
    :ivar done_count: number of tasks that are done.
    :ivar active_count: number of tasks with an active run.
    :ivar ready_since_s: since when the step has had tasks to start, on the owner's clock; since
        when the first of its waiting tasks has been down for long-running steps.
    :ivar room: for which share of the time workers had room for its tasks lately, as the planner
        saw it. Only used for long-running steps.
    :ivar first_ready_s: when the step first had tasks to start, for the log; ``None`` before.
    :ivar last_start_s: when the last task was started, for the log; ``None`` before.
    :ivar retry_after_s: best-effort steps that found no suitable worker are not planned before
        this time.
    """

    __slots__ = (
        "step",
        "key",
        "done_count",
        "active_count",
        "ready_since_s",
        "room",
        "first_ready_s",
        "last_start_s",
        "retry_after_s",
        "_task_by_index",
        "_done",
    )

    def __init__(self, step: Step, job_id: str, occurrence: int, index: int) -> None:
        self.step = step
        self.key: StepKey = (job_id, occurrence, index)
        self.done_count = 0
        self.active_count = 0
        self.ready_since_s = 0.0
        self.room = RoomShare()
        self.first_ready_s: float | None = None
        self.last_start_s: float | None = None
        self.retry_after_s = 0.0
        self._task_by_index: dict[int, Task] = {}
        # One flag for each task, 1 if it is done; ``None`` while none is.
        self._done: bytearray | None = None

    @property
    def tasks(self) -> Sequence[Task]:
        """Return all tasks by index; each gets its state when it is first accessed."""
        return _Tasks(self.step.count, self.task)

    def task_key(self, index: int) -> TaskKey:
        """Return the identifier of a task."""
        return TaskKey(*self.key, index)

    def task(self, index: int) -> Task:
        """Return the state of a task, by its index from 0."""
        task = self._task_by_index.get(index)
        if task is None:
            is_done = self._done is not None and bool(self._done[index])
            task = self._task_by_index[index] = Task(self.task_key(index), is_done)
        return task

    def known_tasks(self) -> Iterator[Task]:
        """Return the tasks that are not as at first, in no particular order."""
        return iter(self._task_by_index.values())

    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done_count == self.step.count

    def waiting(self) -> Iterator[Task]:
        """Return the tasks that are neither done nor running, by index.

        Tasks may be started and ended meanwhile.
        """
        for index in self._undone_indexes():
            task = self._task_by_index.get(index)
            if task is None or not task.active_run:
                yield self.task(index)

    def known_waiting(self) -> list[Task]:
        """Return the waiting tasks that are not as at first, by index."""
        waiting = [task for task in self._task_by_index.values() if task.is_waiting()]
        return sorted(waiting, key=lambda task: task.key.index)

    def longest_waiting(self, count: int) -> list[Task]:
        """Return the waiting tasks that have run before, and of the others the first ones.

        :param count: how many to return at least, if as many wait.
        """
        waiting = self.known_waiting()
        if len(waiting) < count:
            known = {task.key.index for task in waiting}
            others = (task for task in self.waiting() if task.key.index not in known)
            waiting.extend(islice(others, count - len(waiting)))
        return waiting

    def waiting_count(self) -> int:
        """Return the number of tasks that are neither done nor running."""
        return self.step.count - self.done_count - self.active_count

    def has_waiting(self) -> bool:
        """Return whether any task is neither done nor running."""
        return self.waiting_count() > 0

    def mark_done(self, task: Task) -> None:
        """Mark a task as done, or the whole gang that it belongs to."""
        if self.step.gang:
            self._done = bytearray(b"\1") * self.step.count
            self.done_count = self.step.count
            for member in list(self._task_by_index.values()):
                member.is_done = True
                self.forget_if_over(member)
        elif not task.is_done:
            task.is_done = True
            if self._done is None:
                self._done = bytearray(self.step.count)
            self._done[task.key.index] = 1
            self.done_count += 1
        self.forget_if_over(task)

    def forget_if_over(self, task: Task) -> None:
        """Drop the state of a task that is done and not running.

        That of a long-running task is kept, as its placement names its last run.
        """
        if task.is_done and not task.active_run and not self.step.long_running:
            self._task_by_index.pop(task.key.index, None)

    def done_bits(self) -> int:
        """Return the indexes of the tasks that are done, as a bit set."""
        if self._done is None:
            return 0
        return int(bytes(reversed(self._done)).translate(DIGIT_BY_FLAG), 2)

    def restore_done(self, bits: int) -> None:
        """Mark the tasks of a bit set as done, of a step that was just loaded.

        :raises ValueError: if it names tasks that the step does not have.
        """
        if bits < 0 or bits.bit_length() > self.step.count:
            raise ValueError(f"the step {self.key} has only {self.step.count} tasks")
        if bits:
            digits = f"{bits:0{self.step.count}b}".encode()
            self._done = bytearray(reversed(digits.translate(FLAG_BY_DIGIT)))
        self.done_count = bits.bit_count()

    def _undone_indexes(self) -> Iterator[int]:
        if self._done is None:
            # Some may become done meanwhile.
            yield from (n for n in range(self.step.count) if not (self._done and self._done[n]))
            return
        index = self._done.find(0)
        while index >= 0:
            yield index
            index = self._done.find(0, index + 1)


class _Tasks(Sequence[Task]):
    """The tasks of a step, which get their state when they are accessed."""

    def __init__(self, count: int, get_task: Callable[[int], Task]) -> None:
        self._count = count
        self._get_task = get_task

    @overload
    def __getitem__(self, index: int) -> Task: ...

    @overload
    def __getitem__(self, index: slice) -> list[Task]: ...

    def __getitem__(self, index: int | slice) -> Task | list[Task]:
        """Return a task, or those of a range of indexes."""
        if isinstance(index, slice):
            return [self._get_task(each) for each in range(self._count)[index]]
        return self._get_task(range(self._count)[index])

    def __len__(self) -> int:
        """Return the number of tasks."""
        return self._count
