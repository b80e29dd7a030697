"""Composition root of the entry daemon: creates, wires, starts and stops its components."""

from random import SystemRandom
from signal import SIGINT
from signal import SIGTERM
from time import monotonic
from time import time
from typing import Any
from uuid import uuid4

from absl import logging
from gevent import config
from gevent import signal_handler
from gevent import sleep
from gevent import spawn

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import CannotListen
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.admission.job_row import cancel_jobs_by_id
from laburnumswitch.process.daemon.readiness import Readiness
from laburnumswitch.process.daemon.readiness import ReadinessInputs
from laburnumswitch.process.daemon.settings import Settings
from laburnumswitch.process.daemon.stop_event import StopEvent
from laburnumswitch.process.ledger.layout import read_or_create_layout
from laburnumswitch.process.observing.logs import configure_logging
from laburnumswitch.process.observing.metric_sources import add_commit_metrics
from laburnumswitch.process.observing.metric_sources import add_entry_metrics
from laburnumswitch.process.observing.metric_sources import add_request_metrics
from laburnumswitch.process.observing.metric_sources import add_table_metrics
from laburnumswitch.process.observing.metric_sources import EntryMetricReaders
from laburnumswitch.process.observing.metric_sources import TaskStats
from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.observing.timeline_archiver import TimelineArchiver
from laburnumswitch.process.operating.admin import AdminContext
from laburnumswitch.process.operating.admin import make_admin_server
from laburnumswitch.process.operating.admin import TrafficCounter
from laburnumswitch.process.operating.entry_handlers import make_health_handler
from laburnumswitch.process.operating.entry_handlers import make_metrics_handler
from laburnumswitch.process.operating.entry_handlers import make_peer_sync_handler
from laburnumswitch.process.operating.entry_handlers import make_ready_handler
from laburnumswitch.process.operating.operator_handlers import make_event_rows
from laburnumswitch.process.operating.operator_handlers import make_operator_handler
from laburnumswitch.process.operating.operator_handlers import OperatorContext
from laburnumswitch.process.operating.operator_handlers import StatusRow
from laburnumswitch.process.operating.operator_handlers import zone_rows
from laburnumswitch.process.operating.views import view_jobs
from laburnumswitch.process.operating.zone_watch import run_zone_watch
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.heartbeat import merge_shard_hints
from laburnumswitch.process.peers.heartbeat import ShardUpstreams
from laburnumswitch.process.peers.heartbeat import TeamUsageReport
from laburnumswitch.process.peers.link_certificates import LinkCertificates
from laburnumswitch.process.peers.link_certificates import open_link_certificates
from laburnumswitch.process.peers.membership import Membership
from laburnumswitch.process.peers.peer_sync import PeerContext
from laburnumswitch.process.peers.peer_sync import PeerSync
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.peers.upstream_directory import UpstreamDirectory
from laburnumswitch.process.peers.vm_cache import poll_vm_list
from laburnumswitch.process.peers.vm_cache import VmCache
from laburnumswitch.process.peers.vms import VmListClient
from laburnumswitch.process.placing.quota import merge_team_usages
from laburnumswitch.process.rows.clocked_table import ClockedTable
from laburnumswitch.process.rows.instrumented_table import InstrumentedTable
from laburnumswitch.process.rows.key_file import KeyFile
from laburnumswitch.process.rows.key_file import open_key_file
from laburnumswitch.process.rows.object_store import ObjectStoreClient
from laburnumswitch.process.rows.table import TableClient
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.sharding.scheduler import Scheduler
from laburnumswitch.process.workers.worker_api import WorkerApiClient
from laburnumswitch.request.background import start_background_greenlets
from laburnumswitch.request.context import make_context
from laburnumswitch.request.forward import drain
from laburnumswitch.request.forward import serve_callers
from laburnumswitch.version.adoption import AdoptedConfiguration
from laburnumswitch.version.adoption import ConfigurationId
from laburnumswitch.version.adoption import newest_peer_configuration_id
from laburnumswitch.version.adoption import run_adoption
from laburnumswitch.version.hosts import make_service_lookup

