"""Client of the platform's object store, which holds immutable byte strings by name."""

from typing import Protocol
from urllib.parse import quote

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import Unavailable

STATUS_OK = 200
STATUS_NOT_FOUND = 404


class WriteApplied:
    """A put or a removal took effect."""


class ObjectStore(Protocol):
    """Interface of the object store."""

    def put(self, name: str, content: bytes) -> WriteApplied | Unavailable:
        """Store ``content``; repeating a put of the same content is safe."""

    def get(self, name: str) -> bytes | NotFound | Unavailable:
        """Return the content of ``name``."""

    def remove(self, name: str) -> WriteApplied | Unavailable:
        """Remove ``name``; removing an absent object is safe."""


class ObjectStoreClient:
    """``ObjectStore`` over HTTP."""

    def __init__(self, client: Client, timeout_s: float = 5.0) -> None:
        self._client = client
        self._timeout_s = timeout_s

    def put(self, name: str, content: bytes) -> WriteApplied | Unavailable:
        """Store ``content``; repeating a put of the same content is safe."""
        return self._write("PUT", name, content)

    def remove(self, name: str) -> WriteApplied | Unavailable:
        """Remove ``name``; removing an absent object is safe."""
        return self._write("DELETE", name, b"")

    def get(self, name: str) -> bytes | NotFound | Unavailable:
        """Return the content of ``name``."""
        response = self._client.call("GET", _object_target(name), b"", self._timeout_s)
        if isinstance(response, Failure):
            return Unavailable(response.describe())
        if response.status == STATUS_NOT_FOUND:
            return NotFound(name)
        if response.status != STATUS_OK:
            return Unavailable(f"status {response.status}")
        return response.body

    def _write(self, method: str, name: str, content: bytes) -> WriteApplied | Unavailable:
        response = self._client.call(method, _object_target(name), content, self._timeout_s)
        if isinstance(response, Failure):
            return Unavailable(response.describe())
        if response.status != STATUS_OK:
            return Unavailable(f"status {response.status}")
        return WriteApplied()


def _object_target(name: str) -> str:
    return "/objects/" + quote(name, safe="")
