"""Reads a set of declaration files into one configuration, or names every problem in them."""

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
from laburnumswitch.version.checking import check_set
from laburnumswitch.version.checking import Declared
from laburnumswitch.version.fields import build_job
from laburnumswitch.version.fields import build_service
from laburnumswitch.version.fields import build_team
from laburnumswitch.version.fields import FIELDS_BY_KIND
from laburnumswitch.yamlfields import decode_fields
from laburnumswitch.yamlfields import nearest
from laburnumswitch.yamlfile import read_file
from laburnumswitch.yamlfile import read_yaml
from laburnumswitch.yamlfile import YamlDocument

FILE_NAME = "laburnumswitch.yaml"
MAX_FILES = 10_000

_BUILD_BY_KIND: dict[str, Callable[[Any], Any]] = {
    "service": build_service,
    "job": build_job,
    "team": build_team,
}


class SourceFile(NamedTuple):
    """One declaration file: its path for the problems, and its bytes."""

    path: str
    content: bytes


def read_paths(paths: Iterable[str]) -> Configuration | ProblemsFound:
    """Read files, and folders for the files named ``FILE_NAME`` or ``*.FILE_NAME`` below them."""
    files = []
    problems: list[FileProblem] = []
    for path in _collect(paths):
        content = read_file(path)
        if isinstance(content, FileUnreadable):
            problems.append(content)
        else:
            files.append(SourceFile(path, content))
    if not files and not problems:
        where = ", ".join(paths)
        problems.append(FileUnreadable(where, 0, 0, "", f"no {FILE_NAME} found"))
    if len(files) > MAX_FILES:
        problems.append(FileUnreadable(files[-1].path, 0, 0, "", f"more than {MAX_FILES} files"))
    return read_files(files, tuple(problems))


def read_files(
    files: Iterable[SourceFile], problems: tuple[FileProblem, ...] = ()
) -> Configuration | ProblemsFound:
    """Read a set of files as a whole.

    :param problems: those already found; any makes the result ``ProblemsFound``.
    :return: a configuration without version and digest, sorted by name.
    """
    declared: list[Declared] = []
    found = list(problems)
    for file in files:
        parsed = read_yaml(file.path, file.content)
        found.extend(parsed.problems)
        if not parsed.documents and not parsed.problems:
            found.append(InvalidValue(file.path, 1, 1, "", "the file declares nothing"))
        for document in parsed.documents:
            item = _read_document(document)
            if isinstance(item, ProblemsFound):
                found.extend(item.problems)
            else:
                declared.append(item)
    found.extend(check_set(tuple(declared), complete=not found))
    if found:
        return ProblemsFound(tuple(sorted(found, key=_by_place)))
    return Configuration(
        services=_sorted_items(declared, "service"),
        jobs=_sorted_items(declared, "job"),
        teams=_sorted_items(declared, "team"),
    )


def _collect(paths: Iterable[str]) -> list[str]:
    """Return the files to read; one that is reached by two paths is read once."""
    by_real_path: dict[str, str] = {}
    for path in paths:
        for found in _files_below(path) if os.path.isdir(path) else (path,):
            by_real_path.setdefault(os.path.realpath(found), os.path.normpath(found))
    return sorted(by_real_path.values())


def _files_below(path: str) -> Iterator[str]:
    for folder, below, names in os.walk(path):
        below[:] = [name for name in below if not name.startswith(".")]
        for name in names:
            if name == FILE_NAME or name.endswith(f".{FILE_NAME}"):
                yield os.path.join(folder, name)


def _read_document(document: YamlDocument) -> Declared | ProblemsFound:
    kind = document.value.get("kind") if isinstance(document.value, dict) else None
    if kind is None:
        place = document.value_place(("kind",))
        return ProblemsFound((MissingField(document.path, *place, "kind"),))
    if not isinstance(kind, str) or kind not in FIELDS_BY_KIND:
        place = document.value_place(("kind",))
        near = nearest(str(kind), FIELDS_BY_KIND)
        return ProblemsFound((UnknownName(document.path, *place, "kind", str(kind), near),))
    fields = decode_fields(document, FIELDS_BY_KIND[kind])
    if isinstance(fields, ProblemsFound):
        return fields
    return Declared(kind, _BUILD_BY_KIND[kind](fields), document)


def _sorted_items(declared: list[Declared], kind: str) -> tuple:
    items = [found.item for found in declared if found.kind == kind]
    return tuple(sorted(items, key=lambda item: item.name))


def _by_place(problem: FileProblem) -> tuple[str, int, int]:
    return (problem.path, problem.line, problem.column)
