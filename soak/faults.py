"""Fault injection: each fault function starts a fault, waits and ends it. Faults may overlap."""

import signal
from collections.abc import Callable
from random import Random
from time import monotonic
from time import time

from gevent import joinall
from gevent import sleep
from gevent import spawn

from soak.cluster import Cluster
from soak.keys import ORGANISATIONS
from soak.misbehaving import PATTERNS
from soak.misbehaving import run_clients
from soak.misbehaving import targets_of
from soak.proxy import Mode
from soak.workers import EmulatedWorker

MIN_DURATION_S = 0.3
MAX_DURATION_S = 5.0
# Longest pause between two faults.
MAX_PAUSE_S = 2.0
# Pauses of a worker, some of which outlast its lease of 6 s.
MIN_PAUSE_S = 0.2
MAX_WORKER_PAUSE_S = 9.0
# Longest cut of the links of workers, beyond a lease and the time that ending its runs takes.
MAX_CUT_S = 12.0
# Longest cut of entries from the store while keys are withdrawn.
MAX_ENTRY_CUT_S = 9.0
RESTART_SHARE = 0.5
CUTS = (Mode.SILENT, Mode.ONE_WAY)
# A worker process answers about this time after its start.
WORKER_START_S = 0.25
# Time between the restarts of two workers, one after the other.
MIN_RESTART_PAUSE_S = 0.2
MAX_RESTART_PAUSE_S = 0.6
# Part of the calls that a worker carries out late.
LATE_SHARE = 0.1
CLIENTS_PER_PORT = 50

Fault = Callable[[Cluster, Random, float], None]


