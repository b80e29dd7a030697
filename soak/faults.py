"""Fault injection: each fault function starts a fault, waits and ends it. Faults may overlap."""

import signal
from collections.abc import Callable
from random import Random

from gevent import sleep

from soak.cluster import Cluster
from soak.proxy import Mode

MIN_DURATION_S = 0.3
MAX_DURATION_S = 5.0
# Longest pause between two faults.
MAX_PAUSE_S = 2.0

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
    """Restart one worker under the same id; it loses its runs."""
    random.choice(cluster.workers).fleet_worker.restart()


def crash_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Crash one worker, and restart it under the same id after the duration."""
    worker = random.choice(cluster.workers).fleet_worker
    worker.crash()
    sleep(duration_s)
    worker.restart()


def stop_vm_list(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make the list of VMs refuse every call."""
    cluster.vm_list.is_down = True
    sleep(duration_s)
    cluster.vm_list.is_down = False


def fail_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make one worker fail every run that it starts."""
    worker = random.choice(cluster.workers)
    worker.fleet_worker.fails_runs = True
    sleep(duration_s)
    worker.fleet_worker.fails_runs = False


def silence_worker(cluster: Cluster, random: Random, duration_s: float) -> None:
    """Make one worker execute commands without answering them."""
    worker = random.choice(cluster.workers)
    worker.fleet_worker.drops_answers = True
    sleep(duration_s)
    worker.fleet_worker.drops_answers = False


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


FAULTS: tuple[Fault, ...] = (
    kill_entry,
    kill_entries,
    pause_entry,
    restart_entry,
    reload_entry,
    disrupt_store_link,
    disrupt_worker_link,
    restart_worker,
    crash_worker,
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


def inject_faults(
    cluster: Cluster, random: Random, is_finished: Callable[[], bool], injected: list[str]
) -> None:
    """Inject random faults one after the other. Run it several times for overlapping faults."""
    while not is_finished():
        sleep(random.uniform(0.0, MAX_PAUSE_S))
        if is_finished():
            return
        fault = random.choice(FAULTS)
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        injected.append(f"{fault.__name__} {duration_s:.2f}")
        fault(cluster, random, duration_s)
