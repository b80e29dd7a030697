"""Reads YAML files into plain values that remember the line and column of each part.

Only the plain part of YAML is accepted: mappings with plain keys, sequences and scalars. Anchors,
aliases and tags are refused, and so are deep nesting and large files, so the work is bounded by the
size of the file. Scalars follow the core schema of YAML 1.2: ``on`` and ``no`` are texts.
"""

import os
import re
from collections.abc import Iterator
from math import isfinite
from typing import Any
from typing import NamedTuple

from yaml import AliasEvent
from yaml import DocumentEndEvent
from yaml import DocumentStartEvent
from yaml import Event
from yaml import MappingStartEvent
from yaml import Mark
from yaml import parse
from yaml import ScalarEvent
from yaml import SequenceStartEvent
from yaml import YAMLError

from laburnumswitch.exceptions import DuplicateKey
from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.exceptions import NotUtf8
from laburnumswitch.exceptions import NotYaml

try:
    from yaml import CSafeLoader as Loader
except ImportError:
    from yaml import SafeLoader as Loader

MAX_FILE_BYTES = 65_536
MAX_DEPTH = 12

Path = tuple[str | int, ...]

_INTEGER = re.compile(r"[-+]?[0-9]{1,18}", re.ASCII)
_NUMBER = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]{1,3})?", re.ASCII)
_WORDS = {
    "": None,
    "~": None,
    "null": None,
    "true": True,
    "false": False,
}


class Place(NamedTuple):
    """Line and column in a file, both counted from 1."""

    line: int
    column: int


class FileStamp(NamedTuple):
    """What changes when a file is replaced or written."""

    modified_ns: int
    size: int
    inode: int


class YamlDocument(NamedTuple):
    """One document of a file. ``by_path`` has the place of each value, ``keys`` of each key."""

    path: str
    value: Any
    by_path: dict[Path, Place]
    keys: dict[Path, Place]

    def value_place(self, path: Path) -> Place:
        """Return the place of a value, or of the nearest enclosing one that exists."""
        while path and path not in self.by_path:
            path = path[:-1]
        return self.by_path[path]

    def key_place(self, path: Path) -> Place:
        """Return the place of a key, or that of its value where it has none."""
        return self.keys.get(path) or self.value_place(path)


class YamlFile(NamedTuple):
    """The documents of a file and what was wrong with it; empty documents are left out."""

    documents: tuple[YamlDocument, ...]
    problems: tuple[FileProblem, ...]


