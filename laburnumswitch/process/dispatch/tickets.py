"""Tickets, with which an external advice service permits a step to run on a worker."""

from typing import NamedTuple


class Tickets(NamedTuple):
    """Answer of the advice service.

    :ivar valid_s: how long the tickets are valid, 0 if the answer does not say.
    """

    ticket_by_worker: dict[str, str]
    valid_s: float
