"""Owners that end one after the other, each soon after it took over, while workers leave or end.

Nothing of this is among the faults that are drawn one by one, so that their seeds stay the same.
"""

import signal
from collections.abc import Callable
from random import Random
from time import monotonic
from time import time
from typing import NamedTuple

from gevent import Greenlet
from gevent import joinall
from gevent import killall
from gevent import sleep
from gevent import spawn

from laburnumswitch.process.leadership.term import decode_term
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Transaction
from soak.cluster import Cluster
from soak.entries import EntryProcess
from soak.proxy import Mode
from soak.workers import EmulatedWorker
from standin.fleet.feed_table import CommitLoss
from standin.fleet.feed_table import lose_nothing
from standin.fleet.run_records import Span

# Part of the seeds with planned work only.
PLANNED_SHARE = 0.4
# Times from a takeover until the owner ends: once the owner acts, or also before it has loaded.
ACTING_S = (1.0, 2.0)
LOADING_S = (0.0, 0.2)
TERM_POLL_S = 0.01
RELEASE_INTERVAL_S = 0.7
# Time from the announcement of a departure until the worker is gone; the shortest one is the
# ``drainMs`` of the settings.
DEPARTURE_S = (2.1, 4.5)
# Time until another worker takes the place of one that leaves.
REPLACEMENT_S = 0.4
MAX_RESTART_S = 1.0
# Time from the moment from which a worker is silent until its process is gone.
SILENCE_S = (0.2, 1.5)
MAX_LOST_WORKERS = 3
# Pauses and cuts, some of which outlast the lease of an owner.
OUTAGE_S = (1.0, 9.0)
STOP_TIMEOUT_S = 6.0


class Series:
    """What happens in one series.

    :ivar troubles: spans of unplanned trouble, in seconds of ``CLOCK_MONOTONIC``.
    :ivar injected: Unix time, name and subject of each step.
    """

    def __init__(self, cluster: Cluster, random: Random, injected: list[str]) -> None:
        self.cluster = cluster
        self.random = random
        self.troubles: list[Span] = []
        self.injected = injected
        self._recoveries: list[Greenlet] = []

    def note(self, name: str, subject: str) -> None:
        """Write down a step."""
        self.injected.append(f"{time():.3f} {name} {subject}")

    def note_trouble(self, began_s: float) -> None:
        """Write down unplanned trouble that is over now."""
        self.troubles.append(Span(began_s, monotonic()))

    def recover(self, function: Callable[..., None], *arguments: object) -> None:
        """Let a function end a fault while the series goes on."""
        self._recoveries.append(spawn(function, self, *arguments))

    def join(self) -> None:
        """Wait until every fault has ended."""
        joinall(self._recoveries, raise_error=True)

    def stop(self) -> None:
        """Start nothing again from now on."""
        killall(self._recoveries)


OwnerFault = Callable[[Series, EntryProcess], None]


def kill_owner(series: Series, entry: EntryProcess) -> None:
    """Send SIGKILL to the owner, and start it again soon."""
    began_s = monotonic()
    entry.kill()
    series.recover(_start_again, entry, began_s, series.random.uniform(0.0, MAX_RESTART_S))


def stop_owner(series: Series, entry: EntryProcess) -> None:
    """Send SIGTERM to the owner, and start it again once it has exited."""
    entry.signal(signal.SIGTERM)
    series.recover(await_exit, entry)


def stop_owner_without_answer(series: Series, entry: EntryProcess) -> None:
    """Send SIGTERM to the owner, and lose the answers to the commits with which it leaves."""
    _lose_release(series, entry, CommitLoss.ANSWER)


def stop_owner_without_commit(series: Series, entry: EntryProcess) -> None:
    """Send SIGTERM to the owner, and lose the commits with which it leaves."""
    _lose_release(series, entry, CommitLoss.WRITE)


def pause_owner(series: Series, entry: EntryProcess) -> None:
    """Pause the owner with SIGSTOP, also for longer than its lease."""
    entry.signal(signal.SIGSTOP)
    series.recover(_resume, entry, monotonic(), series.random.uniform(*OUTAGE_S))


def cut_owner(series: Series, entry: EntryProcess) -> None:
    """Cut the owner off from the store, also for longer than its lease."""
    entry.store_proxy.set_mode(series.random.choice((Mode.SILENT, Mode.ONE_WAY, Mode.RESET)))
    series.recover(_reconnect, entry, monotonic(), series.random.uniform(*OUTAGE_S))


UNPLANNED: tuple[OwnerFault, ...] = (
    kill_owner,
    stop_owner_without_answer,
    stop_owner_without_commit,
    pause_owner,
    cut_owner,
)


class Mix(NamedTuple):
    """What a seed plays.

    :ivar faults: how owners end, each chosen by chance.
    :ivar delay_s: shortest and longest time from a takeover until its owner ends.
    :ivar releases_workers: whether workers announce their departure meanwhile.
    :ivar loses_workers: whether workers end with the owner.
    :ivar has_vm_list: whether entries know the list of VMs.
    """

    faults: tuple[OwnerFault, ...]
    delay_s: tuple[float, float]
    releases_workers: bool
    loses_workers: bool
    has_vm_list: bool = True

    def describe(self) -> str:
        """Return the mix as a line of the summary."""
        names = " ".join(fault.__name__ for fault in self.faults)
        return (
            f"mix: {names}, {self.delay_s[0]} to {self.delay_s[1]} s after each takeover, "
            f"releases_workers={self.releases_workers} loses_workers={self.loses_workers} "
            f"has_vm_list={self.has_vm_list}"
        )


