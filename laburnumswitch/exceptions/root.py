"""Base class of all failures."""

from dataclasses import dataclass
from dataclasses import fields


@dataclass(frozen=True)
class Failure:
    """Base class of all failures."""

    @property
    def tag(self) -> str:
        """Return the name of the failure, as used in logs, metrics and JSON answers."""
        return type(self).__name__

    def describe(self) -> str:
        """Return one readable line with the tag and every field."""
        parts = [f"{field.name}={getattr(self, field.name)}" for field in fields(self)]
        return f"{self.tag}: {', '.join(parts)}" if parts else self.tag


def did_you_mean(near: str) -> str:
    """Return a suggestion to append to a message, empty if there is no similar name."""
    return f", did you mean {near!r}?" if near else ""
