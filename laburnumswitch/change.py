"""What two configurations differ in."""

from typing import Literal
from typing import NamedTuple


class FieldChange(NamedTuple):
    """One field of a declaration before and after, both as text."""

    field: str
    before: str
    after: str


class Change(NamedTuple):
    """One declaration that was added, removed or changed; ``fields`` only where it changed."""

    kind: Literal["service", "job", "team"]
    name: str
    what: Literal["added", "removed", "changed"]
    fields: tuple[FieldChange, ...] = ()

    def describe(self) -> str:
        """Return one line for people."""
        fields = ", ".join(f"{part.field} {part.before} -> {part.after}" for part in self.fields)
        return f"{self.what} {self.kind} {self.name}" + (f": {fields}" if fields else "")
