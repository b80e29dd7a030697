"""Tickets: permissions of an external service to run a step on a worker."""

from typing import NamedTuple


class Tickets(NamedTuple):
    """Answer of the advice service; the tickets are valid for ``valid_s`` seconds."""

    ticket_by_worker: dict[str, str]
    valid_s: float
