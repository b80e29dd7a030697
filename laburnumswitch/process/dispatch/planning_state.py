"""What one planning pass knows of a service."""

from laburnumswitch.process.dispatch.best_effort import FailedPlacements
from laburnumswitch.process.dispatch.fleet import Worker
from laburnumswitch.process.dispatch.room import NoRoom


class ServicePlanningState:
    """State of a service during one planning pass.

    :ivar usable: workers that may get starts.
    :ivar reserved_share: share of their processors that tasks reserve at the start of the pass.
    :ivar long_running_budget: processors that long-running tasks may still reserve, in thousandths
        of a core.
    :ivar reserved_workers: ids of the workers that are kept for large urgent tasks.
    :ivar failed_placements: best-effort steps that found no suitable worker.
    :ivar no_lasting_room: sizes for which the workers of the service, draining ones excluded, have
        room for fewer than ``MIN_SPARE_SLOTS`` tasks.
    """

    def __init__(self, usable: list[Worker], long_running_budget: float) -> None:
        capacity = sum(worker.listing.cpu_millis for worker in usable)
        reserved = sum(worker.used_cpu_millis for worker in usable)
        self.usable = usable
        self.reserved_share = reserved / max(1, capacity)
        self.long_running_budget = long_running_budget
        self.reserved_workers: set[str] = set()
        self.failed_placements = FailedPlacements()
        self.no_lasting_room = NoRoom()
        self._no_room = NoRoom()
        self._no_unreserved_room = NoRoom()
        self._unreserved = usable

    def unreserved_workers(self) -> list[Worker]:
        """Return the usable workers that are not kept for large urgent tasks."""
        reserved = self.reserved_workers
        if len(self._unreserved) != len(self.usable) - len(reserved):
            self._unreserved = [each for each in self.usable if each.worker_id not in reserved]
        return self._unreserved if reserved else self.usable

    def no_room_on(self, workers: list[Worker]) -> NoRoom:
        """Return the sizes that fit none of the usable or of the unreserved workers."""
        return self._no_room if workers is self.usable else self._no_unreserved_room
