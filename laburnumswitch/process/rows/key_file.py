"""Shared access keys (bearer tokens) of peers and operators, read from a file.

The file is read again when it changes.
"""

from collections.abc import Callable
from hmac import compare_digest
from time import monotonic

from laburnumswitch.exceptions import FileProblem
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.exceptions import NotUtf8
from laburnumswitch.yamlfile import file_stamp
from laburnumswitch.yamlfile import read_file

MIN_KEY_LENGTH = 16
CHECK_INTERVAL_S = 1.0
AUTHORIZATION_SCHEME = "Bearer "


def read_keys(path: str) -> tuple[str, ...] | FileProblem:
    """Read a key file with one key per line; empty lines and ``#`` comments are skipped."""
    content = read_file(path)
    if isinstance(content, FileUnreadable):
        return content
    try:
        lines = content.decode("ascii").splitlines()
    except UnicodeDecodeError:
        # Keys are sent in a header, so the file must be ASCII, which is stricter than the tag says.
        return NotUtf8(path, 0, 0, "")
    keys = []
    for number, line in enumerate(lines, 1):
        key = line.strip()
        if not key or key.startswith("#"):
            continue
        if len(key) < MIN_KEY_LENGTH or not key.isprintable() or " " in key:
            reason = (
                f"a key must have at least {MIN_KEY_LENGTH} printable characters without spaces"
            )
            return InvalidValue(path, number, 1, "", reason)
        keys.append(key)
    if not keys:
        return InvalidValue(path, 1, 1, "", "the file contains no keys")
    return tuple(keys)


class KeyFile:
    """Keys of a file, reloaded when it changes.

    If the file becomes invalid, the last valid keys remain in use and ``problem`` says why.

    The first key is sent, and all keys are accepted. To rotate keys without a restart, add the new
    key as the last line on every VM, then move it to the first line, then remove the old one.
    """

    def __init__(
        self, path: str, keys: tuple[str, ...], clock: Callable[[], float] = monotonic
    ) -> None:
        self.problem: FileProblem | None = None
        self._path = path
        self._keys = keys
        self._clock = clock
        self._file_stamp = file_stamp(path)
        self._checked_s = clock()

    def headers(self) -> dict[str, str]:
        """Return the header that authorizes a call to a peer."""
        self._refresh()
        return {"Authorization": AUTHORIZATION_SCHEME + self._keys[0]}

    def accepts(self, authorization: str) -> bool:
        """Return whether a header holds an accepted key, comparing keys in constant time."""
        self._refresh()
        offered_key = authorization.removeprefix(AUTHORIZATION_SCHEME).encode(
            "utf-8", "surrogatepass"
        )
        matches = [compare_digest(offered_key, key.encode()) for key in self._keys]
        return authorization.startswith(AUTHORIZATION_SCHEME) and any(matches)

    def _refresh(self) -> None:
        now_s = self._clock()
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        stamp = file_stamp(self._path)
        if stamp == self._file_stamp and self.problem is None:
            return
        keys = read_keys(self._path)
        if isinstance(keys, FileProblem):
            self.problem = keys
            return
        self.problem = None
        self._keys = keys
        self._file_stamp = stamp


def open_key_file(path: str, clock: Callable[[], float] = monotonic) -> KeyFile | FileProblem:
    """Open a key file, or return why it cannot be used."""
    keys = read_keys(path)
    if isinstance(keys, FileProblem):
        return keys
    return KeyFile(path, keys, clock)
