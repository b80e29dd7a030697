"""Reads declaration files into one configuration, or reports every problem in them."""

import os
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from laburnumswitch.declaration import Configuration
from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.exceptions import MissingField
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.exceptions import UnknownName
from laburnumswitch.version.checking import ParsedDeclaration
from laburnumswitch.version.checking import validate_declarations
from laburnumswitch.version.fields import build_job
from laburnumswitch.version.fields import build_service
from laburnumswitch.version.fields import build_team
from laburnumswitch.version.fields import FIELDS_BY_KIND
from laburnumswitch.yamlfields import closest_name
from laburnumswitch.yamlfields import decode_fields
from laburnumswitch.yamlfile import parse_yaml
from laburnumswitch.yamlfile import read_file
from laburnumswitch.yamlfile import YamlDocument

FILE_NAME = "laburnumswitch.yaml"
MAX_FILES = 10_000

_BUILDER_BY_KIND: dict[str, Callable[[Any], Any]] = {
    "service": build_service,
    "job": build_job,
    "team": build_team,
}


class SourceFile(NamedTuple):
    """Contents of a declaration file, and the path to report problems under."""

    path: str
    content: bytes


def read_paths(paths: Iterable[str]) -> Configuration | ProblemsFound:
    """Read the given files.

    A folder stands for the files below it that are named ``laburnumswitch.yaml`` or
    ``*.laburnumswitch.yaml``; hidden folders are skipped.
    """
    files = []
    problems: list[FileProblem] = []
    for path in _collect_files(paths):
        content = read_file(path)
        if isinstance(content, FileUnreadable):
            problems.append(content)
        else:
            files.append(SourceFile(path, content))
    if not files and not problems:
        searched = ", ".join(paths)
        problems.append(FileUnreadable(searched, 0, 0, "", f"no {FILE_NAME} found"))
    if len(files) > MAX_FILES:
        problems.append(FileUnreadable(files[-1].path, 0, 0, "", f"more than {MAX_FILES} files"))
    return read_files(files, tuple(problems))


def read_files(
    files: Iterable[SourceFile], problems: tuple[FileProblem, ...] = ()
) -> Configuration | ProblemsFound:
    """Read a set of files into one configuration.

    :param problems: problems found earlier; if there are any, the result is ``ProblemsFound``.
    :return: a configuration without version and digest, sorted by name.
    """
    declarations: list[ParsedDeclaration] = []
    all_problems = list(problems)
    for file in files:
        parsed = parse_yaml(file.path, file.content)
        all_problems.extend(parsed.problems)
        if not parsed.documents and not parsed.problems:
            all_problems.append(
                InvalidValue(file.path, 1, 1, "", "the file contains no declarations")
            )
        for document in parsed.documents:
            item = _parse_declaration(document)
            if isinstance(item, ProblemsFound):
                all_problems.extend(item.problems)
            else:
                declarations.append(item)
    all_problems.extend(validate_declarations(tuple(declarations), all_parsed=not all_problems))
    if all_problems:
        return ProblemsFound(tuple(sorted(all_problems, key=_position_key)))
    return Configuration(
        services=_sorted_items(declarations, "service"),
        jobs=_sorted_items(declarations, "job"),
        teams=_sorted_items(declarations, "team"),
    )


def _collect_files(paths: Iterable[str]) -> list[str]:
    """Return the files to read, without duplicates that several paths lead to."""
    by_real_path: dict[str, str] = {}
    for path in paths:
        for file_path in _find_files(path) if os.path.isdir(path) else (path,):
            by_real_path.setdefault(os.path.realpath(file_path), os.path.normpath(file_path))
    return sorted(by_real_path.values())


def _find_files(path: str) -> Iterator[str]:
    for folder, subfolders, names in os.walk(path):
        subfolders[:] = [name for name in subfolders if not name.startswith(".")]
        for name in names:
            if name == FILE_NAME or name.endswith(f".{FILE_NAME}"):
                yield os.path.join(folder, name)


def _parse_declaration(document: YamlDocument) -> ParsedDeclaration | ProblemsFound:
    kind = document.value.get("kind") if isinstance(document.value, dict) else None
    if kind is None:
        position = document.value_position(("kind",))
        return ProblemsFound((MissingField(document.file_path, *position, "kind"),))
    if not isinstance(kind, str) or kind not in FIELDS_BY_KIND:
        position = document.value_position(("kind",))
        suggestion = closest_name(str(kind), FIELDS_BY_KIND)
        return ProblemsFound(
            (UnknownName(document.file_path, *position, "kind", str(kind), suggestion),)
        )
    fields = decode_fields(document, FIELDS_BY_KIND[kind])
    if isinstance(fields, ProblemsFound):
        return fields
    return ParsedDeclaration(kind, _BUILDER_BY_KIND[kind](fields), document)


def _sorted_items(declarations: list[ParsedDeclaration], kind: str) -> tuple:
    items = [declaration.item for declaration in declarations if declaration.kind == kind]
    return tuple(sorted(items, key=lambda item: item.name))


def _position_key(problem: FileProblem) -> tuple[str, int, int]:
    return (problem.path, problem.line, problem.column)
