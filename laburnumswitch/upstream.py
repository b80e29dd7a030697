"""Upstreams as the request path sees them: running replicas of services."""

from typing import NamedTuple


class Upstream(NamedTuple):
    """One running replica. ``upstream_id`` is ``task_id.run`` and is never used twice.

    ``address`` is ``IP:port``. A ``leaving`` upstream gets no new requests.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    worker_id: str
    slots: int
    leaving: bool = False
