"""Reports of runs whose jobs the owner does not know yet."""

from typing import NamedTuple

from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.worker_protocol import EndReport
from laburnumswitch.process.dispatch.worker_protocol import RunReport


class OrphanRun(NamedTuple):
    """A reported run whose job is not known yet, and when it was first seen."""

    worker: Worker
    report: RunReport
    seen_s: float


class OrphanEnd(NamedTuple):
    """An ended run whose job is not known yet, and when it was first reported."""

    worker: Worker
    report: EndReport
    seen_s: float