EVENT_LOOP = "libev-cext"
UPSTREAM_REFRESH_S = 0.1
LAYOUT_RETRY_S = 1.0
FINAL_ARCHIVE_TIMEOUT_S = 2.0


class Daemon:
    """The components of an entry, and its two-step stop: ``leaving``, then ``stopped``."""

    def __init__(
        self, settings: Settings, keys: KeyFile, links: LinkCertificates | None = None
    ) -> None:
        """Create and wire the components without starting them or opening ports."""
        self.settings = settings
        self.links = links or LinkCertificates()
        self.leaving = StopEvent()
        self.stopped = StopEvent()
        self.boot = uuid4().hex[:12]
        self.scheduler: Scheduler | None = None
        self._build_platform(settings)
        self._build_views(settings, keys)
        self._build_request_path(settings)
        self._build_admin(settings, keys)

    def _build_platform(self, settings: Settings) -> None:
        timeout_s = settings.limits.platform_timeout
        self.platform_clients = tuple(Client(address) for address in settings.platform)
        table_client, objects_client, vms_client = self.platform_clients
        self.metrics = Metrics()
        note_call = add_table_metrics(self.metrics)
        self.note_commit = add_commit_metrics(self.metrics)
        self.table = InstrumentedTable(TableClient(table_client, timeout_s), note_call, monotonic)
        self.objects = ObjectStoreClient(objects_client)
        self.vms = VmListClient(vms_client, timeout_s)
        self.workers = WorkerApiClient()

    def _build_views(self, settings: Settings, keys: KeyFile) -> None:
        self.timeline = Timeline(
            settings.vm_id, settings.availability_zone, time, count_event=self.metrics.count_event
        )
        self.table = ClockedTable(self.table, self.timeline)
        self.roster = VmCache()
        self.directory = UpstreamDirectory()
        self.membership = Membership(settings.vm_id, monotonic)
        self.adopted = AdoptedConfiguration(self.timeline, self.wake_admission)
        self.peer_context = PeerContext(
            settings.vm_id,
            self.membership,
            self.directory,
            self.timeline,
            self.roster.entries,
            self.make_heartbeat,
            lambda address: Client(
                address, keys.headers, self.links.peer_client_tls(self.roster.zone_of)
            ),
            monotonic,
            sleep,
            self.stopped.is_set,
        )
        self.peers = PeerSync(self.peer_context)
        self.readiness = Readiness(
            ReadinessInputs(
                self.leaving.is_set,
                lambda: self.adopted.configuration,
                self.directory.upstreams_of,
                monotonic,
            )
        )

    def _build_request_path(self, settings: Settings) -> None:
        self.request_context = make_context(
            service_by_host=make_service_lookup(lambda: self.adopted.configuration),
            upstreams_of=self.directory.upstreams_of,
            zone_is_out_of_service=self.directory.zone_is_out_of_service,
            has_configuration=self.has_configuration,
            table=self.table,
            objects=self.objects,
            timeline=self.timeline,
            availability_zone=settings.availability_zone,
            vm_id=settings.vm_id,
            random=SystemRandom(),
        )
        host, _, port = settings.caller_address.rpartition(":")
        tls = self.links.caller_server_tls()
        self.caller_server = serve_callers((host, int(port)), self.request_context, tls)

    def _build_admin(self, settings: Settings, keys: KeyFile) -> None:
        operator_context = OperatorContext(
            {
                "status": lambda request: [self.status_row()],
                "workers": lambda request: self.worker_rows(),
                "timeline": make_event_rows(self.timeline),
            },
            {
                "zones": lambda request: zone_rows(self.directory),
                "jobs": lambda request: self.job_rows(),
            },
            self.peers.clients,
            lambda job_id: cancel_jobs_by_id(self.table, (job_id,), time()),
        )
        handlers = {
            "healthz": make_health_handler(),
            "readyz": make_ready_handler(self.readiness.unready_reason),
            "metrics": make_metrics_handler(self.metrics),
            "peer": make_peer_sync_handler(
                self.peer_context, self.read_document, self.team_uses, self.wake_shard
            ),
            "operator": make_operator_handler(operator_context),
        }
        self.traffic = TrafficCounter()
        context = AdminContext(handlers, keys.accepts, self.traffic)
        arguments = self.links.admin_server_arguments(self.roster.zone_of)
        self.admin_server = make_admin_server(settings.admin_address, context, arguments)
        self._add_metrics()

    def _add_metrics(self) -> None:
        context = self.request_context
        add_request_metrics(
            self.metrics,
            context.counts,
            context.state_by_service,
            lambda: context.retry_budget.refused,
        )
        add_entry_metrics(
            self.metrics,
            EntryMetricReaders(
                is_ready=lambda: not self.readiness.unready_reason(),
                configuration_version=lambda: self.adopted.configuration.version,
                shards_owned=lambda: len(self.shard_hints()),
                live_entries=lambda: len(self.membership.live_entries()),
                events_lost=lambda: self.timeline.lost,
                control_bytes=self.control_bytes,
                heartbeats_missed=lambda: self.peers.heartbeats_missed,
                tasks=self.task_numbers,
            ),
        )

    def has_configuration(self) -> bool:
        """Return whether this entry has adopted a configuration."""
        return self.adopted.configuration.version > 0

    def read_document(self, version: int, digest: str) -> bytes | None:
        """Return the adopted document if it has this version and digest."""
        if self.adopted.configuration_id == ConfigurationId(version, digest):
            return self.adopted.document
        return None

    def shard_hints(self) -> tuple[ShardHint, ...]:
        """Return the hints that peers receive about the shards owned here."""
        return self.scheduler.hints() if self.scheduler else ()

    def task_numbers(self) -> TaskStats:
        """Return the numbers of waiting and running tasks in the shards owned here."""
        return self.scheduler.task_stats() if self.scheduler else TaskStats()

    def peers_shard_hints(self) -> dict[int, ShardHint]:
        """Return the newest hint of every shard, including shards owned here."""
        return merge_shard_hints(
            self.shard_hints(), self.membership.heartbeats(), self.peers.team_usage_by_vm_id
        )

    def wake_admission(self) -> None:
        """Wake admission to process a newly adopted configuration."""
        if self.scheduler is not None:
            self.scheduler.wake_admission()

    def wake_shard(self, shard: int) -> bool:
        """Wake a shard owned here to read its inbox; return false for other shards."""
        return self.scheduler is not None and self.scheduler.wake_shard(shard)

    def team_uses(self) -> TeamUsageReport:
        """Return the resources that teams use in the shards owned here."""
        return TeamUsageReport(self.settings.vm_id, merge_team_usages(self.shard_hints()))

    def make_heartbeat(self) -> Heartbeat:
        """Return the current heartbeat for peers."""
        return Heartbeat(
            self.settings.vm_id,
            self.boot,
            self.settings.availability_zone,
            self.timeline.clock,
            *self.adopted.configuration_id,
            self.leaving.is_set(),
            self.directory.zones(),
            tuple(hint._replace(used_by_team=()) for hint in self.shard_hints()),
        )

    def status_row(self) -> StatusRow:
        """Return the row of this entry in the output of ``status``."""
        return StatusRow(
            vm=self.settings.vm_id,
            availability_zone=self.settings.availability_zone,
            ready=not self.readiness.unready_reason(),
            configuration=self.adopted.configuration.version,
            shards=len(self.shard_hints()),
            live_entries=len(self.membership.live_entries()),
            events_lost=self.timeline.lost,
        )

    def worker_rows(self) -> list[dict[str, Any]]:
        """Return the workers of the shards owned here."""
        return [view._asdict() for view in self.scheduler.worker_views()] if self.scheduler else []

    def job_rows(self) -> list[dict[str, Any]] | Failure:
        """Return the jobs in the platform's table."""
        views = view_jobs(self.table)
        return views if isinstance(views, Failure) else [view._asdict() for view in views]

    def control_bytes(self) -> int:
        """Return the bytes of control traffic that this process has exchanged."""
        platform = sum(client.control_bytes() for client in self.platform_clients)
        peers = self.peers.control_bytes() + self.traffic.body_bytes
        return platform + peers + self.workers.control_bytes()

    def start(self) -> None:
        """Open the ports and start the background tasks."""
        self.admin_server.start()
        self.caller_server.start()
        spawn(poll_vm_list, self.roster, self.vms, sleep, self.stopped.is_set)
        spawn(self.peers.run)
        start_background_greenlets(
            self.request_context, lambda: self.adopted.configuration.services
        )
        spawn(
            run_adoption,
            self.adopted,
            self.table,
            self.objects,
            lambda: newest_peer_configuration_id(self.membership.heartbeats()),
            self.peers.fetch_configuration,
        )
        watch = (self.directory, self.table, self.timeline, sleep, self.stopped.is_set)
        spawn(run_zone_watch, *watch)
        archiver = TimelineArchiver(
            self.timeline, self.objects, self.table, self.settings.vm_id, self.boot, time
        )
        self.archiver_greenlet = spawn(archiver.run, self.stopped.wait, self.stopped.is_set)
        spawn(self._run_scheduler)
        logging.info("event=started boot=%s", self.boot)

    def stop(self) -> None:
        """Stop gracefully: report unready, drain requests in flight, then hand over the shards."""
        limits = self.settings.limits
        logging.info("event=leaving")
        sleep(limits.ready_delay)
        drained = drain(self.caller_server, self.request_context, limits.drain_limit)
        if self.scheduler is not None:
            self.scheduler.drain(limits.drain_limit)
        self.stopped.set()
        self.archiver_greenlet.join(FINAL_ARCHIVE_TIMEOUT_S)
        logging.info("event=stopped drained=%s", str(drained).lower())

    def _run_scheduler(self) -> None:
        shard_count = read_or_create_layout(self.table, self.settings.shard_count)
        while isinstance(shard_count, Failure):
            logging.warning("event=layout_unknown reason=%s", shard_count.describe())
            sleep(LAYOUT_RETRY_S)
            shard_count = read_or_create_layout(self.table, self.settings.shard_count)
        if self.leaving.is_set():
            return
        self.scheduler = Scheduler(self._make_scheduler_context(shard_count))
        spawn(self._run_upstream_refresh)
        self.scheduler.run()

    def _make_scheduler_context(self, shard_count: int) -> SchedulerContext:
        return SchedulerContext(
            vm_id=self.settings.vm_id,
            table=self.table,
            objects=self.objects,
            workers=self.workers,
            configuration=lambda: self.adopted.configuration,
            vms=self.roster.workers,
            live_entries=self.membership.live_entries,
            has_recent_heartbeat=self.membership.has_recent_heartbeat,
            shard_hints=self.peers_shard_hints,
            shard_count=shard_count,
            timeline=self.timeline,
            clock=monotonic,
            wall_clock=time,
            sleep=sleep,
            random=SystemRandom(),
            services_outlive_store=True,
            wake_peer=self.peers.wake_owner,
            note_commit=self.note_commit,
        )

    def _run_upstream_refresh(self) -> None:
        while not self.stopped.is_set():
            for hint in self.shard_hints():
                if self.directory.is_outdated(hint.shard, hint.epoch, hint.upstream_revision):
                    upstreams = self.scheduler.upstreams(hint.shard)
                    self.directory.apply(
                        ShardUpstreams(hint.shard, hint.epoch, hint.upstream_revision, upstreams)
                    )
            sleep(UPSTREAM_REFRESH_S)


def run_entry(settings: Settings) -> None | Failure:
    """Run an entry until a signal stops it gracefully.

    Further signals have no effect: only the drain limit of the settings ends requests in flight.
    """
    config.loop = EVENT_LOOP
    configure_logging(settings.vm_id, settings.log_level)
    keys = open_key_file(settings.key_file)
    if isinstance(keys, Failure):
        return keys
    links = open_link_certificates(settings)
    if isinstance(links, Failure):
        return links
    daemon = Daemon(settings, keys, links)
    try:
        daemon.start()
    except OSError as error:
        return CannotListen(str(error))
    for signal_number in (SIGTERM, SIGINT):
        signal_handler(signal_number, daemon.leaving.set)
    daemon.leaving.wait()
    daemon.stop()
    return None
