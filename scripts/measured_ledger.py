"""Unit costs of a ledger: memory, placement, replay, snapshot and record sizes."""

from gc import collect
from random import Random
from statistics import median
from time import perf_counter
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing
from typing import NamedTuple

from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.records import ChunkTaken
from laburnumswitch.process.ledger.records import Ended
from laburnumswitch.process.ledger.records import JournalRow
from laburnumswitch.process.ledger.records import read_journal_row
from laburnumswitch.process.ledger.records import Record
from laburnumswitch.process.ledger.records import RecordedOutcome
from laburnumswitch.process.ledger.records import Started
from laburnumswitch.process.ledger.records import WorkerSeen
from laburnumswitch.process.ledger.snapshot import decode_ledger
from laburnumswitch.process.ledger.snapshot import encode_ledger
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.placement import CandidateIndex
from laburnumswitch.process.placing.placement import CandidateWorker
from laburnumswitch.process.placing.placement import choose_worker
from laburnumswitch.process.placing.plan import WorkerChooser
from laburnumswitch.process.workers.task_spec import encode_task_spec
from laburnumswitch.process.workers.task_spec import TaskSpec
from laburnumswitch.size import Size
from standin.placement import choose_first_fit

CAPACITY = Size(64_000, 250_000)
TASK_SIZE = Size(2_300, 9_000)
TASKS_PER_JOB = 500
STARTS_PER_ROW = 100
PLACEMENT_DECISIONS = 2_000


class LedgerCost(NamedTuple):
    """Costs of a ledger of one size; name suffixes give the units."""

    workers: int
    tasks: int
    bytes_per_worker: float
    bytes_per_task: float
    placement_us: float
    placement_p99_us: float
    first_fit_us: float
    replay_records_per_s: float
    replay_ms: float
    snapshot_bytes: int
    snapshot_encode_ms: float
    snapshot_load_ms: float
    start_record_bytes: float
    end_record_bytes: float


def measure_ledger(workers: int, tasks: int, seed: int) -> LedgerCost:
    """Build a ledger of ``workers`` workers that run ``tasks`` tasks, and measure it."""
    worker_records = [_make_worker_record(number) for number in range(workers)]
    task_records = _make_task_records(tasks, workers, Random(seed))
    worker_bytes, task_bytes = _measure_memory(worker_records, task_records)
    rows = [encode(row) for row in _journal_rows((*worker_records, *task_records))]
    started_s = perf_counter()
    ledger = _replay(rows)
    replay_s = perf_counter() - started_s
    started_s = perf_counter()
    snapshot = encode_ledger(ledger)
    encode_s = perf_counter() - started_s
    started_s = perf_counter()
    decode_ledger("snapshot", snapshot)
    load_s = perf_counter() - started_s
    placement_times = _placement_times(ledger, choose_worker, Random(seed))
    first_fit_times = _placement_times(ledger, choose_first_fit, Random(seed))
    records = len(worker_records) + len(task_records)
    return LedgerCost(
        workers,
        tasks,
        worker_bytes / workers,
        task_bytes / tasks,
        median(placement_times) * 1e6,
        sorted(placement_times)[int(len(placement_times) * 0.99)] * 1e6,
        median(first_fit_times) * 1e6,
        records / replay_s,
        replay_s * 1e3,
        len(snapshot),
        encode_s * 1e3,
        load_s * 1e3,
        _bytes_per_start(task_records),
        _bytes_per_end(task_records),
    )


def _make_worker_record(number: int) -> WorkerSeen:
    zone = f"zone-{number % 4}"
    rack = f"rack-{number // 8}"
    return WorkerSeen(f"worker-{number:05d}", f"boot-{number:08x}", zone, rack, CAPACITY)