def stamp_file(path: str) -> FileStamp | None:
    """Return what tells a changed file, or ``None`` where there is no file."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)


def read_file(path: str) -> bytes | FileUnreadable:
    """Return the bytes of a file of at most ``MAX_FILE_BYTES``."""
    try:
        with open(path, "rb") as opened:
            content = opened.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return FileUnreadable(path, 0, 0, "", reason)
    if len(content) > MAX_FILE_BYTES:
        return FileUnreadable(path, 0, 0, "", f"larger than {MAX_FILE_BYTES} bytes")
    return content


def read_yaml(path: str, content: bytes) -> YamlFile:
    """Parse the bytes of a file.

    :param path: name of the file for the problems; nothing is opened here.
    """
    if len(content) > MAX_FILE_BYTES:
        reason = f"larger than {MAX_FILE_BYTES} bytes"
        return YamlFile((), (FileUnreadable(path, 0, 0, "", reason),))
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        before = content[: error.start]
        line = before.count(b"\n") + 1
        column = error.start - before.rfind(b"\n")
        return YamlFile((), (NotUtf8(path, line, column, ""),))
    builder = _Builder(path)
    problem = _feed(builder, text)
    if problem is not None:
        return YamlFile((), (*builder.problems, problem))
    return YamlFile(tuple(builder.documents), tuple(builder.problems))


def show_path(path: Path) -> str:
    """Return a path as people write it, such as ``hosts[2]``."""
    shown = ""
    for part in path:
        if isinstance(part, int):
            shown += f"[{part}]"
        else:
            shown += f".{part}" if shown else part
    return shown


def _feed(builder: "_Builder", text: str) -> FileProblem | None:
    try:
        for event in _events(text):
            problem = builder.take(event)
            if problem is not None:
                return problem
    except YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        reason = getattr(error, "problem", None) or getattr(error, "reason", None) or "not YAML"
        place = _place(mark) if mark is not None else _unprintable_place(text, error)
        return NotYaml(builder.path, *place, "", str(reason))
    return None


def _events(text: str) -> Iterator[Event]:
    return parse(text, Loader=Loader)


def _place(mark: Mark) -> Place:
    return Place(mark.line + 1, mark.column + 1)


def _unprintable_place(text: str, error: YAMLError) -> Place:
    offset = getattr(error, "position", None)
    if not isinstance(offset, int):
        return Place(1, 1)
    before = text[:offset]
    return Place(before.count("\n") + 1, offset - before.rfind("\n"))


def _resolve(event: ScalarEvent) -> Any:
    text = event.value
    if not event.implicit[0]:
        return text
    if text in _WORDS:
        return _WORDS[text]
    if _INTEGER.fullmatch(text):
        return int(text)
    if _NUMBER.fullmatch(text):
        number = float(text)
        return number if isfinite(number) else text
    return text


class _Frame:
    """One open mapping or sequence."""

    def __init__(self, value: dict | list, path: Path) -> None:
        self.value = value
        self.path = path
        self.key: str | None = None


class _Builder:
    """Builds documents from the events of the parser, without recursion."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.documents: list[YamlDocument] = []
        self.problems: list[FileProblem] = []
        self._frames: list[_Frame] = []
        self._document = YamlDocument(path, None, {}, {})

    def take(self, event: Event) -> FileProblem | None:
        """Take one event; a returned problem ends the reading of the file."""
        if isinstance(event, DocumentStartEvent):
            self._document = YamlDocument(self.path, None, {}, {})
            return None
        if isinstance(event, DocumentEndEvent):
            if self._document.value is not None:
                self.documents.append(self._document)
            return None
        if isinstance(event, AliasEvent) or getattr(event, "anchor", None):
            return self._refuse(event, "anchors and aliases are not accepted here")
        if isinstance(event, ScalarEvent):
            return self._take_scalar(event)
        if isinstance(event, MappingStartEvent):
            return self._open(event, {})
        if isinstance(event, SequenceStartEvent):
            return self._open(event, [])
        if self._frames:
            self._frames.pop()
        return None

    def _take_scalar(self, event: ScalarEvent) -> FileProblem | None:
        if event.tag:
            return self._refuse(event, "tags are not accepted here")
        frame = self._frames[-1] if self._frames else None
        if frame is not None and isinstance(frame.value, dict) and frame.key is None:
            self._take_key(frame, event)
            return None
        self._place_value(event, _resolve(event))
        return None

    def _take_key(self, frame: _Frame, event: ScalarEvent) -> None:
        path = (*frame.path, event.value)
        place = _place(event.start_mark)
        first = self._document.keys.get(path)
        if first is not None:
            field = show_path(path)
            self.problems.append(DuplicateKey(self.path, *place, field, first.line))
        self._document.keys[path] = place
        frame.key = event.value

    def _open(self, event: Event, value: dict | list) -> FileProblem | None:
        if event.tag:
            return self._refuse(event, "tags are not accepted here")
        if len(self._frames) >= MAX_DEPTH:
            return self._refuse(event, f"nested more than {MAX_DEPTH} deep")
        frame = self._frames[-1] if self._frames else None
        if frame is not None and isinstance(frame.value, dict) and frame.key is None:
            return self._refuse(event, "a key must be a plain text")
        self._frames.append(_Frame(value, self._place_value(event, value)))
        return None

    def _place_value(self, event: Event, value: Any) -> Path:
        if not self._frames:
            self._document.by_path[()] = _place(event.start_mark)
            self._document = self._document._replace(value=value)
            return ()
        frame = self._frames[-1]
        if isinstance(frame.value, dict):
            path = (*frame.path, frame.key)
            frame.value[frame.key] = value
            frame.key = None
        else:
            path = (*frame.path, len(frame.value))
            frame.value.append(value)
        self._document.by_path[path] = _place(event.start_mark)
        return path

    def _refuse(self, event: Event, reason: str) -> NotYaml:
        return NotYaml(self.path, *_place(event.start_mark), "", reason)
