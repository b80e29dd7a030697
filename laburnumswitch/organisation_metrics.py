"""Metrics of the owner by organisation, for a bounded number of organisations."""

from collections.abc import Callable

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.organisation_update import waiting_tasks
from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.process.observing.metrics import Sample

# Number of organisations with values of their own; those of all others are added up.
MAX_ORGANISATIONS = 50
OTHER = "other"


def register_organisation_metrics(
    metrics: Metrics, find_dispatcher: Callable[[], Dispatcher | None]
) -> None:
    """Register the metrics of waiting tasks and rejected jobs, which have values on the owner only.

    :param find_dispatcher: returns the dispatcher of this entry, ``None`` unless it is the owner.
    """

    def read_waiting() -> list[Sample]:
        dispatcher = find_dispatcher()
        if dispatcher is None:
            return []
        labelled = labelled_organisations(dispatcher)
        count_by_label: dict[str, float] = dict.fromkeys(labelled, 0)
        for name, tasks in waiting_tasks(dispatcher).items():
            label = name if name in labelled else OTHER
            count_by_label[label] = count_by_label.get(label, 0) + tasks
        return [Sample({"organisation": label}, n) for label, n in count_by_label.items()]

    def read_rejected() -> list[Sample]:
        dispatcher = find_dispatcher()
        if dispatcher is None:
            return []
        labelled = labelled_organisations(dispatcher)
        count_by_labels: dict[tuple[str, str], float] = {}
        rejected = dispatcher.organisation_admissions.rejected_by_cause
        for (name, cause), count in rejected.items():
            key = (name if name in labelled else OTHER, str(cause))
            count_by_labels[key] = count_by_labels.get(key, 0) + count
        return [
            Sample({"organisation": label, "cause": cause}, count)
            for (label, cause), count in count_by_labels.items()
        ]

    metrics.add_gauges(
        "laburnumswitch_owner_organisation_waiting_tasks",
        "Tasks of an organisation that could start now.",
        _with_zeros(read_waiting),
    )
    metrics.add_gauges(
        "laburnumswitch_owner_organisation_rejected_jobs",
        "Jobs of an organisation rejected by this owner, by cause.",
        _with_zeros(read_rejected),
    )


def _with_zeros(read: Callable[[], list[Sample]]) -> Callable[[], list[Sample]]:
    """Return a reader that gives 0 for earlier values which are absent now.

    The registry keeps the last value of each series, and an entry that was the owner would show it.
    """
    known: dict[frozenset[tuple[str, str]], Sample] = {}

    def read_all() -> list[Sample]:
        current = {frozenset(sample.labels.items()): sample for sample in read()}
        known.update(current)
        return [current.get(key, sample._replace(value=0)) for key, sample in known.items()]

    return read_all


def labelled_organisations(dispatcher: Dispatcher) -> tuple[str, ...]:
    """Return the organisations with values of their own, those of the largest weight."""
    organisations = dispatcher.context.operations.organisations_by_name.values()
    ranked = sorted(organisations, key=lambda each: (-each.weight, each.name))
    return tuple(each.name for each in ranked[:MAX_ORGANISATIONS])
