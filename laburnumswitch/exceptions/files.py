"""What is wrong in settings, key and declaration files."""

from dataclasses import dataclass

from laburnumswitch.exceptions.root import did_you_mean
from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class FileProblem(Failure):
    """Root of what is wrong in a file; lines and columns count from 1, 0 where there is none."""

    path: str
    line: int
    column: int
    field: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.tag

    def describe(self) -> str:
        """Return one line for people: the place, the field and what is wrong."""
        place = f"{self.path}:{self.line}:{self.column}" if self.line else self.path
        field = f" {self.field}:" if self.field else ""
        return f"{place}:{field} {self.explain()} ({self.tag})"


@dataclass(frozen=True)
class FileUnreadable(FileProblem):
    """A file or folder is missing, cannot be opened, or is too large."""

    reason: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.reason


@dataclass(frozen=True)
class NotUtf8(FileProblem):
    """The file's bytes are not UTF-8."""

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "the file is not UTF-8"


@dataclass(frozen=True)
class NotYaml(FileProblem):
    """The file does not parse, or uses a part of YAML that is refused here."""

    reason: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.reason


@dataclass(frozen=True)
class DuplicateKey(FileProblem):
    """A mapping has the same key twice."""

    first_line: int

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return f"already given on line {self.first_line}"


@dataclass(frozen=True)
class UnknownField(FileProblem):
    """A key that no field has; ``near`` is a known one that looks like it, or empty."""

    near: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "unknown field" + did_you_mean(self.near)


@dataclass(frozen=True)
class MissingField(FileProblem):
    """A field without a default is not given."""

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "required and not given"


@dataclass(frozen=True)
class InvalidValue(FileProblem):
    """A value has the wrong type, unit or range."""

    reason: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return self.reason


@dataclass(frozen=True)
class DuplicateName(FileProblem):
    """Two declarations claim the same name or host."""

    name: str
    other: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return f"{self.name!r} is already declared at {self.other}"


@dataclass(frozen=True)
class UnknownName(FileProblem):
    """A declaration refers to a team, job, zone or kind that does not exist."""

    name: str
    near: str

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return f"{self.name!r} does not exist" + did_you_mean(self.near)


@dataclass(frozen=True)
class CyclicOrder(FileProblem):
    """Jobs wait for each other in a circle."""

    cycle: tuple[str, ...]

    def explain(self) -> str:
        """Return what is wrong, without the place."""
        return "jobs wait for each other: " + " -> ".join(self.cycle)


@dataclass(frozen=True)
class ProblemsFound(Failure):
    """A set of files was refused as a whole."""

    problems: tuple[FileProblem, ...]

    def describe(self) -> str:
        """Return one line for each problem."""
        return "\n".join(problem.describe() for problem in self.problems)
