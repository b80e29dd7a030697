"""Amounts of processor, memory and accelerators."""

from typing import NamedTuple


class Size(NamedTuple):
    """What a task needs or a worker holds."""

    cpu_millis: int
    memory_mb: int
    accelerators: int = 0

    def plus(self, other: "Size") -> "Size":
        """Return the sum."""
        return Size(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """Return the difference, which may have negative parts."""
        return Size(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: "Size") -> bool:
        """Return whether every part is at most that of ``room``."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


ZERO = Size(0, 0, 0)
