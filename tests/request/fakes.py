"""Fake upstreams on loopback, a minimal caller, and request contexts for tests."""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from typing import NamedTuple

from gevent import socket
from gevent.server import StreamServer

from laburnumswitch.declaration import Service
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.request.context import make_context
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.forward import serve_callers
from laburnumswitch.size import Size
from laburnumswitch.upstream import Upstream
from standin.table import MemoryTable

LOOPBACK = "127.0.0.1"
OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ORDERS = Service("orders", "shops", ("orders.example",), 1, Size(100, 100), timeout_s=2.0)

Script = Callable[[socket.socket, bytes, int], None]


class FakeUpstream:
    """Upstream that calls ``script(sock, request, number)`` for each complete request."""

    def __init__(self, script: Script) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self._script = script
        self._server = StreamServer((LOOPBACK, 0), self._handle)
        self._server.start()
        self.address = f"{LOOPBACK}:{self._server.server_port}"

    def close(self) -> None:
        self._server.stop(timeout=0)

    def as_upstream(self, name: str = "", **fields: Any) -> Upstream:
        values = {"availability_zone": "a", "worker_id": "w", "slots": 8, **fields}
        return Upstream(name or self.address, "orders", self.address, **values)

    def _handle(self, sock: socket.socket, _address: tuple) -> None:
        self.connections += 1
        buffer = b""
        while True:
            request, buffer = _read_request(sock, buffer)
            if request is None:
                return
            self.requests.append(request)
            self._script(sock, request, len(self.requests))


class MemoryObjects:
    """In-memory object store."""

    def __init__(self) -> None:
        self.by_name: dict[str, bytes] = {}

    def put(self, name: str, content: bytes) -> object:
        self.by_name[name] = content
        return self

    def get(self, name: str) -> bytes:
        return self.by_name[name]


class CallerReply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        return self.headers["laburnumswitch-outcome"]


def answering(raw: bytes = OK_ANSWER) -> Script:
    """Return a script that sends ``raw`` and keeps the connection open."""
    return lambda sock, _request, _number: sock.sendall(raw)


def context_of(*upstreams: Upstream, service: Service = ORDERS, **fields: Any) -> RequestContext:
    """Return a context with one service behind ``upstreams``."""
    values = {
        "service_by_host": dict.fromkeys(service.hosts, service).get,
        "upstreams_of": lambda _name: upstreams,
        "zone_is_out_of_service": lambda _zone: False,
        "has_configuration": lambda: True,
        "table": MemoryTable(),
        "objects": MemoryObjects(),
        "timeline": Timeline("entry-1", "a", lambda: 0.0),
        "availability_zone": "a",
        "vm_id": "entry-1",
        "random": Random(1),
    }
    return make_context(**{**values, **fields})


@contextmanager
def served(context: RequestContext, **options: Any) -> Iterator[int]:
    """Serve callers while the block runs; yields the port."""
    server = serve_callers((LOOPBACK, 0), context, **options)
    server.start()
    try:
        yield server.server_port
    finally:
        server.stop(timeout=0)


def call(port: int, raw: bytes) -> CallerReply:
    """Send ``raw`` over a new connection and read one answer."""
    with socket.create_connection((LOOPBACK, port), timeout=10) as sock:
        sock.sendall(raw)
        return read_reply(sock)


def read_reply(sock: socket.socket) -> CallerReply:
    reader = sock.makefile("rb")
    status = int(reader.readline().split()[1])
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        known = headers.get(name.lower())
        headers[name.lower()] = value.strip() if known is None else f"{known}, {value.strip()}"
    if headers.get("transfer-encoding") == "chunked":
        return CallerReply(status, headers, _read_chunks(reader))
    return CallerReply(status, headers, reader.read(int(headers.get("content-length", 0))))


def get(target: str = "/", *lines: str) -> bytes:
    return request("GET", target, b"", *lines)


def post(body: bytes = b"rice", *lines: str) -> bytes:
    return request("POST", "/orders", body, *lines)


def request(method: str, target: str, body: bytes, *lines: str) -> bytes:
    head = [f"{method} {target} HTTP/1.1", "Host: orders.example", *lines]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def event_kinds(context: RequestContext) -> list[str]:
    """Return the kinds of all events on the timeline."""
    return [event.kind for event in context.timeline.after(0)]


def _read_chunks(reader: Any) -> bytes:
    body = b""
    while size := int(reader.readline(), 16):
        body += reader.read(size)
        reader.readline()
    return body


def _read_request(sock: socket.socket, buffer: bytes) -> tuple[bytes | None, bytes]:
    while True:
        head, separator, rest = buffer.partition(b"\r\n\r\n")
        if separator:
            size = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    size = int(line.partition(b":")[2])
            if len(rest) >= size:
                end = len(head) + 4 + size
                return buffer[:end], buffer[end:]
        try:
            block = sock.recv(65_536)
        except OSError:
            return None, b""
        if not block:
            return None, b""
        buffer += block
