"""In-memory fakes of the platform's object store and of the operators' endpoints of entries."""

from urllib.parse import urlsplit

from msgspec.json import encode

from laburnumswitch.connection.client import Response
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import NotFound
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.rows.object_store import WriteApplied


class MemoryObjects:
    """An object store that fails every call while ``down`` is set."""

    def __init__(self):
        self.down = False
        self.by_name = {}

    def put(self, name, content):
        if self.down:
            return Unavailable("the object store is down")
        self.by_name[name] = content
        return WriteApplied()

    def get(self, name):
        if self.down:
            return Unavailable("the object store is down")
        return self.by_name.get(name, NotFound(name))

    def remove(self, name):
        if self.down:
            return Unavailable("the object store is down")
        self.by_name.pop(name, None)
        return WriteApplied()


class MemoryEntry:
    """The operators' endpoints of an entry; ``answers`` maps paths to rows, pages or failures."""

    def __init__(self, address):
        self.address = address
        self.answers = {}
        self.calls = []

    def call(self, method, target, body=b"", timeout_s=2.0, **_options):
        path = urlsplit(target).path
        self.calls.append((method, target))
        answer = self.answers.get(path)
        if isinstance(answer, Failure):
            return answer
        if answer is None:
            return Response(404, (), b"")
        if isinstance(answer, bytes):
            return Response(200, (), answer)
        return Response(200, (), encode({"rows": answer}))

    def close(self):
        pass


def unreachable_entry(address):
    """Return an entry that refuses connections."""
    entry = MemoryEntry(address)
    entry.call = lambda *_, **__: ConnectFailed(address, "refused")
    return entry
