"""Metrics of the daemon, in Prometheus' text format."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from os import sysconf
from resource import getrusage
from resource import RUSAGE_SELF
from typing import NamedTuple

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus.renderer import render

PAGE_BYTES = sysconf("SC_PAGE_SIZE")
MEMORY_FILE = "/proc/self/statm"


class Sample(NamedTuple):
    """One value of a metric under its labels."""

    labels: Mapping[str, str]
    value: float


class _Sampled(NamedTuple):
    collector: Counter | Gauge
    read: Callable[[], Iterable[Sample]]


class Metrics:
    """The registry; all but the events are read from their owners when the page is asked for."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._events = Counter(
            "laburnumswitch_events_total",
            "Events of the time line, by kind.",
            registry=self._registry,
        )
        self._sampled: list[_Sampled] = []
        self.add_counter(
            "process_cpu_seconds_total", "Processor time of this process.", _processor_seconds
        )
        self.add_gauge(
            "process_resident_memory_bytes", "Resident memory of this process.", _resident_bytes
        )

    def count_event(self, kind: str) -> None:
        """Count one event of the time line."""
        self._events.inc({"kind": kind})

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a value that may fall."""
        gauge = Gauge(name, help_text, registry=self._registry)
        self._sampled.append(_Sampled(gauge, lambda: [Sample({}, read())]))

    def add_counter(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a value that only rises."""
        self.add_counters(name, help_text, lambda: [Sample({}, read())])

    def add_counters(self, name: str, help_text: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Register a value that only rises, under several labels."""
        counter = Counter(name, help_text, registry=self._registry)
        self._sampled.append(_Sampled(counter, read))

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the page and its content type."""
        for sampled in self._sampled:
            for sample in sampled.read():
                sampled.collector.set(dict(sample.labels), sample.value)
        content, headers = render(self._registry, [accept])
        return content, headers["Content-Type"]


def _processor_seconds() -> float:
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _resident_bytes() -> float:
    with open(MEMORY_FILE, encoding="ascii") as statm:
        return float(statm.read().split()[1]) * PAGE_BYTES
