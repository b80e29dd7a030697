"""Bounds on the memory and connections that the clients of a process's servers may take.

Load pattern: hundreds of clients send bodies of legal size and stop just short of their end, open
connections and send or read very slowly, or do not read their answers. Each is within the limits of
a single request; together they take all memory or all descriptors. When a bound is reached, the
client that has kept this process waiting for longest is closed, so that such clients displace each
other and a client that sends its request at once is served.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from itertools import cycle
from time import monotonic
from typing import NamedTuple
from typing import Protocol

from gevent import sleep

from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.connection.request_reader import STATUS_CONTENT_TOO_LARGE
from laburnumswitch.connection.request_reader import STATUS_FIELDS_TOO_LARGE
from laburnumswitch.connection.request_reader import STATUS_REQUEST_TIMEOUT
from laburnumswitch.connection.request_reader import STATUS_UNAVAILABLE
from laburnumswitch.connection.turns import Turns

# Bodies up to this size may use the whole budget, larger ones only a part of it.
SMALL_BODY_BYTES = 16_384
LARGE_BODY_SHARE = 0.75
# Values of ``Retry-After``, in seconds, given in turn so that refused clients do not all return at
# the same moment. Room is there within a second, when bodies are answered or make way.
RETRY_AFTER_S = (1, 2, 3)
REPORT_INTERVAL_S = 1.0


class Cause(StrEnum):
    """Why a client was refused, or its connection closed before its request was answered."""

    ANSWER_UNREAD = "answer_unread"
    BODY_MEMORY = "body_memory"
    BODY_SIZE = "body_size"
    CONNECTIONS = "connections"
    HANDLER_ERROR = "handler_error"
    HEAD_SIZE = "head_size"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"


_CAUSE_BY_STATUS = {
    STATUS_CONTENT_TOO_LARGE: Cause.BODY_SIZE,
    STATUS_FIELDS_TOO_LARGE: Cause.HEAD_SIZE,
    STATUS_REQUEST_TIMEOUT: Cause.TIMEOUT,
    STATUS_UNAVAILABLE: Cause.BODY_MEMORY,
}


class Client(Protocol):
    """One connection of a client, as the bounds know it."""

    def abort(self) -> None:
        """Close the connection and free what it holds, from another greenlet."""


def cause_of(status: int) -> Cause:
    """Return the cause that a refusal with this status is counted under."""
    return _CAUSE_BY_STATUS.get(status, Cause.MALFORMED)


class RefusalCounter:
    """Counts refusals by port and cause, and reports new ones at most once a second.

    :ivar counts: number of refusals so far, by port and cause.
    """

    def __init__(
        self, clock: Callable[[], float], report: Callable[[dict[str, int]], None]
    ) -> None:
        self.counts: Counter[tuple[str, Cause]] = Counter()
        self._clock = clock
        self._report = report
        self._unreported: Counter[str] = Counter()
        self._reported_s = float("-inf")

    def note(self, port: str, cause: Cause) -> bool:
        """Count a refusal, and return whether it was reported at once."""
        self.counts[port, cause] += 1
        self._unreported[f"{port}.{cause}"] += 1
        now_s = self._clock()
        if now_s - self._reported_s < REPORT_INTERVAL_S:
            return False
        self._reported_s = now_s
        counts = dict(self._unreported)
        self._unreported.clear()
        self._report(counts)
        return True


class Hold(NamedTuple):
    """Whether a body may be read, and the clients that are closed for it and no longer count."""

    is_granted: bool
    dropped: tuple[Client, ...] = ()


class BodyBudget:
    """Bytes that the request bodies of one port may take until they are answered.

    :ivar used_bytes: bytes that are held now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        # Bodies that are being received, the oldest first, and those that are complete.
        self._held_by_receiving: dict[Client, int] = {}
        self._held_by_answered: dict[Client, int] = {}

    def hold(self, client: Client, size_bytes: int) -> Hold:
        """Count a body as taking ``size_bytes``, before that many are read.

        Older bodies that are being received are dropped for it. It is refused if it is itself the
        oldest, as then complete bodies fill the budget.
        """
        allowed_bytes = self.limit_bytes
        if size_bytes > SMALL_BODY_BYTES:
            allowed_bytes = int(allowed_bytes * LARGE_BODY_SHARE)
        more_bytes = size_bytes - self._held_by_receiving.setdefault(client, 0)
        dropped = []
        while self.used_bytes + more_bytes > allowed_bytes:
            oldest = next(iter(self._held_by_receiving))
            if oldest is client:
                return Hold(False, tuple(dropped))
            self.release(oldest)
            dropped.append(oldest)
        self._held_by_receiving[client] = size_bytes
        self.used_bytes += more_bytes
        return Hold(True, tuple(dropped))

    def complete(self, client: Client) -> None:
        """Note that a body was received in full; it is held until it is released."""
        held_bytes = self._held_by_receiving.pop(client, None)
        if held_bytes is not None:
            self._held_by_answered[client] = held_bytes

    def release(self, client: Client) -> None:
        """Stop counting a client's body."""
        self.used_bytes -= self._held_by_receiving.pop(client, 0)
        self.used_bytes -= self._held_by_answered.pop(client, 0)


