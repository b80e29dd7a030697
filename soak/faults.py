"""The faults of the soak: each begins, lasts and ends; several overlap."""

import signal
from collections.abc import Callable
from random import Random

from gevent import sleep

from soak.cluster import Cluster
from soak.proxy import Mode

SHORTEST_S = 0.3
LONGEST_S = 5.0
LONGEST_PAUSE_S = 2.0

Fault = Callable[[Cluster, Random, float], None]


def kill_entry(cluster: Cluster, random: Random, length_s: float) -> None:
    """SIGKILL, and a new process after a while."""
    entry = random.choice(cluster.entries)
    entry.end()
    sleep(length_s)
    entry.start()


def kill_many(cluster: Cluster, random: Random, length_s: float) -> None:
    """SIGKILL of several entries at once."""
    victims = random.sample(cluster.entries, random.randint(2, len(cluster.entries)))
    for entry in victims:
        entry.end()
    sleep(length_s / 2)
    for entry in victims:
        entry.start()


def pause_entry(cluster: Cluster, random: Random, length_s: float) -> None:
    """SIGSTOP, and SIGCONT after a while."""
    entry = random.choice(cluster.entries)
    entry.signal(signal.SIGSTOP)
    sleep(length_s)
    entry.signal(signal.SIGCONT)


def restart_entry(cluster: Cluster, random: Random, length_s: float) -> None:
    """SIGTERM, and a new process once the old one has left."""
    entry = random.choice(cluster.entries)
    entry.signal(signal.SIGTERM)
    for _ in range(60):
        if not entry.is_running():
            break
        sleep(0.1)
    entry.end()
    entry.start()


def hang_up_entry(cluster: Cluster, random: Random, length_s: float) -> None:
    """SIGHUP: the settings may have changed."""
    random.choice(cluster.entries).signal(signal.SIGHUP)


def trouble_store_link(cluster: Cluster, random: Random, length_s: float) -> None:
    """One entry's connections to the store are delayed, reset, silenced or cut one way."""
    entry = random.choice(cluster.entries)
    entry.store.set_mode(random.choice([mode for mode in Mode if mode is not Mode.PASS]))
    sleep(length_s)
    entry.store.set_mode(Mode.PASS)


def trouble_worker_link(cluster: Cluster, random: Random, length_s: float) -> None:
    """One worker's connections are delayed, reset, silenced or cut one way."""
    worker = random.choice(cluster.workers)
    worker.proxy.set_mode(random.choice([mode for mode in Mode if mode is not Mode.PASS]))
    sleep(length_s)
    worker.proxy.set_mode(Mode.PASS)


def restart_worker(cluster: Cluster, random: Random, length_s: float) -> None:
    """A worker loses its runs and starts again under its id."""
    random.choice(cluster.workers).state.restart()


def fail_worker(cluster: Cluster, random: Random, length_s: float) -> None:
    """A worker fails all that it starts."""
    worker = random.choice(cluster.workers)
    worker.state.fails_runs = True
    sleep(length_s)
    worker.state.fails_runs = False


def mute_worker(cluster: Cluster, random: Random, length_s: float) -> None:
    """A worker does as it is told and never answers."""
    worker = random.choice(cluster.workers)
    worker.state.drops_answers = True
    sleep(length_s)
    worker.state.drops_answers = False


def stop_store(cluster: Cluster, random: Random, length_s: float) -> None:
    """The store refuses every call."""
    cluster.table.down = True
    sleep(length_s)
    cluster.table.down = False


def slow_store(cluster: Cluster, random: Random, length_s: float) -> None:
    """The store answers slowly."""
    cluster.store.delay_s = random.uniform(0.05, 0.4)
    sleep(length_s)
    cluster.store.delay_s = 0.0


def lose_answers(cluster: Cluster, random: Random, length_s: float) -> None:
    """Commits take effect and are not answered."""
    cluster.table.lose_answers = random.randint(1, 10)


def delay_commits(cluster: Cluster, random: Random, length_s: float) -> None:
    """Commits are not answered and take effect later, where their conditions still hold."""
    cluster.table.delayed_commits = random.randint(1, 5)
    sleep(length_s)
    cluster.table.apply_delayed_commits()


def forget_history(cluster: Cluster, random: Random, length_s: float) -> None:
    """The store drops its history."""
    cluster.table.drop_history()


def take_zone_out(cluster: Cluster, random: Random, length_s: float) -> None:
    """An availability zone is out for a while."""
    zone = random.choice(("a", "b", "c"))
    cluster.set_zone(zone, True)
    sleep(length_s)
    cluster.set_zone(zone, False)


FAULTS: tuple[Fault, ...] = (
    kill_entry,
    kill_many,
    pause_entry,
    restart_entry,
    hang_up_entry,
    trouble_store_link,
    trouble_worker_link,
    restart_worker,
    fail_worker,
    mute_worker,
    stop_store,
    slow_store,
    lose_answers,
    delay_commits,
    forget_history,
    take_zone_out,
)


def inject(cluster: Cluster, random: Random, until: Callable[[], bool], log: list[str]) -> None:
    """Inject one fault after the other; run several of these for faults that overlap."""
    while not until():
        sleep(random.uniform(0.0, LONGEST_PAUSE_S))
        if until():
            return
        fault = random.choice(FAULTS)
        length_s = random.uniform(SHORTEST_S, LONGEST_S)
        log.append(f"{fault.__name__} {length_s:.2f}")
        fault(cluster, random, length_s)