def _make_task_records(tasks: int, workers: int, random: Random) -> list[Record]:
    """Return the chunk and start records of tasks spread over the workers at random."""
    records: list[Record] = []
    order = [number % workers for number in range(tasks)]
    random.shuffle(order)
    for group, first in enumerate(range(0, tasks, TASKS_PER_JOB)):
        count = min(TASKS_PER_JOB, tasks - first)
        work = TaskSpec(
            job_id=f"weekly-comparison-{group}@20261203T020000Z",
            name=f"class-{group % 12}",
            team=f"team-{group % 4}",
            command=("compare", "--week", str(group)),
            size=TASK_SIZE,
            run_time_s=58.0,
        )
        records.append(ChunkTaken(f"chunk-{group}", encode_task_spec(work), 0, count))
        indexes_by_worker: dict[int, list[int]] = {}
        for index in range(count):
            indexes_by_worker.setdefault(order[first + index], []).append(index)
        for worker, indexes in indexes_by_worker.items():
            records.append(Started(worker, group, tuple(indexes)))
    return records


def _measure_memory(
    worker_records: list[WorkerSeen], task_records: list[Record]
) -> tuple[int, int]:
    collect()
    start_tracing()
    ledger = Ledger()
    base = get_traced_memory()[0]
    ledger.apply_all(decode_records(worker_records))
    collect()
    with_workers = get_traced_memory()[0]
    ledger.apply_all(decode_records(task_records))
    collect()
    with_tasks = get_traced_memory()[0]
    stop_tracing()
    return with_workers - base, with_tasks - with_workers


def decode_records(records: list[Record]) -> tuple[Record, ...]:
    """Return records as read from the table, sharing no memory with the given ones."""
    row = decode(encode(JournalRow(1, "batch", tuple(records))))
    return read_journal_row("row", row).records


def _journal_rows(records: tuple[Record, ...]) -> list[JournalRow]:
    return [
        JournalRow(1, f"entry-1-1-{first}", records[first : first + STARTS_PER_ROW])
        for first in range(0, len(records), STARTS_PER_ROW)
    ]


def _replay(rows: list[bytes]) -> Ledger:
    ledger = Ledger()
    for row in rows:
        conflict = ledger.apply_all(read_journal_row("row", decode(row)).records)
        if conflict is not None:
            raise RuntimeError(conflict.describe())
    return ledger


def _placement_times(ledger: Ledger, choose: WorkerChooser, random: Random) -> list[float]:
    """Time placement decisions on the ledger's workers.

    About half of them are given less free CPU than a task needs.
    """
    index = CandidateIndex()
    interference = Interference()
    for worker in ledger.worker_by_number.values():
        cpu_millis_by_class: dict[str, int] = {}
        for key in worker.runs:
            name = ledger.group_by_number[key.group].task_spec.name
            cpu_millis_by_class[name] = cpu_millis_by_class.get(name, 0) + TASK_SIZE.cpu_millis
        free = worker.free
        if random.random() < 0.5:
            free = Size(random.randrange(2_000), free.memory_mb)
        zone, rack = worker.availability_zone, worker.rack
        services = {"orders": 1} if worker.number % 3 == 0 else {}
        index.put(
            CandidateWorker(
                worker.number,
                worker.worker_id,
                zone,
                rack,
                worker.capacity,
                free,
                cpu_millis_by_class,
                services,
            )
        )
    times = []
    for number in range(PLACEMENT_DECISIONS):
        work = ledger.group_by_number[number % len(ledger.group_by_number)].task_spec
        started_s = perf_counter()
        candidate = choose(index, work, interference, random)
        if candidate is not None:
            index.assign(candidate.number, work)
        times.append(perf_counter() - started_s)
    return times


def _bytes_per_start(records: list[Record]) -> float:
    starts = [record for record in records if isinstance(record, Started)]
    count = sum(len(record.indexes) for record in starts)
    return sum(len(encode(record)) + 1 for record in starts) / count


def _bytes_per_end(records: list[Record]) -> float:
    starts = [record for record in records if isinstance(record, Started)]
    ends = [Ended(RecordedOutcome.FINISHED, record.group, record.indexes) for record in starts]
    count = sum(len(record.indexes) for record in ends)
    return sum(len(encode(record)) + 1 for record in ends) / count
