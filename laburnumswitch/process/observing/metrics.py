"""Metrics registry of a daemon, rendered in Prometheus' text format."""

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
    """Value of a metric for one set of labels."""

    labels: Mapping[str, str]
    value: float


class _CallbackMetric(NamedTuple):
    collector: Counter | Gauge
    read: Callable[[], Iterable[Sample]]


class Metrics:
    """Metrics registry; most values are read by callbacks when the page is rendered.

    ``names`` lists the registered metrics.
    """

    def __init__(self) -> None:
        self.events_by_kind: CounterOf[str] = CounterOf()
        self.run_ends_by_how: CounterOf[str] = CounterOf()
        self.names: list[str] = []
        self._registry = Registry()
        self._callback_metrics: list[_CallbackMetric] = []
        self.add_counters(
            "laburnumswitch_events_total",
            "Events of the time line, by kind.",
            lambda: _samples("kind", self.events_by_kind),
        )
        self.add_counters(
            "laburnumswitch_runs_ended_total",
            "Ends of runs, by how they ended.",
            lambda: _samples("how", self.run_ends_by_how),
        )
        self.add_counter(
            "process_cpu_seconds_total", "Processor time of this process.", _processor_seconds
        )
        self.add_gauge(
            "process_resident_memory_bytes", "Resident memory of this process.", _resident_bytes
        )

    def count_event(self, event: Event) -> None:
        """Count one timeline event."""
        self.events_by_kind[event.kind] += 1
        if event.kind == "run_ended":
            self.run_ends_by_how[str(event.details["how"])] += 1

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read by a callback."""
        self.add_gauges(name, help_text, lambda: [Sample({}, read())])

    def add_gauges(self, name: str, help_text: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Register a gauge with labels that is read by a callback."""
        self.names.append(name)
        gauge = Gauge(name, help_text, registry=self._registry)
        self._callback_metrics.append(_CallbackMetric(gauge, read))

    def add_histogram(self, name: str, help_text: str, buckets: tuple[float, ...]) -> Histogram:
        """Register a histogram and return it; the caller adds the values.

        :param buckets: finite upper bounds.
        """
        self.names.append(name)
        bounds = (*buckets, float("inf"))
        return Histogram(name, help_text, registry=self._registry, buckets=bounds)

    def add_direct_counter(self, name: str, help_text: str) -> Counter:
        """Register a counter and return it; the caller increments it."""
        self.names.append(name)
        return Counter(name, help_text, registry=self._registry)

    def add_counter(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a counter that is read by a callback."""
        self.add_counters(name, help_text, lambda: [Sample({}, read())])

    def add_counters(self, name: str, help_text: str, read: Callable[[], Iterable[Sample]]) -> None:
        """Register a counter with labels that is read by a callback."""
        self.names.append(name)
        counter = Counter(name, help_text, registry=self._registry)
        self._callback_metrics.append(_CallbackMetric(counter, read))

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the metrics page and its content type."""
        for metric in self._callback_metrics:
            for sample in metric.read():
                labels = {name: _escape(value) for name, value in sample.labels.items()}
                metric.collector.set(labels, sample.value)
        content, headers = render(self._registry, [accept])
        return content, headers["Content-Type"]


def _escape(value: str) -> str:
    # The renderer writes label values as they are; some are names that operators chose.
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _samples(label: str, count_by_value: Mapping[str, int]) -> list[Sample]:
    return [Sample({label: value}, number) for value, number in count_by_value.items()]


def _processor_seconds() -> float:
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _resident_bytes() -> float:
    with open(MEMORY_FILE, encoding="ascii") as statm:
        return float(statm.read().split()[1]) * PAGE_BYTES
