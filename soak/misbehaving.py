"""Clients that send slowly, stop half-way, send too much or do not read their answers.

Each pattern opens a number of connections, uses them, and keeps them open until it is told to end.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from gevent import joinall
from gevent import sleep
from gevent import socket
from gevent import spawn

from soak.callers import HOST
from soak.callers import PATH_PREFIX
from soak.entries import EntryConfig

BODY_BYTES = 262_144
PIECE_BYTES = 4_096
SEND_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
TRICKLE_PAUSE_S = 0.2
# Together larger than what the kernel keeps of requests and answers that nobody reads.
PIPELINED_BLOCKS = 60
FILLER = b"x" * BODY_BYTES


class Target(NamedTuple):
    """Port and path that the clients call, with an accepted API key."""

    address: str
    path: str
    key: str


def targets_of(config: EntryConfig, job_id: str, key: str) -> tuple[Target, ...]:
    """Return a job, a path without a queue, and the readiness and internal ports of an entry."""
    return (
        Target(config.front_address, f"{PATH_PREFIX}{job_id}", key),
        Target(config.front_address, "/elsewhere", key),
        Target(config.ready_address, "/v1/ready", key),
        Target(config.peer_address, "/peer/submitted", key),
    )


Pattern = Callable[[Target], Iterator[bytes | float]]


def _head(method: str, target: Target, *fields: str) -> bytes:
    authorization = f"Authorization: Bearer {target.key}"
    lines = (f"{method} {target.path} HTTP/1.1", f"Host: {HOST}", authorization, *fields, "", "")
    return "\r\n".join(lines).encode()


def send_unfinished_body(target: Target) -> Iterator[bytes | float]:
    """Send a body of legal size in one piece, except for its last byte."""
    yield _head("POST", target, f"Content-Length: {BODY_BYTES}") + FILLER[:-1]


def send_unfinished_pieces(target: Target) -> Iterator[bytes | float]:
    """Send a body of legal size in small pieces, except for its last byte."""
    yield _head("POST", target, f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield FILLER[:PIECE_BYTES]
        yield 0.001
    yield FILLER[: PIECE_BYTES - 1]


def send_unfinished_chunks(target: Target) -> Iterator[bytes | float]:
    """Send a body of legal size in chunks, without the last one."""
    yield _head("POST", target, "Transfer-Encoding: chunked")
    yield b"10\r\n0123456789abcdef\r\n" * (BODY_BYTES // 16)


def send_oversized_body(target: Target) -> Iterator[bytes | float]:
    """Send a body far over the limit."""
    yield _head("POST", target, "Content-Length: 1000000000000")
    for _ in range(8):
        yield FILLER


def send_oversized_chunk(target: Target) -> Iterator[bytes | float]:
    """Send a chunk far over the limit."""
    yield _head("POST", target, "Transfer-Encoding: chunked") + b"ffffffff\r\n"
    for _ in range(8):
        yield FILLER


def send_many_headers(target: Target) -> Iterator[bytes | float]:
    """Send a head of legal size with very many headers, several times."""
    fields = [f"a{number}:" for number in range(1_900)]
    yield _head("GET", target, *fields) * 20


def send_many_fields(target: Target) -> Iterator[bytes | float]:
    """Send a job of legal size with very many steps of few bytes each."""
    body = b'{"spec":"x","steps":[' + b'{"count":1},' * 21_000 + b'{"count":1}]}'
    yield _head("POST", target, f"Content-Length: {len(body)}") + body


def pipeline_requests(target: Target) -> Iterator[bytes | float]:
    """Send many requests without reading an answer."""
    request = _head("GET", target)
    for _ in range(PIPELINED_BLOCKS):
        yield request * (PIECE_BYTES // len(request))


def send_slowly(target: Target) -> Iterator[bytes | float]:
    """Send a head byte by byte."""
    for byte in _head("GET", target):
        yield bytes((byte,))
        yield TRICKLE_PAUSE_S


def send_nothing(target: Target) -> Iterator[bytes | float]:
    """Open the connection only."""
    return iter(())


def send_malformed_lengths(target: Target) -> Iterator[bytes | float]:
    """Send bodies whose length is malformed."""
    for fields in (
        ("Content-Length: -1",),
        ("Content-Length: seven",),
        ("Content-Length: 99999999999999999999999",),
        ("Content-Length: 3", "Transfer-Encoding: chunked"),
        ("Transfer-Encoding: gzip, chunked",),
    ):
        yield _head("POST", target, *fields) + FILLER[:PIECE_BYTES]


PATTERNS: tuple[Pattern, ...] = (
    send_unfinished_body,
    send_unfinished_pieces,
    send_unfinished_chunks,
    send_oversized_body,
    send_oversized_chunk,
    send_many_headers,
    send_many_fields,
    pipeline_requests,
    send_slowly,
    send_nothing,
    send_malformed_lengths,
)


def run_clients(
    pattern: Pattern, target: Target, connections: int, is_finished: Callable[[], bool]
) -> None:
    """Let clients follow a pattern, each once, and keep their connections until the end."""
    joinall([spawn(_run_client, pattern, target, is_finished) for _ in range(connections)])


def _run_client(pattern: Pattern, target: Target, is_finished: Callable[[], bool]) -> None:
    host, _, port = target.address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S) as sock:
            sock.settimeout(SEND_TIMEOUT_S)
            for action in pattern(target):
                if is_finished():
                    return
                if isinstance(action, float):
                    sleep(action)
                else:
                    sock.sendall(action)
            while not is_finished():
                sleep(TRICKLE_PAUSE_S)
    except OSError:
        # The entry has closed the connection, or reads no more from it.
        return
