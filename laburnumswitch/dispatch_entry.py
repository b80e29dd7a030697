"""Composition root of an entry that runs on the users' existing platform.

Jobs are submitted by requests, and the store, the workers and the operators use the protocols of
that platform. ``entry.py`` is the composition root for the project's own platform protocol.
"""

from collections.abc import Callable
from random import random
from signal import SIGHUP
from signal import SIGINT
from signal import SIGTERM
from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import monotonic
from time import time
from uuid import uuid4

from gevent import config
from gevent import signal_handler
from gevent import sleep
from gevent import spawn
from gevent.event import Event

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.client_limits import RefusalCounter
from laburnumswitch.connection.connection_limit import ConnectionLimit
from laburnumswitch.dispatch_metrics import register_client_metrics
from laburnumswitch.dispatch_metrics import register_configuration_metrics
from laburnumswitch.dispatch_metrics import register_dispatch_metrics
from laburnumswitch.exceptions import CannotListen
from laburnumswitch.exceptions import Failure
from laburnumswitch.platform.advice import AdviceClient
from laburnumswitch.platform.callers import DEADLINE_HEADER
from laburnumswitch.platform.callers import decode_submission
from laburnumswitch.platform.callers import encode_pending
from laburnumswitch.platform.callers import encode_state
from laburnumswitch.platform.discovery import decode_worker
from laburnumswitch.platform.discovery import WORKERS_TABLE
from laburnumswitch.platform.operations import decode_operation
from laburnumswitch.platform.operations import OPERATIONS_TABLE
from laburnumswitch.platform.store import StoreClient
from laburnumswitch.platform.vms import VmListClient
from laburnumswitch.platform.workers import HttpWorkerLink
from laburnumswitch.process.daemon.deployment import Bounds
from laburnumswitch.process.daemon.deployment import Deployment
from laburnumswitch.process.daemon.reload_signal import deliver_reload_signal
from laburnumswitch.process.daemon.supervision import keep_running
from laburnumswitch.process.dispatch.dispatcher import DispatchContext
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.job_spec import Limits
from laburnumswitch.process.dispatch.takeover import begin_dispatch
from laburnumswitch.process.leadership.configuration_relay import ConfigurationRelay
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.leadership import LeadershipContext
from laburnumswitch.process.leadership.owner_link import OwnerAccess
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.leadership.peer_api import PeerClient
from laburnumswitch.process.leadership.predecessor import Predecessor
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.observing.decisions import CAPACITY_LINES
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.observing.decisions import run_writer
from laburnumswitch.process.observing.decisions import write_final_lines
from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.process.operating.admin import AdminContext
from laburnumswitch.process.operating.admin import AdminReply
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.admin import make_admin_server
from laburnumswitch.process.operating.admin import TrafficCounter
from laburnumswitch.process.operating.operations import FEED_WAIT_S
from laburnumswitch.process.operating.operations import follow_operations
from laburnumswitch.process.operating.operations import Operations
from laburnumswitch.process.operating.port_limits import caller_limits
from laburnumswitch.process.operating.port_limits import health_limits
from laburnumswitch.process.operating.port_limits import peer_limits
from laburnumswitch.process.rows.change_feed import Feed
from laburnumswitch.process.rows.observed_table import FailFastTable
from laburnumswitch.process.rows.observed_table import ObservedTable
from laburnumswitch.process.rows.reach import Reach
from laburnumswitch.request.authentication import Revocation
from laburnumswitch.request.job_api import answer_request
from laburnumswitch.request.job_api import is_isolated
from laburnumswitch.request.job_api import JobApiContext
from laburnumswitch.request.job_api import refuse_early
from laburnumswitch.request.job_server import InFlightCounter
from laburnumswitch.request.job_server import make_job_server
from laburnumswitch.request.refusal_log import RefusalLog

# The load balancer removes an entry after two failed health checks that are one second apart.
LOAD_BALANCER_REMOVAL_S = 2.6
# Margin between the end of the process and the time at which the platform would kill it.
KILL_MARGIN_S = 1.0
DRAIN_INTERVAL_S = 0.05
EVENT_LOOP = "libev-cext"
# Share of the descriptors for connections that those to workers may take. Callers, other entries
# and the store use the rest.
WORKER_CONNECTIONS_SHARE = 0.75


