"""Problems found in settings, key and declaration files."""

from dataclasses import dataclass

from laburnumswitch.exceptions.root import did_you_mean
from laburnumswitch.exceptions.root import Failure


@dataclass(frozen=True)
class FileProblem(Failure):
    """Base class of file problems; lines and columns start at 1, and are 0 if unknown."""

    path: str
    line: int
    column: int
    field: str

    def explain(self) -> str:
        """Return the problem without its location."""
        return self.tag

    def describe(self) -> str:
        """Return one readable line with the location, the field and the problem."""
        place = f"{self.path}:{self.line}:{self.column}" if self.line else self.path
        field = f" {self.field}:" if self.field else ""
        return f"{place}:{field} {self.explain()} ({self.tag})"


@dataclass(frozen=True)
class FileUnreadable(FileProblem):
    """A file or folder is missing, cannot be opened, or is too large."""

    reason: str

    def explain(self) -> str:
        """Return the problem without its location."""
        return self.reason


@dataclass(frozen=True)
class NotUtf8(FileProblem):
    """The file's bytes are not UTF-8 or, in a key file, not ASCII."""

    def explain(self) -> str:
        """Return the problem without its location."""
        return "the file is not UTF-8"


@dataclass(frozen=True)
class NotYaml(FileProblem):
    """The file is not valid YAML, or uses a feature of YAML that is not supported."""

    reason: str

    def explain(self) -> str:
        """Return the problem without its location."""
        return self.reason


@dataclass(frozen=True)
class DuplicateKey(FileProblem):
    """A mapping contains the same key twice."""

    first_line: int

    def explain(self) -> str:
        """Return the problem without its location."""
        return f"already given on line {self.first_line}"


@dataclass(frozen=True)
class UnknownField(FileProblem):
    """A key is not a known field; ``near`` is a similar field name, or empty."""

    near: str

    def explain(self) -> str:
        """Return the problem without its location."""
        return "unknown field" + did_you_mean(self.near)


@dataclass(frozen=True)
class MissingField(FileProblem):
    """A required field is missing."""

    def explain(self) -> str:
        """Return the problem without its location."""
        return "required and not given"


@dataclass(frozen=True)
class InvalidValue(FileProblem):
    """A value has the wrong type, unit or range."""

    reason: str

    def explain(self) -> str:
        """Return the problem without its location."""
        return self.reason


@dataclass(frozen=True)
class DuplicateName(FileProblem):
    """Two declarations use the same name or host."""

    name: str
    other: str

    def explain(self) -> str:
        """Return the problem without its location."""
        return f"{self.name!r} is already declared at {self.other}"


@dataclass(frozen=True)
class UnknownName(FileProblem):
    """A declaration refers to a team, job, zone or kind that does not exist."""

    name: str
    near: str

    def explain(self) -> str:
        """Return the problem without its location."""
        return f"{self.name!r} does not exist" + did_you_mean(self.near)


@dataclass(frozen=True)
class CyclicOrder(FileProblem):
    """The dependencies of jobs form a cycle."""

    cycle: tuple[str, ...]

    def explain(self) -> str:
        """Return the problem without its location."""
        return "jobs wait for each other: " + " -> ".join(self.cycle)


@dataclass(frozen=True)
class ProblemsFound(Failure):
    """A set of files was rejected because of one or more problems."""

    problems: tuple[FileProblem, ...]

    def describe(self) -> str:
        """Return one line for each problem."""
        return "\n".join(problem.describe() for problem in self.problems)
