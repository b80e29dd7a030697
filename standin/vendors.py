"""How the replicas of each program report their state, each vendor in its own way.

The names and units here are the vendors', and what the examples declare has to match them.
"""

from collections.abc import Callable
from typing import NamedTuple

from msgspec.json import encode

from standin.server import Reply


class State(NamedTuple):
    """The truth about a replica; ``load`` is a share from 0 to 1."""

    ready: bool
    leaving: bool
    load: float


class Vendor(NamedTuple):
    """The state page, served at ``path``, and the headers that every answer carries."""

    path: str
    page: Callable[[State], Reply]
    headers: Callable[[State], tuple[tuple[str, str], ...]]


def orders_page(state: State) -> Reply:
    """Return nested JSON with a percentage."""
    page = {
        "status": "ok" if state.ready else "stopping",
        "draining": state.leaving,
        "load": {"percent": round(100 * state.load, 1)},
    }
    return Reply(200, encode(page))


def cameras_page(state: State) -> Reply:
    """Return flat JSON with a share, which does not tell leaving."""
    return Reply(200, encode({"up": state.ready, "busy": round(state.load, 3)}))


def snapshots_page(state: State) -> Reply:
    """Return a metrics page in the format of Prometheus."""
    lines = (
        "# TYPE snapshot_ready gauge",
        f"snapshot_ready {int(state.ready)}",
        f"snapshot_draining {int(state.leaving)}",
        f"snapshot_load_ratio {state.load:.3f}",
    )
    return Reply(200, "\n".join(lines).encode() + b"\n", content_type="text/plain")


def prices_headers(state: State) -> tuple[tuple[str, str], ...]:
    """Return the state as headers."""
    return (
        ("X-Backend-Ready", "true" if state.ready else "false"),
        ("X-Backend-Load", f"{state.load:.3f}"),
    )


def no_headers(state: State) -> tuple[tuple[str, str], ...]:
    """Return no headers."""
    return ()


def empty_page(state: State) -> Reply:
    """Return an empty page."""
    return Reply(200)


SILENT_VENDOR = Vendor("", empty_page, no_headers)
VENDOR_BY_PROGRAM = {
    "order-confirmations": Vendor("/health", orders_page, no_headers),
    "prices": Vendor("", empty_page, prices_headers),
    "camera-counters": Vendor("/state", cameras_page, no_headers),
    "footfall-snapshots": Vendor("/metrics", snapshots_page, no_headers),
}


def vendor_of(command: tuple[str, ...]) -> Vendor:
    """Return the vendor of a program; one that is not known reports nothing."""
    return VENDOR_BY_PROGRAM.get(command[0], SILENT_VENDOR) if command else SILENT_VENDOR