class DispatchEntry:
    """An entry: its servers, operator settings, leadership and, on the owner, the dispatcher."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.incarnation = uuid4().hex[:8]
        self.stop_requested = Event()
        self.stopped = Event()
        self.log = DecisionLog(deployment.vm_id, time, CAPACITY_LINES)
        self.store_reach = Reach(monotonic)
        store_client = Client(deployment.store_address)
        self.table = ObservedTable(StoreClient(store_client), self.store_reach)
        self.operations = Operations(self.log)
        self.peer_client = PeerClient()
        self.configuration_relay = ConfigurationRelay(
            self.operations,
            self.peer_client,
            _boot_clock,
            sleep,
            random,
            lambda: self.deployment.bounds.configuration_s,
        )
        identity = EntryIdentity(
            deployment.vm_id, self.incarnation, deployment.peer_address, deployment.cpu_cores
        )
        self.leadership = Leadership(
            LeadershipContext(
                identity=identity,
                table=self.table,
                owner_client=self.configuration_relay,
                start_dispatcher=self._start_dispatcher,
                log=self.log,
                clock=monotonic,
                boot_clock=_boot_clock,
                sleep=sleep,
                is_stopped=self.stop_requested.is_set,
            )
        )
        self.job_api_context = JobApiContext(
            operations=self.operations,
            table=FailFastTable(self.table, self.store_reach),
            owner=OwnerAccess(self.leadership, self.peer_client, deployment.vm_id),
            decode_submission=decode_submission,
            encode_state=encode_state,
            encode_pending=encode_pending,
            log=self.log,
            clock=monotonic,
            wall_clock=time,
            sleep=sleep,
            store_reach=self.store_reach,
            boot_clock=_boot_clock,
            revocation=self._revocation,
            refusal_log=RefusalLog(self.log, monotonic),
            max_unconfirmed_s=lambda: self.deployment.bounds.configuration_s,
        )
        refusals = RefusalCounter(monotonic, self._note_refusals)
        callers = PortClients(
            "callers", lambda: caller_limits(self.deployment, self._limits()), refusals
        )
        peers = PortClients("internal", lambda: peer_limits(self.deployment), refusals)
        probes = PortClients("ready", lambda: health_limits(self.deployment), refusals)
        self.in_flight = InFlightCounter()
        self.caller_server = make_job_server(
            deployment.caller_address,
            lambda request: refuse_early(self.job_api_context, request),
            lambda request: answer_request(self.job_api_context, request),
            self.in_flight,
            self._is_leaving_rotation,
            DEADLINE_HEADER,
            callers,
        )
        self.worker_connections = ConnectionLimit(
            _max_worker_connections(deployment), monotonic, self._note_connection_limit
        )
        self.metrics = Metrics()
        register_dispatch_metrics(
            self.metrics, self.leadership, self.in_flight, self.log, self.worker_connections
        )
        register_client_metrics(self.metrics, refusals, (callers, peers, probes))
        register_configuration_metrics(
            self.metrics,
            self.operations,
            self.job_api_context.refusal_log,
            store_client,
            self.store_reach,
            _boot_clock,
        )
        handlers = {
            "peer": make_leadership_peer_handler(
                lambda: self.leadership, self.incarnation, self.operations, _boot_clock
            ),
            "metrics": self._render_metrics,
        }
        self.peer_server = make_admin_server(
            deployment.peer_address,
            AdminContext(handlers, _accept_any_authorization, TrafficCounter()),
            clients=peers,
        )
        self.health_server = make_admin_server(
            deployment.health_address,
            AdminContext({"v1": self._check_health}, _accept_any_authorization, TrafficCounter()),
            clients=probes,
        )

    def start(self) -> None:
        """Open the ports and start the background tasks."""
        self.log.note("start", self.incarnation, cores=self.deployment.cpu_cores)
        self.peer_server.start()
        self.health_server.start()
        self.caller_server.start()
        spawn(run_writer, self.log, self.stopped.is_set)
        for task in (self._follow_operations, self._relay_configurations, self.leadership.run):
            spawn(keep_running, task, self.log, sleep, self.stopped.is_set)

    def reload(self, changed: Deployment | Failure) -> None:
        """Apply reloaded settings; changed addresses take effect at the next start only."""
        if isinstance(changed, Failure):
            self.log.note("reload", self.incarnation, outcome="refused", reason=changed.describe())
            return
        before = self.deployment._asdict()
        changed_names = [name for name, value in changed._asdict().items() if value != before[name]]
        self.deployment = changed
        self.worker_connections.max_open = _max_worker_connections(changed)
        self.log.note("reload", self.incarnation, outcome="taken", changed=changed_names)

    def stop(self) -> None:
        """Stop gracefully: release ownership, wait for the load balancer, drain requests."""
        started_s = monotonic()
        self.log.note("stop", self.incarnation, in_flight=self.in_flight.count)
        releasing = spawn(self.leadership.release)
        sleep(LOAD_BALANCER_REMOVAL_S)
        deadline_s = started_s + self.deployment.bounds.grace_s - KILL_MARGIN_S
        while self.in_flight.count and monotonic() < deadline_s:
            sleep(DRAIN_INTERVAL_S)
        releasing.join(max(0.0, deadline_s - monotonic()))
        self.log.note("stopped", self.incarnation, in_flight=self.in_flight.count)
        self.stopped.set()
        write_final_lines(self.log.take())

    def _start_dispatcher(
        self, held_term: VersionedTerm, term_committed_s: float, predecessor: Predecessor
    ) -> Dispatcher:
        vm_list_address = self.deployment.vm_list_address
        context = DispatchContext(
            deployment=self.deployment,
            table=self.table,
            workers_table=WORKERS_TABLE,
            decode_worker=decode_worker,
            make_link=lambda listing: HttpWorkerLink(listing, self.worker_connections),
            ask_advice=AdviceClient(self.deployment.advice_address).ask,
            operations=self.operations,
            log=self.log,
            clock=monotonic,
            wall_clock=time,
            boot_clock=_boot_clock,
            sleep=sleep,
            list_vms=VmListClient(vm_list_address).list_vms if vm_list_address else None,
        )
        return begin_dispatch(context, held_term, term_committed_s, predecessor)

    def _follow_operations(self) -> None:
        follow_operations(
            self.operations,
            Feed(
                self.table,
                OPERATIONS_TABLE,
                _operations_wait_s(self.deployment.bounds),
                only_newest=True,
            ),
            decode_operation,
            _boot_clock,
            sleep,
            self.stopped.is_set,
        )

    def _relay_configurations(self) -> None:
        self.configuration_relay.run(self.stopped.is_set)

    def _revocation(self) -> Revocation:
        bounds = self.deployment.bounds
        return Revocation(bounds.is_revocation_strict, bounds.revocation_s)

    def _note_connection_limit(self, limit: ConnectionLimit) -> None:
        self.log.note(
            "connections_limited",
            self.incarnation,
            limit=limit.max_open,
            open=limit.open_count,
            closed_idle=limit.closed_idle_count,
            refused=limit.refused_count,
        )

    def _note_refusals(self, counts: dict[str, int]) -> None:
        self.log.note("clients_refused", self.incarnation, counts=counts)

    def _limits(self) -> Limits:
        configuration = self.operations.configuration
        return configuration.limits if configuration else Limits()

    def _is_leaving_rotation(self) -> bool:
        """Return whether callers should use other entries from now on."""
        return self.stop_requested.is_set() or is_isolated(self.job_api_context)

    def _check_health(self, request: AdminRequest) -> AdminReply:
        is_ready = self.operations.configuration is not None and not self._is_leaving_rotation()
        return AdminReply(200 if is_ready else 503, b"{}")

    def _render_metrics(self, request: AdminRequest) -> AdminReply:
        content, content_type = self.metrics.render(request.headers.get("accept", "*/*"))
        return AdminReply(200, content, content_type)


def run_dispatch_entry(
    deployment: Deployment, reload_settings: Callable[[], Deployment | Failure]
) -> None | Failure:
    """Run an entry until a signal stops it gracefully.

    :param reload_settings: reads the settings again, called on ``SIGHUP``.
    """
    config.loop = EVENT_LOOP
    entry = DispatchEntry(deployment)
    for signal_number in (SIGTERM, SIGINT):
        signal_handler(signal_number, entry.stop_requested.set)
    signal_handler(SIGHUP, lambda: entry.reload(reload_settings()))
    deliver_reload_signal()
    try:
        entry.start()
    except OSError as error:
        return CannotListen(str(error))
    entry.stop_requested.wait()
    entry.stop()
    return None


def _max_worker_connections(deployment: Deployment) -> int:
    return int(deployment.max_sockets * WORKER_CONNECTIONS_SHARE)


def _operations_wait_s(bounds: Bounds) -> float:
    # A read confirms the configuration as of when it was sent, so the age of a confirmation is up
    # to twice this time.
    limits_s = [bounds.configuration_s]
    if bounds.is_revocation_strict:
        limits_s.append(bounds.revocation_s)
    return min(FEED_WAIT_S, *(limit_s / 4.0 for limit_s in limits_s))


def _boot_clock() -> float:
    return clock_gettime(CLOCK_BOOTTIME)


def _accept_any_authorization(authorization: str) -> bool:
    # The peer and health ports are on the internal network and require no credentials.
    return True
