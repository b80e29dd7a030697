"""The steps of the demonstration, in their order."""

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any
from typing import NamedTuple

from gevent import sleep
from gevent import spawn

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Service
from scripts.cluster import Cluster
from scripts.launcher import ProcessFailedError
from scripts.probe import Probe
from scripts.publication import JOBS_THAT_DO_NOT_FINISH
from scripts.publication import Publication
from standin.caller_connection import CallerConnectionPool
from standin.caller_connection import CallerRequest
from standin.expectation import Expectation
from standin.finished_tasks import tasks_not_counted
from standin.load_generator import RequestStream
from standin.records import read_records
from standin.records import Record
from standin.records import RunEnded
from standin.records import RunStarted

READY_LIMIT_S = 25.0
SETTLE_LIMIT_S = 30.0
ANSWER_LIMIT_S = 1.0
POLL_S = 0.25
ZONE_OUT_S = 8.0
PAUSE_S = 9.0
LISTED_AS_GONE_AFTER_S = 2.0
OUTAGE_S = 3.0
SILENT_S = 3.0
QUIET_S = 1.5
CUT_ANSWERS = 5
STATUS_OK = 200
ORDER_PATH = "/orders"
READ_PATH = "/latest"

Say = Callable[[str], None]


class Stage(NamedTuple):
    """What the steps work on."""

    cluster: Cluster
    publication: Publication
    probe: Probe
    random: Random
    say: Say


def open_stage(stage: Stage) -> None:
    """Start everything, publish, and wait until all entries and services answer."""
    cluster = stage.cluster
    cluster.start_standins()
    stage.say(f"{len(cluster.racks)} racks of workers are up")
    for _ in range(cluster.profile.entries):
        cluster.start_entry()
    cluster.command("publish", stage.publication.directory, "--yes")
    stage.say("published the first version")
    cluster.balance()
    _wait_until(lambda: _all_ready(cluster), READY_LIMIT_S, "entries are not ready")
    stage.say(f"{len(cluster.entry_by_vm)} entries are ready")
    _wait_until(lambda: _replicas_run(stage), READY_LIMIT_S, "replicas do not run")
    _wait_until(lambda: _all_answer(stage), READY_LIMIT_S, "services do not answer")
    stage.say("all replicas run, and every entry answers for every service")
    stage.probe.watch(list(cluster.entry_by_vm.values()))


def start_load(stage: Stage) -> None:
    """Let the callers send requests to every service of the examples."""
    sources = sources_of(stage.publication.read(), stage.cluster.profile)
    stage.cluster.set_load(sources)
    stage.say("callers send requests")
    sleep(QUIET_S)


def take_zone_out_and_in(stage: Stage) -> None:
    """Take a zone out of service under load, and return it."""
    zone = stage.cluster.profile.zones[0]
    stage.cluster.command("zone", "out", zone)
    stage.say(f"zone {zone} is out of service")
    sleep(ZONE_OUT_S)
    stage.cluster.command("zone", "in", zone)
    stage.say(f"zone {zone} is back in service")
    sleep(QUIET_S)


def break_a_worker(stage: Stage) -> None:
    """Let one worker fail everything that it starts from now on."""
    rack = stage.cluster.racks[1]
    worker_id = f"worker-{rack.first:03}"
    stage.cluster.set_rack_faults(rack, fails_everything=[worker_id])
    stage.say(f"{worker_id} fails everything from now on")


def kill_and_replace_entry(stage: Stage) -> None:
    """Kill an entry without notice, and start one on a fresh VM."""
    vm_id = "entry-2"
    stage.cluster.kill_process(vm_id)
    stage.say(f"killed {vm_id}")
    sleep(LISTED_AS_GONE_AFTER_S)
    stage.cluster.list_entry(vm_id, "gone")
    _add_entry(stage)


def pause_and_kill(stage: Stage) -> None:
    """Pause an entry and a rack for longer than a lease, and kill the smallest rack meanwhile."""
    vm_id = "entry-3"
    paused = (vm_id, stage.cluster.racks[0].name)
    resume = stage.cluster.pause_processes(paused)
    stage.say(f"paused {' and '.join(paused)}")
    rack = min(stage.cluster.racks, key=lambda found: found.count)
    stage.cluster.kill_process(rack.name)
    stage.say(f"killed {rack.name} with {rack.count} workers")
    sleep(LISTED_AS_GONE_AFTER_S)
    stage.cluster.list_rack(rack, "gone")
    sleep(PAUSE_S - LISTED_AS_GONE_AFTER_S)
    resume()
    stage.say(f"resumed {' and '.join(paused)}")
    sleep(QUIET_S)


def lose_store(stage: Stage) -> None:
    """Let the platform be down for a while, and lose some answers afterwards."""
    stage.cluster.set_platform_faults(down=True)
    stage.say("the platform is down")
    sleep(OUTAGE_S)
    stage.cluster.set_platform_faults(down=False, lose_answers=3)
    stage.say("the platform is up again and loses three answers")
    sleep(QUIET_S)


def break_connections(stage: Stage) -> None:
    """Let the open connections to a rack's replicas go silent, and cut some answers short."""
    rack = stage.cluster.racks[2]
    stage.cluster.set_rack_faults(rack, silent=True, truncate_answers=CUT_ANSWERS)
    stage.say(f"connections to {rack.name} are silent and {CUT_ANSWERS} answers are cut short")
    sleep(SILENT_S)