class PortClients:
    """Clients that are connected to one port, within the limits of that port.

    :ivar limits: returns the limits in force.
    :ivar turns: order of the clients that cause much work at once.
    """

    def __init__(
        self, port: str, limits: Callable[[], CallerLimits], refusals: RefusalCounter
    ) -> None:
        self.port = port
        self.limits = limits
        self.budget = BodyBudget(limits().total_body_bytes)
        self.turns = Turns(sleep)
        self._retry_after_s = cycle(RETRY_AFTER_S)
        self._refusals = refusals
        self._open: set[Client] = set()
        # Clients that this process waits for, the one it has waited for longest first. The others
        # wait for this process.
        self._waiting: dict[Client, None] = {}

    @property
    def open_count(self) -> int:
        """Return the number of connections."""
        return len(self._open)

    def admit(self, client: Client) -> bool:
        """Count a new connection, closing another one if there are too many.

        :return: whether the new one may stay. If not, it does not count.
        """
        if len(self._open) >= self.limits().connections:
            self.refuse(Cause.CONNECTIONS)
            oldest = next(iter(self._waiting), None)
            if oldest is None:
                return False
            self.remove(oldest)
            oldest.abort()
        self._open.add(client)
        self._waiting[client] = None
        return True

    def note_waiting(self, client: Client) -> None:
        """Note that this process begins to wait for a client."""
        self._waiting.pop(client, None)
        if client in self._open:
            self._waiting[client] = None

    def note_busy(self, client: Client) -> None:
        """Note that a client waits for this process, and so is not closed for others."""
        self._waiting.pop(client, None)

    def remove(self, client: Client) -> None:
        """Stop counting a connection, if it still counts."""
        self._waiting.pop(client, None)
        self._open.discard(client)
        self.budget.release(client)

    def hold_body(self, client: Client, size_bytes: int) -> bool:
        """Count a body before it is read, closing clients with older unfinished ones if needed."""
        if client not in self._open:
            return False
        self.budget.limit_bytes = self.limits().total_body_bytes
        hold = self.budget.hold(client, size_bytes)
        for other in hold.dropped:
            self.refuse(Cause.BODY_MEMORY)
            self.remove(other)
            other.abort()
        return hold.is_granted

    def next_retry_after_s(self) -> int:
        """Return when the next refused client may return, in seconds."""
        return next(self._retry_after_s)

    def refuse(self, cause: Cause) -> bool:
        """Count a refusal, and return whether it was reported at once."""
        return self._refusals.note(self.port, cause)


def make_constant_clients(port: str, limits: CallerLimits) -> PortClients:
    """Return the clients of a port with constant limits, whose refusals are not logged."""
    return PortClients(port, lambda: limits, RefusalCounter(monotonic, lambda counts: None))
