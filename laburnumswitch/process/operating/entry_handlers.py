"""Health, readiness, metrics and peer endpoints of the entry daemon's admin port."""

from collections.abc import Callable

from laburnumswitch.process.observing.metrics import Metrics
from laburnumswitch.process.operating.admin import AdminReply
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.admin import Handler
from laburnumswitch.process.operating.admin import reject
from laburnumswitch.process.operating.admin import reply_json
from laburnumswitch.process.operating.admin import TEXT_TYPE
from laburnumswitch.process.peers.heartbeat import Heartbeat
from laburnumswitch.process.peers.heartbeat import TeamUsageReport
from laburnumswitch.process.peers.peer_sync import PeerContext
from laburnumswitch.process.peers.peer_sync import receive_heartbeat


def make_health_handler() -> Handler:
    """Return the handler that confirms that the process serves its admin port."""
    return lambda request: AdminReply(200, b"ok\n", TEXT_TYPE)


def make_ready_handler(unready_reason: Callable[[], str]) -> Handler:
    """Return the handler of the load balancer's check whether to send callers here.

    :param unready_reason: returns an empty string while the entry is ready.
    """

    def handle(request: AdminRequest) -> AdminReply:
        reason = unready_reason()
        if reason:
            return AdminReply(503, f"not ready: {reason}\n".encode(), TEXT_TYPE)
        return AdminReply(200, b"ready\n", TEXT_TYPE)

    return handle


def make_metrics_handler(metrics: Metrics) -> Handler:
    """Return the handler of the metrics page."""

    def handle(request: AdminRequest) -> AdminReply:
        body, content_type = metrics.render(request.headers.get("accept", ""))
        return AdminReply(200, body, content_type)

    return handle


def make_peer_sync_handler(
    context: PeerContext,
    read_document: Callable[[int, str], bytes | None],
    team_usage: Callable[[], TeamUsageReport],
    wake_shard: Callable[[int], bool],
) -> Handler:
    """Return the handler of all paths below ``/peer``, which ``PeerSync`` calls on other entries.

    :param read_document: returns the configuration document of a version and digest, if it is in
        force.
    :param team_usage: returns the resources that teams use in the shards of this entry.
    :param wake_shard: makes a shard of this entry read its inbox; returns false for other shards.
    """

    def handle(request: AdminRequest) -> AdminReply:
        match request.method, request.path_parts:
            case "POST", ("heartbeat",):
                receive_heartbeat(context, request.decode(Heartbeat))
                return reply_json(context.make_heartbeat())
            case "GET", ("shard", shard) if shard.isdigit():
                return _shard_upstreams(context, int(shard))
            case "POST", ("wake", shard) if shard.isdigit():
                if wake_shard(int(shard)):
                    return AdminReply(200, b"", TEXT_TYPE)
            case "GET", ("teams",):
                return reply_json(team_usage())
            case "GET", ("configuration", name):
                version, _, digest = name.partition("-")
                document = read_document(int(version), digest) if version.isdigit() else None
                if document is not None:
                    return AdminReply(200, document)
        return reject(404, "NotFound")

    return handle


def _shard_upstreams(context: PeerContext, shard: int) -> AdminReply:
    for shard_upstreams in context.directory.all_upstreams():
        if shard_upstreams.shard == shard:
            return reply_json(shard_upstreams)
    return reject(404, "ShardNotHeld")
