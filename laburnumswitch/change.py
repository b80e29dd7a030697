"""Differences between two configurations."""

from typing import Literal
from typing import NamedTuple


class FieldChange(NamedTuple):
    """Change of one field, with both values as JSON text."""

    field: str
    before: str
    after: str


class Change(NamedTuple):
    """An added, removed or changed declaration; ``fields`` is empty unless it changed."""

    kind: Literal["service", "job", "team"]
    name: str
    what: Literal["added", "removed", "changed"]
    fields: tuple[FieldChange, ...] = ()

    def describe(self) -> str:
        """Return a one-line summary."""
        fields = ", ".join(f"{part.field} {part.before} -> {part.after}" for part in self.fields)
        return f"{self.what} {self.kind} {self.name}" + (f": {fields}" if fields else "")
