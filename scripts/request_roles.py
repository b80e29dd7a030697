"""Process roles of the request path measurement: upstreams, entry, bare relay and load generator.

Each role reads its settings as one line of JSON from standard input and writes one line when ready.
All roles but the upstreams write a second line with their results when they end.
"""

from collections.abc import Callable
from cProfile import Profile
from pstats import Stats
from random import Random
from resource import getrusage
from resource import RUSAGE_SELF
from signal import SIGTERM
from sys import argv
from sys import stdin
from sys import stdout
from time import monotonic
from typing import NamedTuple

from gevent import joinall
from gevent import signal_handler
from gevent import sleep
from gevent import socket
from gevent import spawn
from gevent.event import Event
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.connection.upstream_pool import UpstreamPool
from laburnumswitch.declaration import Service
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.workers.upstream_state import UpstreamStateRegistry
from laburnumswitch.request.context import make_context
from laburnumswitch.request.context import RequestContext
from laburnumswitch.request.forward import drain
from laburnumswitch.request.forward import serve_callers
from laburnumswitch.size import Size
from laburnumswitch.upstream import Upstream
from standin.routing_baselines import ROUTING_BASELINES
from standin.table import MemoryTable

LOOPBACK = "127.0.0.1"
HOST = "measured.example"
BLOCK_BYTES = 65_536
PROFILE_LINES = 15
DRAIN_LIMIT_S = 3.0
UNLIMITED_CONNECTIONS = 1_000_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"
FAILED_ANSWER = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"


class UpstreamSettings(NamedTuple):
    """Settings of a fake upstream; with a ``service_s`` of 0 it answers at once, without slots."""

    slots: int = 8
    service_s: float = 0.0
    failing: bool = False


class UpstreamsSettings(NamedTuple):
    """Settings of a process that serves several fake upstreams."""

    upstreams: tuple[UpstreamSettings, ...]
    seed: int = 1


class EntrySettings(NamedTuple):
    """Settings of an entry or, with ``relay``, of a bare relay to the first address."""

    addresses: tuple[str, ...]
    policy: str = "product"
    slots: int = 8
    timeout_s: float = 1.0
    seed: int = 1
    profile: bool = False
    relay: bool = False


class EntryResults(NamedTuple):
    """Counters of an entry; ``cpu_s`` is the CPU time of the process."""

    cpu_s: float
    requests: int = 0
    sends: int = 0
    retries: int = 0
    hedges: int = 0
    shed: int = 0
    profile: tuple[str, ...] = ()


class LoadSettings(NamedTuple):
    """Settings of a load generator; a ``rate`` of 0 means a closed loop of ``connections``."""

    addresses: tuple[str, ...]
    seconds: float
    rate: float = 0.0
    connections: int = 1
    seed: int = 1
    order_share: float = 0.0


class Sample(NamedTuple):
    """One measured request; ``at_s`` is its start relative to the start of the load."""

    priority: int
    at_s: float
    latency_s: float
    status: int
    outcome: str


def run_upstreams(settings: UpstreamsSettings) -> None:
    """Serve fake upstreams until SIGTERM."""
    random = Random(settings.seed)
    servers = []
    for each in settings.upstreams:
        server = StreamServer((LOOPBACK, 0), _upstream_handler(each, random))
        server.start()
        servers.append(server)
    _write_line([f"{LOOPBACK}:{server.server_port}" for server in servers])
    _wait_for_end()


def run_entry(settings: EntrySettings) -> None:
    """Serve callers until SIGTERM, then write the counters."""
    context = _make_request_context(settings)
    server = serve_callers((LOOPBACK, 0), context)
    server.start()
    _write_line([f"{LOOPBACK}:{server.server_port}"])
    profile = Profile()
    if settings.profile:
        profile.enable()
    _wait_for_end()
    profile.disable()
    drain(server, context, DRAIN_LIMIT_S)
    counts = context.counts
    results = EntryResults(
        _cpu_s(), counts.requests, counts.sends, counts.retries, counts.hedges, counts.shed
    )
    if settings.profile:
        results = results._replace(profile=_top_functions(profile))
    _write_line(results)


def run_relay(settings: EntrySettings) -> None:
    """Copy blocks between callers and one upstream, as an upper bound for the event loop."""
    host, _, port = settings.addresses[0].rpartition(":")

    def handle(caller: socket.socket, _address: tuple) -> None:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with socket.create_connection((host, int(port))) as upstream:
            upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while block := caller.recv(BLOCK_BYTES):
                upstream.sendall(block)
                caller.sendall(upstream.recv(BLOCK_BYTES))

    server = StreamServer((LOOPBACK, 0), handle)
    server.start()
    _write_line([f"{LOOPBACK}:{server.server_port}"])
    _wait_for_end()
    _write_line(EntryResults(_cpu_s()))


def run_load(settings: LoadSettings) -> None:
    """Send requests and write a sample of each."""
    _write_line([])
    stdin.readline()
    generator = _LoadGenerator(settings)
    _write_line(generator.run())


