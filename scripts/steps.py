"""Steps of the demonstration."""

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
from scripts.probe import ConfigurationProbe
from scripts.publication import JOBS_THAT_DO_NOT_FINISH
from scripts.publication import Publication
from standin.caller_connection import CallerConnectionPool
from standin.caller_connection import OutgoingRequest
from standin.expectation import Expectation
from standin.finished_tasks import tasks_not_counted
from standin.load_generator import RequestStream
from standin.records import read_records
from standin.records import Record
from standin.records import RunEnded
from standin.records import RunStarted

READY_TIMEOUT_S = 25.0
COMPLETION_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.25
ZONE_OUT_S = 8.0
PAUSE_S = 9.0
LISTED_AS_GONE_AFTER_S = 2.0
OUTAGE_S = 3.0
SILENT_S = 3.0
RECOVERY_PAUSE_S = 1.5
TRUNCATED_ANSWERS = 5
STATUS_OK = 200
ORDER_PATH = "/orders"
READ_PATH = "/latest"

LogFunction = Callable[[str], None]


class DemoContext(NamedTuple):
    """State shared by the steps."""

    cluster: Cluster
    publication: Publication
    probe: ConfigurationProbe
    random: Random
    log: LogFunction


def start_cluster(context: DemoContext) -> None:
    """Start all processes, publish, and wait until all entries and services answer."""
    cluster = context.cluster
    cluster.start_standins()
    context.log(f"{len(cluster.racks)} worker racks are running")
    for _ in range(cluster.profile.entries):
        cluster.start_entry()
    cluster.run_command("publish", context.publication.directory, "--yes")
    context.log("published the first configuration version")
    cluster.update_balancer()
    _wait_until(lambda: _all_entries_ready(cluster), READY_TIMEOUT_S, "not all entries are ready")
    context.log(f"{len(cluster.entry_by_vm)} entries are ready")
    _wait_until(lambda: _all_replicas_run(context), READY_TIMEOUT_S, "not all replicas are running")
    _wait_until(lambda: _all_services_answer(context), READY_TIMEOUT_S, "not all services answer")
    context.log("all replicas are running and every entry serves every service")
    context.probe.watch(list(cluster.entry_by_vm.values()))


def start_load(context: DemoContext) -> None:
    """Start sending caller requests to every service of the examples."""
    sources = make_sources(context.publication.read(), context.cluster.profile)
    context.cluster.set_load(sources)
    context.log("callers started sending requests")
    sleep(RECOVERY_PAUSE_S)


def take_zone_out_and_in(context: DemoContext) -> None:
    """Take a zone out of service under load, then back in."""
    zone = context.cluster.profile.zones[0]
    context.cluster.run_command("zone", "out", zone)
    context.log(f"zone {zone} is out of service")
    sleep(ZONE_OUT_S)
    context.cluster.run_command("zone", "in", zone)
    context.log(f"zone {zone} is back in service")
    sleep(RECOVERY_PAUSE_S)


def make_worker_fail(context: DemoContext) -> None:
    """Make one worker fail every run that it starts from now on."""
    rack = context.cluster.racks[1]
    worker_id = f"worker-{rack.first:03}"
    context.cluster.set_rack_faults(rack, fails_everything=[worker_id])
    context.log(f"{worker_id} fails every run from now on")


def kill_and_replace_entry(context: DemoContext) -> None:
    """Kill an entry with SIGKILL and start one on a new VM."""
    vm_id = "entry-2"
    context.cluster.kill_process(vm_id)
    context.log(f"killed {vm_id}")
    sleep(LISTED_AS_GONE_AFTER_S)
    context.cluster.set_entry_state(vm_id, "gone")
    _start_replacement_entry(context)


def pause_and_kill(context: DemoContext) -> None:
    """Pause an entry and a rack for longer than a lease, and kill the smallest rack meanwhile."""
    vm_id = "entry-3"
    paused = (vm_id, context.cluster.racks[0].name)
    resume = context.cluster.pause_processes(paused)
    context.log(f"paused {' and '.join(paused)}")
    rack = min(context.cluster.racks, key=lambda found: found.count)
    context.cluster.kill_process(rack.name)
    context.log(f"killed {rack.name} with {rack.count} workers")
    sleep(LISTED_AS_GONE_AFTER_S)
    context.cluster.set_rack_state(rack, "gone")
    sleep(PAUSE_S - LISTED_AS_GONE_AFTER_S)
    resume()
    context.log(f"resumed {' and '.join(paused)}")
    sleep(RECOVERY_PAUSE_S)


def interrupt_platform(context: DemoContext) -> None:
    """Take the platform down for a while and drop some of its answers afterwards."""
    context.cluster.set_platform_faults(down=True)
    context.log("the platform is unavailable")
    sleep(OUTAGE_S)
    context.cluster.set_platform_faults(down=False, lose_answers=3)
    context.log("the platform is available again and drops three answers")
    sleep(RECOVERY_PAUSE_S)


def break_connections(context: DemoContext) -> None:
    """Make open connections to a rack's replicas unresponsive and truncate some answers."""
    rack = context.cluster.racks[2]
    context.cluster.set_rack_faults(rack, silent=True, truncate_answers=TRUNCATED_ANSWERS)
    context.log(
        f"connections to {rack.name} are unresponsive and {TRUNCATED_ANSWERS} answers are truncated"
    )
    sleep(SILENT_S)


