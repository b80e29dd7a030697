"""Output and exit codes of commands."""

import sys
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from datetime import datetime
from datetime import UTC
from typing import Any
from typing import NoReturn

import click
from msgspec.json import encode

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConfigurationChanged
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.exceptions import ZoneChanged

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5

MAX_UNIX_TIME_S = 253_402_300_799
COLUMN_GAP = "  "

Row = Mapping[str, Any]


def print_rows(rows: Sequence[Row], as_json: bool) -> None:
    """Print rows as a text table or as one JSON object."""
    if as_json:
        print_json({"rows": list(rows)})
        return
    columns = _column_names(rows)
    if not columns:
        click.echo("none")
        return
    lines = [[column.replace("_", " ").upper() for column in columns]]
    lines += [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    numeric = [_is_numeric(rows, column) for column in columns]
    for line in lines:
        click.echo(_format_line(line, widths, numeric))


def print_json(value: object) -> None:
    """Print a value as one line of JSON."""
    click.echo(encode(value).decode())


def format_time(wall_s: float) -> str:
    """Format Unix time as ISO 8601 in UTC; empty for 0 (not set) and out-of-range values."""
    if not 0 < wall_s < MAX_UNIX_TIME_S:
        return ""
    return datetime.fromtimestamp(wall_s, UTC).isoformat(timespec="milliseconds")[:-6] + "Z"


def warn(failure: Failure) -> None:
    """Print a failure as a warning."""
    click.echo(f"warning: {failure.describe()}", err=True)


def fail(failure: Failure, as_json: bool = False) -> NoReturn:
    """Print a failure and exit with its exit code."""
    if as_json:
        report = {"failure": failure.tag, "message": failure.describe()}
        click.echo(encode(report).decode(), err=True)
    else:
        click.echo(failure.describe(), err=True)
    sys.exit(exit_code(failure))


def exit_code(failure: Failure) -> int:
    """Return the exit code of a failure, by which scripts distinguish outcomes."""
    if isinstance(failure, Conflict | ConfigurationChanged | ZoneChanged):
        return EXIT_CONFLICT
    if isinstance(failure, Unavailable | Throttled | ConnectFailed):
        return EXIT_UNAVAILABLE
    if isinstance(failure, OutcomeUnknown | AnswerLost):
        return EXIT_UNKNOWN
    return EXIT_FAILURE


def _column_names(rows: Iterable[Row]) -> list[str]:
    return list(dict.fromkeys(column for row in rows for column in row))


def _is_numeric(rows: Iterable[Row], column: str) -> bool:
    values = [row[column] for row in rows if column in row]
    return all(isinstance(value, int | float) and not isinstance(value, bool) for value in values)


def _format_line(line: list[str], widths: list[int], numeric: list[bool]) -> str:
    cells = [
        text.rjust(width) if align_right else text.ljust(width)
        for text, width, align_right in zip(line, widths, numeric, strict=True)
    ]
    return COLUMN_GAP.join(cells).rstrip()


def _format_cell(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, str):
        # Control characters from a remote host must not reach the terminal.
        return "".join(character if character.isprintable() else "?" for character in value)
    return encode(value).decode()