class _LoadGenerator:
    """Load generator with an open or a closed loop."""

    def __init__(self, settings: LoadSettings) -> None:
        self._settings = settings
        self._random = Random(settings.seed)
        self._idle: list[socket.socket] = []
        self._samples: list[Sample] = []
        self._begin_s = monotonic()

    def run(self) -> list[Sample]:
        if self._settings.rate == 0.0:
            tasks = [spawn(self._closed_loop) for _ in range(self._settings.connections)]
        else:
            tasks = self._open_loop()
        joinall(tasks)
        return self._samples

    def _closed_loop(self) -> None:
        sock = self._connect()
        raw = _request("GET", 1)
        until_s = self._begin_s + self._settings.seconds
        while (at_s := monotonic()) < until_s:
            sock.sendall(raw)
            status, outcome = _read_status(sock)
            self._add_sample(1, at_s, status, outcome)

    def _open_loop(self) -> list:
        tasks = []
        at_s = self._begin_s
        while at_s < self._begin_s + self._settings.seconds:
            at_s += self._random.expovariate(self._settings.rate)
            sleep(max(at_s - monotonic(), 0.0))
            tasks.append(spawn(self._send_request, at_s))
        return tasks

    def _send_request(self, at_s: float) -> None:
        drawn = self._random.random()
        priority = 0 if drawn < 0.1 else 1 if drawn < 0.7 else 2
        method = "POST" if self._random.random() < self._settings.order_share else "GET"
        sock = self._idle.pop() if self._idle else self._connect()
        try:
            sock.sendall(_request(method, priority))
            status, outcome = _read_status(sock)
        except (OSError, ValueError):
            sock.close()
            self._add_sample(priority, at_s, 0, "lost")
            return
        self._idle.append(sock)
        self._add_sample(priority, at_s, status, outcome)

    def _add_sample(self, priority: int, at_s: float, status: int, outcome: str) -> None:
        latency_s = monotonic() - at_s
        self._samples.append(Sample(priority, at_s - self._begin_s, latency_s, status, outcome))

    def _connect(self) -> socket.socket:
        address = self._random.choice(self._settings.addresses)
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=10.0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


def _make_request_context(settings: EntrySettings) -> RequestContext:
    service = Service(
        "measured",
        "team",
        (HOST,),
        len(settings.addresses),
        Size(1, 1),
        slots=settings.slots,
        timeout_s=settings.timeout_s,
    )
    upstreams = tuple(
        Upstream(f"t{n}.1", "measured", address, "a", f"w{n}", settings.slots)
        for n, address in enumerate(settings.addresses)
    )
    random = Random(settings.seed)
    context = make_context(
        service_by_host={HOST: service}.get,
        upstreams_of=lambda _name: upstreams,
        zone_is_out_of_service=lambda _zone: False,
        has_configuration=lambda: True,
        table=MemoryTable(),
        objects=None,
        timeline=Timeline("entry", "a", monotonic),
        availability_zone="a",
        vm_id="entry",
        random=random,
    )
    if settings.policy == "product":
        return context
    states = UpstreamStateRegistry(monotonic, context.timeline)
    # The baselines must run without limits of any kind.
    return context._replace(
        pool=UpstreamPool(max_connections_to_worker=UNLIMITED_CONNECTIONS),
        upstream_states=states,
        choose=ROUTING_BASELINES[settings.policy](states, random),
    )


def _upstream_handler(
    settings: UpstreamSettings, random: Random
) -> Callable[[socket.socket, tuple], None]:
    slots = BoundedSemaphore(settings.slots)

    def respond() -> bytes:
        if settings.failing:
            return FAILED_ANSWER
        if settings.service_s == 0.0:
            return ANSWER
        with slots:
            sleep(settings.service_s * random.uniform(0.5, 1.5))
        return ANSWER

    def handle(sock: socket.socket, _address: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while sock.recv(BLOCK_BYTES):
                sock.sendall(respond())
        except OSError:
            return

    return handle


def _request(method: str, priority: int) -> bytes:
    urgency = (1, 3, 6)[priority]
    length = "Content-Length: 0\r\n" if method == "POST" else ""
    return (
        f"{method} /measured?x=1 HTTP/1.1\r\nHost: {HOST}\r\nUser-Agent: load\r\n"
        f"Accept: */*\r\nPriority: u={urgency}\r\n{length}\r\n"
    ).encode()


def _read_status(sock: socket.socket) -> tuple[int, str]:
    # Responses are short, but one read may return only a part of a response.
    block = b""
    while True:
        received = sock.recv(BLOCK_BYTES)
        if not received:
            raise ConnectionResetError
        block += received
        head, separator, body = block.partition(b"\r\n\r\n")
        if separator and len(body) >= _content_length(head):
            outcome = head.partition(b"Laburnumswitch-Outcome: ")[2].partition(b"\r\n")[0]
            return int(head[9:12]), outcome.decode()


def _content_length(head: bytes) -> int:
    length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
    return int(length) if length else 0


def _top_functions(profile: Profile) -> tuple[str, ...]:
    stats = Stats(profile)
    rows = sorted(stats.stats.items(), key=lambda item: -item[1][2])[:PROFILE_LINES]
    total_s = sum(row[2] for row in stats.stats.values())
    return tuple(
        f"{name} ({file.rpartition('/')[2]}): {100 * own_s / total_s:.1f}%"
        for (file, _line, name), (_calls, _primitive, own_s, _all_s, _callers) in rows
    )


def _cpu_s() -> float:
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _wait_for_end() -> None:
    ended = Event()
    signal_handler(SIGTERM, ended.set)
    ended.wait()


def _write_line(value: object) -> None:
    stdout.write(encode(value).decode() + "\n")
    stdout.flush()


def main() -> None:
    """Run the role named by the first argument."""
    role = argv[1]
    line = stdin.readline()
    if role == "upstreams":
        run_upstreams(decode(line, type=UpstreamsSettings))
    elif role == "load":
        run_load(decode(line, type=LoadSettings))
    else:
        settings = decode(line, type=EntrySettings)
        (run_relay if settings.relay else run_entry)(settings)


if __name__ == "__main__":
    main()
