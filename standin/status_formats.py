"""Formats in which replicas report their status, one per program.

The names and units differ between the programs' vendors. The declarations in ``examples/`` have to
match them.
"""

from collections.abc import Callable
from typing import NamedTuple

from msgspec.json import encode

from standin.server import Reply


class ReplicaState(NamedTuple):
    """Actual state of a replica; ``load`` is a share from 0 to 1."""

    ready: bool
    leaving: bool
    load: float


class StatusFormat(NamedTuple):
    """The status page, served at ``path``, and the headers of every response."""

    path: str
    page: Callable[[ReplicaState], Reply]
    headers: Callable[[ReplicaState], tuple[tuple[str, str], ...]]


def orders_page(state: ReplicaState) -> Reply:
    """Return nested JSON with the load in percent."""
    page = {
        "status": "ok" if state.ready else "stopping",
        "draining": state.leaving,
        "load": {"percent": round(100 * state.load, 1)},
    }
    return Reply(200, encode(page))


def cameras_page(state: ReplicaState) -> Reply:
    """Return flat JSON with the load as a share. It does not report whether the replica drains."""
    return Reply(200, encode({"up": state.ready, "busy": round(state.load, 3)}))


def snapshots_page(state: ReplicaState) -> Reply:
    """Return a page in the Prometheus text format."""
    lines = (
        "# TYPE snapshot_ready gauge",
        f"snapshot_ready {int(state.ready)}",
        f"snapshot_draining {int(state.leaving)}",
        f"snapshot_load_ratio {state.load:.3f}",
    )
    return Reply(200, "\n".join(lines).encode() + b"\n", content_type="text/plain")


def prices_headers(state: ReplicaState) -> tuple[tuple[str, str], ...]:
    """Return the state as headers."""
    return (
        ("X-Backend-Ready", "true" if state.ready else "false"),
        ("X-Backend-Load", f"{state.load:.3f}"),
    )


def no_headers(state: ReplicaState) -> tuple[tuple[str, str], ...]:
    """Return no headers."""
    return ()


def empty_page(state: ReplicaState) -> Reply:
    """Return an empty page."""
    return Reply(200)


NO_STATUS = StatusFormat("", empty_page, no_headers)
STATUS_FORMAT_BY_PROGRAM = {
    "order-confirmations": StatusFormat("/health", orders_page, no_headers),
    "prices": StatusFormat("", empty_page, prices_headers),
    "camera-counters": StatusFormat("/state", cameras_page, no_headers),
    "footfall-snapshots": StatusFormat("/metrics", snapshots_page, no_headers),
}


def status_format_of(command: tuple[str, ...]) -> StatusFormat:
    """Return the format of a command's program; unknown programs report no status."""
    return STATUS_FORMAT_BY_PROGRAM.get(command[0], NO_STATUS) if command else NO_STATUS
