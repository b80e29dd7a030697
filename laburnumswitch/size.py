"""Amounts of CPU, memory and accelerators."""

from typing import NamedTuple


class Size(NamedTuple):
    """Resources that a task requires or that a worker provides."""

    cpu_millis: int
    memory_mb: int
    accelerators: int = 0

    def plus(self, other: "Size") -> "Size":
        """Return the sum of both sizes."""
        return Size(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """Return the difference, whose components can be negative."""
        return Size(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Size":
        """Return the size of ``count`` equal tasks."""
        return Size(self.cpu_millis * count, self.memory_mb * count, self.accelerators * count)

    def fits(self, available: "Size") -> bool:
        """Return whether no component exceeds that of ``available``."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


# No resources.
ZERO = Size(0, 0, 0)


def count_fitting(size: Size, used: Size, limit: Size, count: int) -> int:
    """Return how many tasks of one size, up to ``count``, fit a limit beside what is used.

    None fit while any component of what is used exceeds the limit.
    """
    for part, used_part, limit_part in zip(size, used, limit, strict=True):
        left = limit_part - used_part
        if left < 0:
            return 0
        if part:
            count = min(count, left // part)
    return count
