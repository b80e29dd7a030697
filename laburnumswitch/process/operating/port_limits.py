"""Limits of the clients of an entry's ports, by the entry's memory and descriptors."""

from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.process.daemon.deployment import Deployment
from laburnumswitch.process.dispatch.job_spec import Limits

BYTES_PER_MB = 1_048_576
# A body whose request is being answered exists about four times: as received, decoded, encoded for
# the store, and in the call to the store. With a sixteenth of the memory, all bodies together take
# at most a quarter of it.
BODY_MEMORY_SHARE = 1 / 16
PEER_BODY_SHARE = 0.25
# Largest body from another entry: twice a caller's body, as a submission grows when it is encoded
# again.
MAX_PEER_BODY_BYTES = 524_288
# The readiness path needs no body.
HEALTH_BODY_BYTES = 4_096
# Shares of the descriptors for connections. Three quarters are for the owner's connections to
# workers; the rest are for this process's connections to other entries and the store. At the owner,
# each other entry holds one connection for its watch and others for its calls.
CALLER_CONNECTIONS_SHARE = 0.11
PEER_CONNECTIONS_SHARE = 0.1
HEALTH_CONNECTIONS_SHARE = 0.02
# A connection takes up to 64 KB: its greenlet, its state and the data read ahead. Callers and
# entries together may so take a quarter of the memory.
CALLER_CONNECTIONS_PER_MB = 2
PEER_CONNECTIONS_PER_MB = 2
MAX_HEALTH_CONNECTIONS = 32
# The smallest numbers with which the ports are useful.
MIN_CONNECTIONS = 8
# Answers are short, so that sending one blocks only if the client does not read.
SEND_TIMEOUT_S = 5.0
# Times for heads and bodies at the ports whose clients are within the platform.
INTERNAL_HEAD_S = 3.0
INTERNAL_BODY_S = 5.0


def caller_limits(deployment: Deployment, limits: Limits) -> CallerLimits:
    """Return the limits of the callers' port.

    :param limits: those of the configuration.
    """
    return CallerLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        total_body_bytes=int(_body_memory(deployment) * (1 - PEER_BODY_SHARE)),
        connections=_connections(
            deployment, CALLER_CONNECTIONS_SHARE, deployment.memory_mb * CALLER_CONNECTIONS_PER_MB
        ),
        idle_s=limits.idle_s,
        head_s=limits.head_s,
        body_s=limits.idle_s,
        send_s=SEND_TIMEOUT_S,
    )


def peer_limits(deployment: Deployment) -> CallerLimits:
    """Return the limits of the internal port, which other entries call."""
    total_body_bytes = int(_body_memory(deployment) * PEER_BODY_SHARE)
    return CallerLimits(
        body_bytes=min(MAX_PEER_BODY_BYTES, total_body_bytes),
        total_body_bytes=total_body_bytes,
        connections=_connections(
            deployment, PEER_CONNECTIONS_SHARE, deployment.memory_mb * PEER_CONNECTIONS_PER_MB
        ),
        head_s=INTERNAL_HEAD_S,
        body_s=INTERNAL_BODY_S,
        send_s=SEND_TIMEOUT_S,
    )


def health_limits(deployment: Deployment) -> CallerLimits:
    """Return the limits of the readiness port."""
    connections = _connections(deployment, HEALTH_CONNECTIONS_SHARE, MAX_HEALTH_CONNECTIONS)
    return CallerLimits(
        body_bytes=HEALTH_BODY_BYTES,
        total_body_bytes=connections * HEALTH_BODY_BYTES,
        connections=connections,
        head_s=INTERNAL_HEAD_S,
        body_s=INTERNAL_BODY_S,
        send_s=SEND_TIMEOUT_S,
    )


def _body_memory(deployment: Deployment) -> float:
    return deployment.memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE


def _connections(deployment: Deployment, share: float, limit: int) -> int:
    return max(MIN_CONNECTIONS, min(int(deployment.max_sockets * share), limit))