def kill_entry(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Send SIGKILL to one entry and restart it after the duration."""
    entry = random.choice(cluster.entries)
    entry.kill()
    sleep(duration_s)
    entry.start()


def kill_entries(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Send SIGKILL to several entries at once and restart them."""
    killed = random.sample(cluster.entries, random.randint(2, len(cluster.entries)))
    for entry in killed:
        entry.kill()
    sleep(duration_s / 2)
    for entry in killed:
        entry.start()


def pause_entry(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Pause one entry with SIGSTOP and resume it with SIGCONT."""
    entry = random.choice(cluster.entries)
    entry.signal(signal.SIGSTOP)
    sleep(duration_s)
    entry.signal(signal.SIGCONT)


def restart_entry(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Send SIGTERM to one entry, wait up to 6 s for its exit and start it again.

    An entry that has not exited by then is killed.
    """
    entry = random.choice(cluster.entries)
    entry.signal(signal.SIGTERM)
    for _ in range(60):
        if not entry.is_running():
            break
        sleep(0.1)
    entry.kill()
    entry.start()


def reload_entry(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Send SIGHUP to one entry, which reloads its settings."""
    random.choice(cluster.entries).signal(signal.SIGHUP)


def disrupt_store_link(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Delay, reset or drop the traffic between one entry and the store, one or both ways."""
    entry = random.choice(cluster.entries)
    entry.store_proxy.set_mode(random.choice([mode for mode in Mode if mode is not Mode.PASS]))
    sleep(duration_s)
    entry.store_proxy.set_mode(Mode.PASS)


def disrupt_worker_link(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Delay, reset or drop the traffic to one worker, one or both ways."""
    worker = random.choice(cluster.workers)
    worker.proxy.set_mode(random.choice([mode for mode in Mode if mode is not Mode.PASS]))
    sleep(duration_s)
    worker.proxy.set_mode(Mode.PASS)


def restart_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Send SIGKILL to one worker and start it at once under the same id; it loses its runs."""
    random.choice(cluster.workers).restart()


def crash_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Send SIGKILL to one worker and start it under the same id after the duration."""
    worker = random.choice(cluster.workers)
    worker.kill()
    sleep(duration_s)
    worker.start()


def restart_workers_in_turn(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Restart many workers one after the other."""
    for worker in random.sample(cluster.workers, len(cluster.workers) // 2):
        worker.restart()
        sleep(random.uniform(MIN_RESTART_PAUSE_S, MAX_RESTART_PAUSE_S))


def restart_workers_together(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Send SIGKILL to several workers at once and start them again."""
    killed = random.sample(cluster.workers, random.randint(2, len(cluster.workers) // 2))
    for worker in killed:
        worker.kill()
    sleep(random.choice((0.0, duration_s)))
    for worker in killed:
        worker.start()


def pause_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Pause one worker with SIGSTOP, also for longer than a lease, and resume it."""
    worker = random.choice(cluster.workers)
    worker.pause()
    sleep(random.uniform(MIN_PAUSE_S, MAX_WORKER_PAUSE_S))
    worker.resume()


def delay_orders(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make several workers carry out a part of the calls seconds later, without an answer."""
    delayed = _sample_workers(cluster, random)
    for worker in delayed:
        worker.set_switches(late_share=LATE_SHARE)
    sleep(duration_s)
    for worker in delayed:
        worker.set_switches(late_share=0.0)


def cut_worker_links(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Drop or reset the traffic of several workers, also beyond their leases.

    Behind a reset link the owner notices the end of a lease soonest: its calls fail at once.
    """
    cut = _sample_workers(cluster, random)
    for worker in cut:
        worker.proxy.set_mode(random.choice((*CUTS, Mode.RESET)))
    sleep(random.uniform(MIN_DURATION_S, MAX_CUT_S))
    for worker in cut:
        worker.proxy.set_mode(Mode.PASS)


def restart_unreachable_workers(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Restart several workers while their links drop the traffic of one way or of both ways."""
    cut = _sample_workers(cluster, random)
    for worker in cut:
        worker.proxy.set_mode(random.choice(CUTS))
    sleep(random.choice((0.0, duration_s / 4)))
    for worker in cut:
        worker.kill()
    sleep(random.choice((0.0, duration_s / 4)))
    for worker in cut:
        worker.start()
    sleep(random.choice((0.0, WORKER_START_S, duration_s / 2)))
    for worker in cut:
        worker.proxy.set_mode(Mode.PASS)


def rotate_keys(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Withdraw keys of the organisations shortly after one another, and add as many."""
    for _ in range(random.randint(1, 3)):
        cluster.keys.rotate()
        sleep(random.uniform(0.0, duration_s / 3))


def restart_cut_entry(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Withdraw keys while entries are cut off from the store, and restart some of these then."""
    cut = random.sample(cluster.entries, random.randint(1, max(1, len(cluster.entries) // 2)))
    for entry in cut:
        entry.store_proxy.set_mode(random.choice((Mode.SILENT, Mode.RESET, Mode.ONE_WAY)))
    rotate_keys(cluster, random, duration_s)
    if random.random() < RESTART_SHARE:
        cut[0].kill()
        cut[0].start()
    # Longer than a withdrawn key may be accepted.
    sleep(random.uniform(duration_s, MAX_ENTRY_CUT_S))
    for entry in cut:
        entry.store_proxy.set_mode(Mode.PASS)


def _sample_workers(cluster: Cluster, random: Random) -> list[EmulatedWorker]:
    return random.sample(cluster.workers, random.randint(1, max(1, len(cluster.workers) // 4)))


def stop_vm_list(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make the list of VMs refuse every call."""
    cluster.vm_list.is_down = True
    sleep(duration_s)
    cluster.vm_list.is_down = False


def fail_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make one worker fail every run that it starts."""
    worker = random.choice(cluster.workers)
    worker.set_switches(fails_runs=True)
    sleep(duration_s)
    worker.set_switches(fails_runs=False)


def silence_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make one worker execute commands without answering them."""
    worker = random.choice(cluster.workers)
    worker.set_switches(drops_answers=True)
    sleep(duration_s)
    worker.set_switches(drops_answers=False)


def stop_store(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make the store refuse every call."""
    cluster.table.down = True
    sleep(duration_s)
    cluster.table.down = False


def slow_store(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Delay the answers of the store."""
    cluster.store.delay_s = random.uniform(0.05, 0.4)
    sleep(duration_s)
    cluster.store.delay_s = 0.0


def lose_commit_answers(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Drop the answers to the next commits, which still take effect."""
    cluster.table.lose_answers = random.randint(1, 10)


def delay_commits(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Leave the next commits unanswered and apply them later, if their conditions still hold."""
    cluster.table.delayed_commits = random.randint(1, 5)
    sleep(duration_s)
    cluster.table.apply_delayed_commits()


def forget_history(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Drop the change history of the store."""
    cluster.table.drop_history()


def take_zone_out(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Take one availability zone out of service for the duration."""
    zone = random.choice(("a", "b", "c"))
    cluster.set_zone(zone, True)
    sleep(duration_s)
    cluster.set_zone(zone, False)


def misbehaving_clients(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Let clients that follow one pattern call all ports of one entry."""
    config = random.choice(cluster.entries).config
    pattern = random.choice(PATTERNS)
    key = cluster.keys.choose_valid(random.choice(ORGANISATIONS)).key
    targets = targets_of(config, f"{random.getrandbits(64):016x}", key)
    end_s = monotonic() + duration_s
    joinall(
        [
            spawn(run_clients, pattern, target, CLIENTS_PER_PORT, lambda: monotonic() > end_s)
            for target in targets
        ]
    )


FAULTS: tuple[Fault, ...] = (
    kill_entry,
    kill_entries,
    pause_entry,
    restart_entry,
    reload_entry,
    rotate_keys,
    restart_cut_entry,
    disrupt_store_link,
    disrupt_worker_link,
    restart_worker,
    crash_worker,
    restart_workers_in_turn,
    restart_workers_together,
    pause_worker,
    delay_orders,
    cut_worker_links,
    restart_unreachable_workers,
    fail_worker,
    silence_worker,
    stop_store,
    slow_store,
    stop_vm_list,
    lose_commit_answers,
    delay_commits,
    forget_history,
    take_zone_out,
)
# Injected only where they are named, so that the faults of a seed stay the same.
NAMED_FAULTS: tuple[Fault, ...] = (misbehaving_clients,)


def choose_faults(names: tuple[str, ...]) -> tuple[Fault, ...]:
    """Return the faults of the given names, or all of them if there are none."""
    if not names:
        return FAULTS
    return tuple(fault for fault in (*FAULTS, *NAMED_FAULTS) if fault.__name__ in names)


def inject_faults(
    cluster: Cluster,
    random: Random,
    faults: tuple[Fault, ...],
    is_finished: Callable[[], bool],
    injected: list[str],
) -> None:
    """Inject random faults one after the other. Run it several times for overlapping faults.

    ``injected`` receives the Unix time, the name and the duration of each.
    """
    while not is_finished():
        sleep(random.uniform(0.0, MAX_PAUSE_S))
        if is_finished():
            return
        fault = random.choice(faults)
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        injected.append(f"{time():.3f} {fault.__name__} {duration_s:.2f}")
        fault(cluster, random, duration_s)