def publish_again(stage: Stage) -> None:
    """Publish the second version."""
    stage.publication.change()
    stage.cluster.command("publish", stage.publication.directory, "--yes")
    stage.say("published the second version")
    sleep(QUIET_S)


def stop_entry(stage: Stage) -> None:
    """Stop an entry gracefully, and start one on a fresh VM."""
    vm_id = "entry-4"
    code = stage.cluster.stop_entry(vm_id)
    stage.say(f"{vm_id} stopped gracefully with exit code {code}")
    _add_entry(stage)


def settle(stage: Stage, expectation: Expectation) -> None:
    """End the load and wait until every request and every task is through."""
    stage.cluster.set_load([])
    stage.say("callers send no more")
    until_s = monotonic() + SETTLE_LIMIT_S
    while monotonic() < until_s:
        if stage.cluster.progress()["in_flight"] == 0 and _tasks_left(stage, expectation) == 0:
            stage.say("every request and every task is through")
            return
        sleep(POLL_S)
    stage.say(f"{_tasks_left(stage, expectation)} tasks are left")


def close_stage(stage: Stage) -> None:
    """Stop every entry gracefully."""
    stage.probe.stop()
    running = [vm for vm in stage.cluster.entry_by_vm if stage.cluster.launcher.is_running(vm)]
    for task in [spawn(stage.cluster.stop_entry, vm_id) for vm_id in running]:
        task.get()
    stage.say(f"{len(running)} entries stopped gracefully")


def sources_of(configuration: Configuration, profile: Any) -> list[RequestStream]:
    """Return the load: reads of every service, and orders to those of high priority."""
    services = [service for service in configuration.services if service.name != "probe"]
    ordered = [service for service in services if _takes_orders(service)]
    return [
        RequestStream(
            service.hosts[0],
            ORDER_PATH if service in ordered else READ_PATH,
            profile.reads_per_s / len(services),
            profile.orders_per_s / len(ordered) if service in ordered else 0.0,
        )
        for service in services
    ]


def expectation_of(first: Configuration, second: Configuration) -> Expectation:
    """Return which tasks have to finish: each job's, once for each generation."""
    tasks_by_job = {
        job.name: job.tasks * job.generation
        for job in second.jobs
        if job.name not in JOBS_THAT_DO_NOT_FINISH
    }
    names = {job.name for job in (*first.jobs, *second.jobs)}
    return Expectation(
        tasks_by_job, lambda task_id: job_of(task_id, names), JOBS_THAT_DO_NOT_FINISH
    )


def job_of(task_id: str, names: set[str]) -> str:
    """Return the declared name at the beginning of a task id, or the id where there is none."""
    fitting = [name for name in names if task_id.startswith(name)]
    return max(fitting, key=len, default=task_id)


def _takes_orders(service: Service) -> bool:
    return service.priority == "high" and "POST" not in service.idempotent_methods


def _add_entry(stage: Stage) -> None:
    entry = stage.cluster.start_entry()
    stage.cluster.balance()
    _wait_until(
        lambda: _is_ready(stage.cluster, entry.vm_id), READY_LIMIT_S, f"{entry.vm_id} is not ready"
    )
    stage.probe.watch([entry])
    stage.say(f"{entry.vm_id} is ready in its place")


def _all_ready(cluster: Cluster) -> bool:
    return all(_is_ready(cluster, vm_id) for vm_id in cluster.entry_by_vm)


def _is_ready(cluster: Cluster, vm_id: str) -> bool:
    if not cluster.launcher.is_running(vm_id):
        raise ProcessFailedError(f"{vm_id} ended: {cluster.launcher.last_words(vm_id)}")
    answer = cluster.ask_admin(cluster.entry_by_vm[vm_id], "/readyz")
    return answer is not None and answer.status == STATUS_OK


def _replicas_run(stage: Stage) -> bool:
    declared = sum(service.replicas for service in stage.publication.read().services)
    return _running_replicas(read_records(stage.cluster.record_paths())) >= declared


def _running_replicas(records: list[Record]) -> int:
    started = {
        (record.task_id, record.run)
        for record in records
        if isinstance(record, RunStarted) and record.service
    }
    ended = {(record.task_id, record.run) for record in records if isinstance(record, RunEnded)}
    return len(started - ended)


def _all_answer(stage: Stage) -> bool:
    hosts = [service.hosts[0] for service in stage.publication.read().services]
    return all(
        _answers(CallerConnectionPool(entry.caller_address), hosts)
        for entry in stage.cluster.entry_by_vm.values()
    )


def _answers(connections: CallerConnectionPool, hosts: list[str]) -> bool:
    requests = [CallerRequest("GET", host, READ_PATH, ()) for host in hosts]
    return all(
        connections.send(request, ANSWER_LIMIT_S).outcome == "answered" for request in requests
    )


def _tasks_left(stage: Stage, expectation: Expectation) -> int:
    return tasks_not_counted(read_records(stage.cluster.record_paths()), expectation)


def _wait_until(condition: Callable[[], bool], limit_s: float, complaint: str) -> None:
    until_s = monotonic() + limit_s
    while not condition():
        if monotonic() > until_s:
            raise ProcessFailedError(complaint)
        sleep(POLL_S)
