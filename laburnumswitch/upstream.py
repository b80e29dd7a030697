"""Upstreams of the request path: running replicas of services."""

from typing import NamedTuple


class Upstream(NamedTuple):
    """A running replica. ``upstream_id`` is ``task_id.run`` and is never reused.

    ``address`` is ``IP:port``. A ``leaving`` upstream receives no new requests.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    worker_id: str
    slots: int
    leaving: bool = False
