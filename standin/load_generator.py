"""Open-loop load of orders and reads that callers send through several entries."""

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import NamedTuple
from typing import TypedDict

from gevent import sleep
from gevent import spawn
from hdrh.histogram import HdrHistogram
from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import decode

from standin.balancer import Balancer
from standin.balancer import Entry
from standin.caller_connection import CallerAnswer
from standin.caller_connection import CallerConnectionPool
from standin.caller_connection import OutgoingRequest
from standin.records import Asked
from standin.records import Record
from standin.server import Call
from standin.server import json_reply
from standin.server import NOT_FOUND
from standin.server import Reply
from standin.upstream import ReplicaAnswer
from standin.upstream import REQUEST_HEADER

ATTEMPT_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 6
BACKOFF_S = 0.3
NO_ENTRY_WAIT_S = 0.2
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9)


class RequestStream(NamedTuple):
    """Requests to one host and path; orders are POSTs with an ``Idempotency-Key``."""

    host: str
    path: str
    reads_per_s: float = 0.0
    orders_per_s: float = 0.0


class LatencySummary(NamedTuple):
    """Count and latency percentiles of answered requests."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class LoadRequest(TypedDict):
    """Body of ``POST /load``; an empty list ends the load."""

    sources: list[RequestStream]


class EntriesRequest(TypedDict):
    """Body of ``POST /entries``."""

    entries: list[Entry]


class LoadProgress(TypedDict):
    """Answer to ``GET /progress``; ``tails`` is keyed by host and method."""

    sent: int
    in_flight: int
    tails: dict[str, LatencySummary]


class LoadGenerator:
    """Sends and records requests; ``delay_s`` is the one-way delay between callers and entries."""

    def __init__(
        self,
        record: Callable[[Record], None],
        random: Random,
        delay_s: float = 0.0,
        name: str = "c",
        balancer: Balancer | None = None,
        clock: Callable[[], float] = monotonic,
        pause: Callable[[float], None] = sleep,
    ) -> None:
        self.balancer = balancer or Balancer()
        self.sent = 0
        self.in_flight = 0
        self._record = record
        self._random = random
        self._delay_s = delay_s
        self._name = name
        self._clock = clock
        self._pause = pause
        self._load_version = 0
        self._connections_by_address: dict[str, CallerConnectionPool] = {}
        self._histogram_by_stream: dict[str, HdrHistogram] = {}

    def handle(self, call: Call) -> Reply:
        """Answer one call from the launcher."""
        if call.method == "POST" and call.path == "/entries":
            self.balancer.set_entries(decode(call.body, type=EntriesRequest)["entries"])
            return json_reply(True)
        if call.method == "POST" and call.path == "/load":
            self._set_load(decode(call.body, type=LoadRequest)["sources"])
            return json_reply(True)
        if call.path == "/progress":
            return json_reply(self._progress())
        return NOT_FOUND

    def send_request(self, stream: RequestStream, method: str) -> None:
        """Send one request, retrying until it is answered, and record every attempt."""
        self.sent += 1
        self.in_flight += 1
        began_s = self._clock()
        logical_id = f"{self._name}-{self.sent}"
        avoid = ""
        for number in range(MAX_ATTEMPTS):
            attempt = self._attempt(stream, method, logical_id, number, avoid)
            if attempt.outcome == "answered":
                self._count_latency(f"{stream.host} {method}", self._clock() - began_s)
                break
            avoid = attempt.entry
            self._pause(BACKOFF_S * (number + self._random.random()))
        self.in_flight -= 1

    def _set_load(self, streams: list[RequestStream]) -> None:
        self._load_version += 1
        for stream in streams:
            spawn(self._generate_arrivals, self._load_version, stream, "GET", stream.reads_per_s)
            spawn(self._generate_arrivals, self._load_version, stream, "POST", stream.orders_per_s)

    def _generate_arrivals(
        self, load_version: int, stream: RequestStream, method: str, per_s: float
    ) -> None:
        # Open loop: arrivals don't depend on how long earlier requests take.
        next_s = self._clock()
        while per_s > 0 and load_version == self._load_version:
            next_s += self._random.expovariate(per_s)
            self._pause(max(0.0, next_s - self._clock()))
            spawn(self.send_request, stream, method)

    def _attempt(
        self, stream: RequestStream, method: str, logical_id: str, number: int, avoid: str
    ) -> Asked:
        entry = self.balancer.choose(avoid)
        while entry is None:
            self._pause(NO_ENTRY_WAIT_S)
            entry = self.balancer.choose(avoid)
        request_id = f"{logical_id}.{number}"
        key = f"key-{logical_id}" if method == "POST" else ""
        request = _request(stream, method, request_id, key)
        sent_s = self._clock()
        self._pause(self._delay_s)
        answer = self._connections(entry).send(request, ATTEMPT_TIMEOUT_S)
        self._pause(self._delay_s)
        attempt = Asked(
            sent_s,
            self._clock(),
            entry.vm_id,
            logical_id,
            request_id,
            key,
            method,
            answer.outcome,
            answer.status,
            is_own_answer(answer, request_id, key),
        )
        self._record(attempt)
        return attempt

    def _connections(self, entry: Entry) -> CallerConnectionPool:
        address = entry.caller_address
        if address not in self._connections_by_address:
            self._connections_by_address[address] = CallerConnectionPool(address)
        return self._connections_by_address[address]

    def _count_latency(self, stream: str, latency_s: float) -> None:
        histogram = self._histogram_by_stream.get(stream)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histogram_by_stream[stream] = histogram
        histogram.record_value(int(latency_s * 1_000_000))

    def _progress(self) -> LoadProgress:
        tails = {
            stream: _latency_summary(found) for stream, found in self._histogram_by_stream.items()
        }
        return {"sent": self.sent, "in_flight": self.in_flight, "tails": tails}


def is_own_answer(answer: CallerAnswer, request_id: str, key: str) -> bool:
    """Return whether an upstream's answer belongs to the request.

    For a request with a key, the answer to any attempt under that key does.
    """
    try:
        body = decode(answer.body, type=ReplicaAnswer)
    except (DecodeError, ValidationError):
        return False
    return body.key == key if key else body.request_id == request_id


def _request(stream: RequestStream, method: str, request_id: str, key: str) -> OutgoingRequest:
    headers = ((REQUEST_HEADER, request_id),)
    if not key:
        return OutgoingRequest(method, stream.host, stream.path, headers)
    headers += (("Idempotency-Key", key), ("Content-Type", "application/json"))
    return OutgoingRequest(method, stream.host, stream.path, headers, b'{"items": [["rice", 2]]}')


def _latency_summary(histogram: HdrHistogram) -> LatencySummary:
    values = [histogram.get_value_at_percentile(part) / 1000 for part in PERCENTILES]
    return LatencySummary(histogram.get_total_count(), *values)
