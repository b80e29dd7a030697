"""Metrics of the daemon, in Prometheus' text format."""

from collections.abc import Callable
from os import sysconf
from resource import getrusage
from resource import RUSAGE_SELF

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus.renderer import render

REQUEST_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]
PAGE_BYTES = sysconf("SC_PAGE_SIZE")
MEMORY_FILE = "/proc/self/statm"


class Metrics:
    """The registry, its counters, and gauges that are read when the page is asked for."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._events = self._add(
            Counter("laburnumswitch_events_total", "Events of the time line, by kind.")
        )
        self._requests = self._add(
            Counter("laburnumswitch_requests_total", "Callers' requests, by service and outcome.")
        )
        self._latency = self._add(
            Histogram(
                "laburnumswitch_request_seconds",
                "Time from a request's head to the end of its answer.",
                buckets=REQUEST_BUCKETS_S,
            )
        )
        self._sampled: list[tuple[Gauge, Callable[[], float]]] = []
        self.add_gauge(
            "process_cpu_seconds_total", "Processor time of this process.", _processor_seconds
        )
        self.add_gauge(
            "process_resident_memory_bytes", "Resident memory of this process.", _resident_bytes
        )

    def add_gauge(self, name: str, help_text: str, sample: Callable[[], float]) -> None:
        """Register a gauge whose value is ``sample()`` at the time of reading."""
        self._sampled.append((self._add(Gauge(name, help_text)), sample))

    def count_event(self, kind: str) -> None:
        """Count one event of the time line."""
        self._events.inc({"kind": kind})

    def observe_request(self, service: str, outcome: str, seconds: float) -> None:
        """Count one answered request and its latency."""
        self._requests.inc({"service": service, "outcome": outcome})
        self._latency.add({"service": service}, seconds)

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the page and its content type."""
        for gauge, sample in self._sampled:
            gauge.set({}, sample())
        content, headers = render(self._registry, [accept])
        return content, headers["Content-Type"]

    def _add(self, collector: Counter | Gauge | Histogram) -> Counter | Gauge | Histogram:
        self._registry.register(collector)
        return collector


def _processor_seconds() -> float:
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _resident_bytes() -> float:
    with open(MEMORY_FILE, encoding="ascii") as statm:
        return float(statm.read().split()[1]) * PAGE_BYTES