def draw_mix(random: Random) -> Mix:
    """Draw what a seed plays."""
    delay_s = random.choice((ACTING_S, LOADING_S, (LOADING_S[0], ACTING_S[1])))
    has_vm_list = random.random() < 0.5
    if random.random() < PLANNED_SHARE:
        return Mix((stop_owner,), delay_s, True, False, has_vm_list)
    faults = random.choice(((kill_owner,), (kill_owner, stop_owner), (*UNPLANNED, stop_owner)))
    return Mix(faults, delay_s, random.random() < 0.5, random.random() < 0.7, has_vm_list)


def play_series(series: Series, mix: Mix, is_over: Callable[[], bool]) -> None:
    """End owners one after the other until ``is_over``, and wait until every fault has ended."""
    if mix.releases_workers:
        series.recover(_release_workers, is_over)
    last_epoch = 0
    while not is_over():
        term = series.cluster.read_term()
        entry = series.cluster.find_owner(term)
        if term.epoch <= last_epoch or entry is None:
            sleep(TERM_POLL_S)
            continue
        sleep(series.random.uniform(*mix.delay_s))
        last_epoch = term.epoch
        if series.cluster.read_term().epoch != term.epoch or not entry.is_running():
            continue
        fault = series.random.choice(mix.faults)
        series.note(fault.__name__, f"{entry.config.vm_id} epoch {term.epoch}")
        fault(series, entry)
        if mix.loses_workers and fault is not stop_owner:
            _lose_workers(series)
    series.join()


def _start_again(series: Series, entry: EntryProcess, began_s: float, delay_s: float) -> None:
    sleep(delay_s)
    entry.start()
    series.note_trouble(began_s)


def await_exit(series: Series, entry: EntryProcess) -> None:
    """Start an entry again once it has exited, as it was told to; kill it if it does not."""
    end_s = monotonic() + STOP_TIMEOUT_S
    while entry.is_running() and monotonic() < end_s:
        sleep(TERM_POLL_S)
    entry.kill()
    entry.start()


def _lose_release(series: Series, entry: EntryProcess, loss: CommitLoss) -> None:
    """Stop the owner, and lose the first commits that end its term, or all of them."""
    table = series.cluster.table
    left = series.random.choice((1, 2, 100))
    began_s = monotonic()

    def choose_loss(transaction: Transaction) -> CommitLoss:
        nonlocal left
        if not left or not _ends_term(transaction):
            return CommitLoss.NOTHING
        left -= 1
        return loss

    table.choose_loss = choose_loss
    entry.signal(signal.SIGTERM)
    series.recover(_end_loss, entry, began_s, choose_loss)


def _end_loss(
    series: Series,
    entry: EntryProcess,
    began_s: float,
    choose_loss: Callable[[Transaction], CommitLoss],
) -> None:
    await_exit(series, entry)
    if series.cluster.table.choose_loss is choose_loss:
        series.cluster.table.choose_loss = lose_nothing
    series.note_trouble(began_s)


def _ends_term(transaction: Transaction) -> bool:
    terms = [
        decode_term(Row(put.key, 1, put.value)) for put in transaction.puts if put.key == TERM_KEY
    ]
    return any(term.term.owner == NO_OWNER for term in terms)


def _resume(series: Series, entry: EntryProcess, began_s: float, delay_s: float) -> None:
    sleep(delay_s)
    entry.signal(signal.SIGCONT)
    series.note_trouble(began_s)


def _reconnect(series: Series, entry: EntryProcess, began_s: float, delay_s: float) -> None:
    sleep(delay_s)
    entry.store_proxy.set_mode(Mode.PASS)
    series.note_trouble(began_s)


def _release_workers(series: Series, is_over: Callable[[], bool]) -> None:
    """Let one worker after the other announce its departure, and leave."""
    while not is_over():
        worker = _choose_worker(series)
        departure_s = series.random.uniform(*DEPARTURE_S)
        series.note("announce_departure", worker.listing.worker_id)
        worker.announce_departure(monotonic() + departure_s)
        series.recover(_leave, worker, departure_s)
        series.recover(_replace_worker)
        sleep(RELEASE_INTERVAL_S)


def _leave(series: Series, worker: EmulatedWorker, departure_s: float) -> None:
    sleep(departure_s)
    series.cluster.remove_worker(worker)


def _replace_worker(series: Series) -> None:
    sleep(REPLACEMENT_S)
    series.cluster.add_worker()


def _lose_workers(series: Series) -> None:
    """Kill several workers for good, or cut them off until their processes are gone."""
    for _ in range(series.random.randint(1, MAX_LOST_WORKERS)):
        worker = _choose_worker(series)
        began_s = monotonic()
        series.recover(_replace_worker)
        if series.random.random() < 0.5:
            series.note("crash", worker.listing.worker_id)
            worker.crash()
            series.note_trouble(began_s)
            continue
        series.note("cut_off", worker.listing.worker_id)
        worker.cut_off()
        series.recover(_end_silent, worker, began_s, series.random.uniform(*SILENCE_S))


def _end_silent(series: Series, worker: EmulatedWorker, began_s: float, delay_s: float) -> None:
    sleep(delay_s)
    worker.crash()
    series.note_trouble(began_s)


def _choose_worker(series: Series) -> EmulatedWorker:
    """Return a worker that stays, one with a long-running task if there is any."""
    staying = [worker for worker in series.cluster.workers if not worker.is_leaving]
    serving = [worker for worker in staying if _has_long_running(series, worker)]
    return series.random.choice(serving or staying)


def _has_long_running(series: Series, worker: EmulatedWorker) -> bool:
    submission_by_id = series.cluster.checker.submission_by_id
    return any(
        submission_by_id[run.task.job_id].steps[run.task.step].long_running
        for run in worker.recorded_runs()
        if not run.outcome and run.task.job_id in submission_by_id
    )
