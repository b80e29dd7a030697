"""Tickets: an outside service's permission to run a step on a worker."""

from typing import NamedTuple


class Tickets(NamedTuple):
    """Answer of the advice service; tickets hold for ``valid_s`` seconds."""

    ticket_by_worker: dict[str, str]
    valid_s: float