def publish_second_version(context: DemoContext) -> None:
    """Publish the second version."""
    context.publication.write_second_version()
    context.cluster.run_command("publish", context.publication.directory, "--yes")
    context.log("published the second configuration version")
    sleep(RECOVERY_PAUSE_S)


def stop_entry(context: DemoContext) -> None:
    """Stop an entry gracefully and start one on a new VM."""
    vm_id = "entry-4"
    code = context.cluster.stop_entry(vm_id)
    context.log(f"{vm_id} stopped gracefully with exit code {code}")
    _start_replacement_entry(context)


def wait_for_completion(context: DemoContext, expectation: Expectation) -> None:
    """Stop the load and wait until all requests and tasks have completed."""
    context.cluster.set_load([])
    context.log("callers stopped sending requests")
    until_s = monotonic() + COMPLETION_TIMEOUT_S
    while monotonic() < until_s:
        if (
            context.cluster.progress()["in_flight"] == 0
            and _count_unfinished_tasks(context, expectation) == 0
        ):
            context.log("all requests and tasks have completed")
            return
        sleep(POLL_INTERVAL_S)
    context.log(f"{_count_unfinished_tasks(context, expectation)} tasks have not completed")


def stop_all_entries(context: DemoContext) -> None:
    """Stop every entry gracefully."""
    context.probe.stop()
    running = [vm for vm in context.cluster.entry_by_vm if context.cluster.launcher.is_running(vm)]
    for task in [spawn(context.cluster.stop_entry, vm_id) for vm_id in running]:
        task.get()
    context.log(f"{len(running)} entries stopped gracefully")


def make_sources(configuration: Configuration, profile: Any) -> list[RequestStream]:
    """Return the load: reads of every service, and orders to high-priority services.

    Services that declare POST idempotent get no orders.
    """
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


def make_expectation(first: Configuration, second: Configuration) -> Expectation:
    """Return the tasks that must finish: all tasks of each job, once per generation."""
    tasks_by_job = {
        job.name: job.tasks * job.generation
        for job in second.jobs
        if job.name not in JOBS_THAT_DO_NOT_FINISH
    }
    names = {job.name for job in (*first.jobs, *second.jobs)}
    return Expectation(
        tasks_by_job, lambda task_id: job_name_of(task_id, names), JOBS_THAT_DO_NOT_FINISH
    )


def job_name_of(task_id: str, names: set[str]) -> str:
    """Return the longest declared name that a task id starts with, or the id if there is none."""
    matching = [name for name in names if task_id.startswith(name)]
    return max(matching, key=len, default=task_id)


def _takes_orders(service: Service) -> bool:
    return service.priority == "high" and "POST" not in service.idempotent_methods


def _start_replacement_entry(context: DemoContext) -> None:
    entry = context.cluster.start_entry()
    context.cluster.update_balancer()
    _wait_until(
        lambda: _is_ready(context.cluster, entry.vm_id),
        READY_TIMEOUT_S,
        f"{entry.vm_id} is not ready",
    )
    context.probe.watch([entry])
    context.log(f"{entry.vm_id} is ready as the replacement")


def _all_entries_ready(cluster: Cluster) -> bool:
    return all(_is_ready(cluster, vm_id) for vm_id in cluster.entry_by_vm)


def _is_ready(cluster: Cluster, vm_id: str) -> bool:
    if not cluster.launcher.is_running(vm_id):
        raise ProcessFailedError(f"{vm_id} exited: {cluster.launcher.last_error_lines(vm_id)}")
    answer = cluster.call_admin_api(cluster.entry_by_vm[vm_id], "/readyz")
    return answer is not None and answer.status == STATUS_OK


def _all_replicas_run(context: DemoContext) -> bool:
    declared = sum(service.replicas for service in context.publication.read().services)
    return _running_replicas(read_records(context.cluster.record_paths())) >= declared


def _running_replicas(records: list[Record]) -> int:
    started = {
        (record.task_id, record.run)
        for record in records
        if isinstance(record, RunStarted) and record.service
    }
    ended = {(record.task_id, record.run) for record in records if isinstance(record, RunEnded)}
    return len(started - ended)


def _all_services_answer(context: DemoContext) -> bool:
    hosts = [service.hosts[0] for service in context.publication.read().services]
    return all(
        _answers_for_hosts(CallerConnectionPool(entry.caller_address), hosts)
        for entry in context.cluster.entry_by_vm.values()
    )


def _answers_for_hosts(connections: CallerConnectionPool, hosts: list[str]) -> bool:
    requests = [OutgoingRequest("GET", host, READ_PATH, ()) for host in hosts]
    return all(
        connections.send(request, ANSWER_TIMEOUT_S).outcome == "answered" for request in requests
    )


def _count_unfinished_tasks(context: DemoContext, expectation: Expectation) -> int:
    return tasks_not_counted(read_records(context.cluster.record_paths()), expectation)


def _wait_until(condition: Callable[[], bool], timeout_s: float, error_message: str) -> None:
    until_s = monotonic() + timeout_s
    while not condition():
        if monotonic() > until_s:
            raise ProcessFailedError(error_message)
        sleep(POLL_INTERVAL_S)
