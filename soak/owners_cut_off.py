"""Owners that are cut off together with their availability zone, again and again.

Each cut is longer than an owner is waited for. Around its end callers submit jobs over connections
that they opened before, while the earlier owner still starts tasks in its zone and its successor
has not reached all workers there. Signals and restarts of workers overlap with the cuts.
"""

import signal
from collections.abc import Callable
from random import Random
from time import monotonic

from gevent import joinall
from gevent import sleep
from gevent import spawn

from laburnumswitch.connection.client import Client
from soak.callers import Callers
from soak.entries import are_ready
from soak.entries import EntryProcess
from soak.owners_in_series import await_exit
from soak.owners_in_series import Series
from soak.proxy import Mode
from soak.zones import ZONES

TERM_POLL_S = 0.01
# Longer than an owner is waited for, and shorter than its lease and than an entry that does not
# reach the store accepts keys.
CUT_S = (2.8, 4.8)
PAUSE_S = (0.3, 1.5)
READY_POLL_S = 0.1
# Part of the cuts that refuse connections.
REFUSED_SHARE = 0.2
# Part of the outages in which the owner is paused, and its zone stays connected.
PAUSED_SHARE = 0.15
# Part of the cuts of a zone that is drawn, and need not be that of the owner.
OTHER_ZONE_SHARE = 0.1
# Part of the links that are whole only later than the rest, and by how much: TCP sends again at
# intervals of its own over each connection. Those to the store are first, so that entries of the
# zone store jobs before other zones tell them anything.
STORE_LATE_SHARE = 0.5
STORE_LATE_S = (0.1, 0.6)
LATE_SHARE = 0.9
LATE_S = (0.3, 1.2)
# When callers submit most jobs, in seconds after the end of a cut, and the pauses of those whose
# entry is in the zone and of the others.
BURST_S = (-0.8, 0.9)
ZONE_PAUSE_S = 0.1
OTHER_PAUSE_S = 0.3
# How many restarts and signals overlap with a cut.
DISTURBANCES_PER_CUT = (0, 0, 1, 2)


def play_cuts(series: Series, callers: Callers, is_over: Callable[[], bool]) -> None:
    """Cut off one owner after the other until ``is_over``, and wait until every fault has ended."""
    clients = [
        (entry.config.zone, Client(entry.config.front_address, lambda: {"X-Deadline-Ms": "3000"}))
        for entry in series.cluster.entries
    ]
    _await_ready(series, is_over)
    while not is_over():
        entry = series.cluster.find_owner(series.cluster.read_term())
        if entry is None:
            sleep(TERM_POLL_S)
            continue
        _play_cut(series, entry, callers, clients)
        sleep(series.random.uniform(*PAUSE_S))
    series.join()
    for _, client in clients:
        client.close()


def _await_ready(series: Series, is_over: Callable[[], bool]) -> None:
    """Wait until all entries are ready and a task has run.

    Before that, an owner starts nothing behind a cut, and other entries know no owner.
    """
    while not is_over():
        has_run = any(worker.recorded_runs() for worker in series.cluster.workers)
        if has_run and are_ready(series.cluster.entries):
            break
        sleep(READY_POLL_S)


def _play_cut(
    series: Series, owner: EntryProcess, callers: Callers, clients: list[tuple[str, Client]]
) -> None:
    random, cluster = series.random, series.cluster
    duration_s = random.uniform(*CUT_S)
    began_s = monotonic()
    zone = owner.config.zone
    if random.random() < PAUSED_SHARE:
        series.note("pause_owner", f"{owner.config.vm_id} {duration_s:.1f} s")
        owner.signal(signal.SIGSTOP)
        heal = _make_resume(owner)
    else:
        if random.random() < OTHER_ZONE_SHARE:
            zone = random.choice(ZONES)
        mode = Mode.RESET if random.random() < REFUSED_SHARE else Mode.SILENT
        series.note("cut_zone", f"{zone} {mode} {duration_s:.1f} s, {owner.config.vm_id}")
        cluster.registration.cut_zones.add(zone)
        cluster.links.cut(zone, mode)
        heal = _make_heal(series, zone)
    for _ in range(random.choice(DISTURBANCES_PER_CUT)):
        fault = random.choice(DISTURBANCES)
        series.recover(fault, random.uniform(0.0, duration_s))
    sleep(duration_s + BURST_S[0])
    end_s = monotonic() + BURST_S[1] - BURST_S[0]
    burst = [
        spawn(
            _submit_burst,
            callers,
            client,
            Random(random.getrandbits(64)),
            ZONE_PAUSE_S if client_zone == zone else OTHER_PAUSE_S,
            end_s,
        )
        for client_zone, client in clients
    ]
    sleep(-BURST_S[0])
    heal()
    series.note("end", owner.config.vm_id)
    series.note_trouble(began_s)
    joinall(burst, raise_error=True)


def _make_resume(owner: EntryProcess) -> Callable[[], None]:
    return lambda: owner.signal(signal.SIGCONT)


def _make_heal(series: Series, zone: str) -> Callable[[], None]:
    def heal() -> None:
        store_heals, other_heals = series.cluster.links.heal(zone)
        series.cluster.registration.cut_zones.discard(zone)
        _heal_in_turn(series, store_heals, STORE_LATE_SHARE, STORE_LATE_S)
        _heal_in_turn(series, other_heals, LATE_SHARE, LATE_S)

    return heal


def _heal_in_turn(
    series: Series,
    heals: list[Callable[[], None]],
    late_share: float,
    late_s: tuple[float, float],
) -> None:
    for heal in heals:
        if series.random.random() < late_share:
            series.recover(_heal_late, heal, series.random.uniform(*late_s))
        else:
            heal()


def _heal_late(series: Series, heal: Callable[[], None], delay_s: float) -> None:
    sleep(delay_s)
    heal()


def _submit_burst(
    callers: Callers, client: Client, random: Random, pause_s: float, end_s: float
) -> None:
    sleep(random.uniform(0.0, pause_s))
    while monotonic() < end_s:
        callers.submit_short(client, random)
        sleep(pause_s)


def restart_worker(series: Series, delay_s: float) -> None:
    """Kill a worker and start it again at once under its id."""
    sleep(delay_s)
    worker = series.random.choice(series.cluster.workers)
    series.note("restart_worker", worker.listing.worker_id)
    worker.restart()


def reload_entry(series: Series, delay_s: float) -> None:
    """Send SIGHUP to an entry."""
    sleep(delay_s)
    entry = series.random.choice(series.cluster.entries)
    series.note("reload_entry", entry.config.vm_id)
    entry.signal(signal.SIGHUP)


def restart_entry(series: Series, delay_s: float) -> None:
    """Send SIGTERM to an entry, which may be the owner, and start it again once it has exited."""
    sleep(delay_s)
    entry = series.random.choice(series.cluster.entries)
    if entry.is_paused:
        return
    series.note("restart_entry", entry.config.vm_id)
    entry.signal(signal.SIGTERM)
    await_exit(series, entry)


def kill_entry(series: Series, delay_s: float) -> None:
    """Kill an entry, which may be the owner, and start it again at once."""
    sleep(delay_s)
    entry = series.random.choice(series.cluster.entries)
    series.note("kill_entry", entry.config.vm_id)
    entry.kill()
    entry.start()


DISTURBANCES = (restart_worker, reload_entry, restart_entry, kill_entry)
