"""Metrics of the owner by organisation, for a bounded number of organisations."""

from collections.abc import Callable
from collections.abc import Iterable

from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.organisation_update import waiting_tasks
from laburnumswitch.process.dispatch.quota import NOTHING_RUNS
from laburnumswitch.process.dispatch.quota import OrganisationTotal
from laburnumswitch.process.observing.bounded_labels import BoundedLabels
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


ReadOrganisation = Callable[[OrganisationTotal, Organisation], float]


def register_usage_metrics(metrics: Metrics, owner: Callable[[], Dispatcher | None]) -> None:
    """Register what organisations have running and their limits, for at most 50 of them.

    :param owner: returns the dispatcher, ``None`` unless this entry is the owner.
    """
    labels = BoundedLabels()

    def reader(read: ReadOrganisation) -> Callable[[], Iterable[Sample]]:
        return lambda: organisation_samples(owner(), labels, read)

    running: dict[str, tuple[str, ReadOrganisation]] = {
        "runs": ("Runs of an organisation.", lambda total, _: total.runs),
        "running_cpu_millis": (
            "Processors of an organisation's runs, in thousandths of a core.",
            lambda total, _: total.size.cpu_millis,
        ),
        "running_memory_mb": (
            "Memory of an organisation's runs, in MB.",
            lambda total, _: total.size.memory_mb,
        ),
        "running_accelerators": (
            "Accelerators of an organisation's runs.",
            lambda total, _: total.size.accelerators,
        ),
        "limit_cpu_millis": (
            "Limit of an organisation's processors, in thousandths of a core, 0 for none.",
            lambda _, known: known.limit.cpu_millis,
        ),
        "limit_memory_mb": (
            "Limit of an organisation's memory, in MB, 0 for none.",
            lambda _, known: known.limit.memory_mb,
        ),
        "limit_accelerators": (
            "Limit of an organisation's accelerators, 0 for none.",
            lambda _, known: known.limit.accelerators,
        ),
    }
    for name, (help_text, read) in running.items():
        metrics.add_gauges(f"laburnumswitch_organisation_{name}", help_text, reader(read))


def organisation_samples(
    dispatcher: Dispatcher | None, labels: BoundedLabels, read: ReadOrganisation
) -> list[Sample]:
    """Return a value for each organisation that is configured or has runs, 0 unless on the owner.

    The organisations beyond the bound are added up.
    """
    value_by_label = dict.fromkeys(labels.values, 0.0)
    if dispatcher is not None:
        configuration = dispatcher.context.operations.configuration
        known_by_name = configuration.organisations_by_name if configuration else {}
        totals = dispatcher.organisation_usage.total_by_organisation
        for name in dict.fromkeys((*known_by_name, *totals)):
            known = known_by_name.get(name) or Organisation(name)
            label = labels.label(name)
            value = read(totals.get(name, NOTHING_RUNS), known)
            value_by_label[label] = value_by_label.get(label, 0.0) + value
    return [Sample({"organisation": label}, value) for label, value in value_by_label.items()]
