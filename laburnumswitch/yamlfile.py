"""Parses YAML files and records the line and column of each value and key.

Only a subset of YAML is supported: mappings with scalar keys, sequences and scalars. Anchors,
aliases, tags, deep nesting and large files are rejected, which bounds the work by the size of the
file. Scalars follow the core schema of YAML 1.2: ``on`` and ``no`` are strings.
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
_CONSTANTS = {
    "": None,
    "~": None,
    "null": None,
    "true": True,
    "false": False,
}


class Position(NamedTuple):
    """Line and column in a file, both starting at 1."""

    line: int
    column: int


class FileStamp(NamedTuple):
    """File metadata that changes when the file is replaced or written."""

    modified_ns: int
    size: int
    inode: int


class YamlDocument(NamedTuple):
    """A document of a YAML file, with the positions of its values and keys."""

    file_path: str
    value: Any
    value_positions: dict[Path, Position]
    key_positions: dict[Path, Position]

    def value_position(self, path: Path) -> Position:
        """Return the position of a value, or of its innermost enclosing value that exists."""
        while path and path not in self.value_positions:
            path = path[:-1]
        return self.value_positions[path]

    def key_position(self, path: Path) -> Position:
        """Return the position of a key, or of its value if there is no such key."""
        return self.key_positions.get(path) or self.value_position(path)


class YamlFile(NamedTuple):
    """The documents of a file, without empty ones, and the problems found in it."""

    documents: tuple[YamlDocument, ...]
    problems: tuple[FileProblem, ...]


def file_stamp(path: str) -> FileStamp | None:
    """Return the metadata that reveals changes, or ``None`` if the file cannot be accessed."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)


def read_file(path: str) -> bytes | FileUnreadable:
    """Return the bytes of a file of at most ``MAX_FILE_BYTES``."""
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return FileUnreadable(path, 0, 0, "", reason)
    if len(content) > MAX_FILE_BYTES:
        return FileUnreadable(path, 0, 0, "", f"larger than {MAX_FILE_BYTES} bytes")
    return content


def parse_yaml(path: str, content: bytes) -> YamlFile:
    """Parse the contents of a file.

    :param path: path to report in problems; the file is not opened.
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
    builder = _DocumentBuilder(path)
    problem = _parse_events(builder, text)
    if problem is not None:
        return YamlFile((), (*builder.problems, problem))
    return YamlFile(tuple(builder.documents), tuple(builder.problems))


def format_path(path: Path) -> str:
    """Format a path, such as ``hosts[2]``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def _parse_events(builder: "_DocumentBuilder", text: str) -> FileProblem | None:
    try:
        for event in _events(text):
            problem = builder.handle_event(event)
            if problem is not None:
                return problem
    except YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        reason = getattr(error, "problem", None) or getattr(error, "reason", None) or "not YAML"
        position = _position(mark) if mark is not None else _unprintable_position(text, error)
        return NotYaml(builder.path, *position, "", str(reason))
    return None


def _events(text: str) -> Iterator[Event]:
    return parse(text, Loader=Loader)


def _position(mark: Mark) -> Position:
    return Position(mark.line + 1, mark.column + 1)


def _unprintable_position(text: str, error: YAMLError) -> Position:
    offset = getattr(error, "position", None)
    if not isinstance(offset, int):
        return Position(1, 1)
    before = text[:offset]
    return Position(before.count("\n") + 1, offset - before.rfind("\n"))


def _resolve_scalar(event: ScalarEvent) -> Any:
    text = event.value
    if not event.implicit[0]:
        return text
    if text in _CONSTANTS:
        return _CONSTANTS[text]
    if _INTEGER.fullmatch(text):
        return int(text)
    if _NUMBER.fullmatch(text):
        number = float(text)
        return number if isfinite(number) else text
    return text


class _OpenCollection:
    """A mapping or sequence whose end event has not been handled yet."""

    def __init__(self, value: dict | list, path: Path) -> None:
        self.value = value
        self.path = path
        self.key: str | None = None


class _DocumentBuilder:
    """Builds documents from parser events without recursion."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.documents: list[YamlDocument] = []
        self.problems: list[FileProblem] = []
        self._stack: list[_OpenCollection] = []
        self._document = YamlDocument(path, None, {}, {})

    def handle_event(self, event: Event) -> FileProblem | None:
        """Handle a parser event; a returned problem ends the parsing of the file."""
        if isinstance(event, DocumentStartEvent):
            self._document = YamlDocument(self.path, None, {}, {})
            return None
        if isinstance(event, DocumentEndEvent):
            if self._document.value is not None:
                self.documents.append(self._document)
            return None
        if isinstance(event, AliasEvent) or getattr(event, "anchor", None):
            return self._unsupported(event, "anchors and aliases are not supported")
        if isinstance(event, ScalarEvent):
            return self._handle_scalar(event)
        if isinstance(event, MappingStartEvent):
            return self._open_collection(event, {})
        if isinstance(event, SequenceStartEvent):
            return self._open_collection(event, [])
        if self._stack:
            self._stack.pop()
        return None

    def _handle_scalar(self, event: ScalarEvent) -> FileProblem | None:
        if event.tag:
            return self._unsupported(event, "tags are not supported")
        parent = self._stack[-1] if self._stack else None
        if parent is not None and isinstance(parent.value, dict) and parent.key is None:
            self._handle_key(parent, event)
            return None
        self._add_value(event, _resolve_scalar(event))
        return None

    def _handle_key(self, parent: _OpenCollection, event: ScalarEvent) -> None:
        path = (*parent.path, event.value)
        position = _position(event.start_mark)
        first_position = self._document.key_positions.get(path)
        if first_position is not None:
            field = format_path(path)
            self.problems.append(DuplicateKey(self.path, *position, field, first_position.line))
        self._document.key_positions[path] = position
        parent.key = event.value

    def _open_collection(self, event: Event, value: dict | list) -> FileProblem | None:
        if event.tag:
            return self._unsupported(event, "tags are not supported")
        if len(self._stack) >= MAX_DEPTH:
            return self._unsupported(event, f"nested more than {MAX_DEPTH} levels deep")
        parent = self._stack[-1] if self._stack else None
        if parent is not None and isinstance(parent.value, dict) and parent.key is None:
            return self._unsupported(event, "a key must be a scalar")
        self._stack.append(_OpenCollection(value, self._add_value(event, value)))
        return None

    def _add_value(self, event: Event, value: Any) -> Path:
        if not self._stack:
            self._document.value_positions[()] = _position(event.start_mark)
            self._document = self._document._replace(value=value)
            return ()
        parent = self._stack[-1]
        if isinstance(parent.value, dict):
            path = (*parent.path, parent.key)
            parent.value[parent.key] = value
            parent.key = None
        else:
            path = (*parent.path, len(parent.value))
            parent.value.append(value)
        self._document.value_positions[path] = _position(event.start_mark)
        return path

    def _unsupported(self, event: Event, reason: str) -> NotYaml:
        return NotYaml(self.path, *_position(event.start_mark), "", reason)
