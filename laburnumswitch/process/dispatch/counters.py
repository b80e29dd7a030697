"""Counts of what the owner has done in its term."""


class Counters:
    """Counters for the metrics, from the start of the owner's term."""

    def __init__(self) -> None:
        self.starts = 0
        self.refused_starts = 0
        self.uncertain_starts = 0
        self.renewals = 0
        self.throttles = 0
        self.vm_list_readings = 0
        # Long-running jobs for which there was no room.
        self.rejected_jobs = 0
        # Runs that a worker reported while their task also ran elsewhere.
        self.duplicate_runs = 0
        # Greenlets that began anew after an unexpected error.
        self.failed_tasks = 0
        self.ended_count_by_outcome: dict[str, int] = {}
