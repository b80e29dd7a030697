"""Metrics of the daemon, in Prometheus' text format."""

from collections import Counter as CounterOf
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from os import sysconf
from resource import getrusage
from resource import RUSAGE_SELF
from typing import NamedTuple

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus.renderer import render

from laburnumswitch.process.observing.timeline import Event

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
    """The registry; most values are read from their owners when the page is asked for."""

    def __init__(self) -> None:
        self.events_by_kind: CounterOf[str] = CounterOf()
        self.ended_by_how: CounterOf[str] = CounterOf()
        self.names: list[str] = []
        self._registry = Registry()
        self._sampled: list[_Sampled] = []
        self.add_counters(
            "laburnumswitch_events_total",
            "Events of the time line, by kind.",
            lambda: _samples("kind", self.events_by_kind),
        )
        self.add_counters(
            "laburnumswitch_runs_ended_total",
            "Ends of runs, by how they ended.",
            lambda: _samples("how", self.ended_by_how),
        )
        self.add_counter(
            "process_cpu_seconds_total", "Processor time of this process.", _processor_seconds
        )
        self.add_gauge(
            "process_resident_memory_bytes", "Resident memory of this process.", _resident_bytes
        )

    def count_event(self, event: Event) -> None:
        """Count one event of the time line."""
        self.events_by_kind[event.kind] += 1
        if event.kind == "run_ended":
            self.ended_by_how[str(event.details["how"])] += 1

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a value that may fall."""
        self.add_gauges(name, help_text, lambda: [Sample({}, read())])

    def add_gauges(self, name: str, help_text: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Register a value that may fall, under several labels."""
        self.names.append(name)
        gauge = Gauge(name, help_text, registry=self._registry)
        self._sampled.append(_Sampled(gauge, read))

    def add_histogram(self, name: str, help_text: str, buckets: tuple[float, ...]) -> Histogram:
        """Register a distribution and return it, for its owner to add values to.

        :param buckets: upper bounds, without the infinite one.
        """
        self.names.append(name)
        bounds = (*buckets, float("inf"))
        return Histogram(name, help_text, registry=self._registry, buckets=bounds)

    def add_direct_counter(self, name: str, help_text: str) -> Counter:
        """Register a counter and return it, for its owner to raise."""
        self.names.append(name)
        return Counter(name, help_text, registry=self._registry)

    def add_counter(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a value that only rises."""
        self.add_counters(name, help_text, lambda: [Sample({}, read())])

    def add_counters(self, name: str, help_text: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Register a value that only rises, under several labels."""
        self.names.append(name)
        counter = Counter(name, help_text, registry=self._registry)
        self._sampled.append(_Sampled(counter, read))

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the page and its content type."""
        for sampled in self._sampled:
            for sample in sampled.read():
                sampled.collector.set(dict(sample.labels), sample.value)
        content, headers = render(self._registry, [accept])
        return content, headers["Content-Type"]


def _samples(label: str, number_by_value: Mapping[str, int]) -> list[Sample]:
    return [Sample({label: value}, number) for value, number in number_by_value.items()]


def _processor_seconds() -> float:
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _resident_bytes() -> float:
    with open(MEMORY_FILE, encoding="ascii") as statm:
        return float(statm.read().split()[1]) * PAGE_BYTES
