"""Pool of connections to upstreams, each of which carries one exchange at a time."""

from collections import deque
from collections.abc import Callable
from errno import EINVAL
from ssl import SSLContext
from time import monotonic

from gevent import sleep
from gevent import socket

from laburnumswitch.connection.address import parse_address
from laburnumswitch.connection.exchange import UpstreamConnection
from laburnumswitch.connection.readable import is_readable
from laburnumswitch.connection.tcp import open_connection
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import ConnectionLimit
from laburnumswitch.upstream import Upstream

IDLE_TIMEOUT_S = 15.0
REAP_INTERVAL_S = 2.0
# All entries together open at most 64 connections to a worker, if no more than 8 entries use it.
MAX_CONNECTIONS_PER_WORKER = 64
MAX_ENTRIES_PER_WORKER = 8
# Limit for one entry.
MAX_CONNECTIONS_TO_WORKER = MAX_CONNECTIONS_PER_WORKER // MAX_ENTRIES_PER_WORKER


class UpstreamPool:
    """Pool of idle connections by address, with a limit on open connections to each worker."""

    def __init__(
        self,
        clock: Callable[[], float] = monotonic,
        ssl_context: SSLContext | None = None,
        max_connections_to_worker: int = MAX_CONNECTIONS_TO_WORKER,
    ) -> None:
        self.opened = 0
        self.reused = 0
        self.retired = 0
        self._clock = clock
        self._ssl_context = ssl_context
        self._max_connections_to_worker = max_connections_to_worker
        self._idle_by_address: dict[str, deque[UpstreamConnection]] = {}
        self._open_by_worker: dict[str, int] = {}

    def acquire(
        self, upstream: Upstream, connect_timeout_s: float, max_idle_s: float = IDLE_TIMEOUT_S
    ) -> UpstreamConnection | ConnectFailed | ConnectionLimit:
        """Return a connection for one exchange.

        :param max_idle_s: longest time since the last use of a pooled connection; 0 forces a new
            one.
        """
        idle = self._idle_by_address.get(upstream.address)
        while idle and max_idle_s > 0:
            connection = idle.pop()
            if self._clock() - connection.last_used_s > max_idle_s:
                # The other connections to this address have been idle for even longer.
                idle.append(connection)
                break
            # A connection with data to read was closed by the other end or is out of sync.
            if not is_readable(connection.sock):
                self.reused += 1
                return connection
            self.discard(connection)
        return self._open(upstream, connect_timeout_s)

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after an exchange that ended cleanly."""
        connection.last_used_s = self._clock()
        self._idle_by_address.setdefault(connection.address, deque()).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection that is not in the pool, instead of releasing it."""
        self._count_closed(connection.worker_id)
        connection.close()

    def retire(self, address: str, unused_since_s: float) -> int:
        """Close the idle connections to an address that were last used at or before a time.

        :return: the number of closed connections.
        """
        idle = self._idle_by_address.get(address)
        count = 0
        while idle and idle[0].last_used_s <= unused_since_s:
            self.discard(idle.popleft())
            count += 1
        if idle is not None and not idle:
            del self._idle_by_address[address]
        self.retired += count
        return count

    def reap(self) -> None:
        """Close the connections that have exceeded the idle timeout."""
        unused_since_s = self._clock() - IDLE_TIMEOUT_S
        for address in list(self._idle_by_address):
            self.retire(address, unused_since_s)

    def reap_forever(self) -> None:
        """Call ``reap`` periodically; runs in a greenlet of its own."""
        while True:
            sleep(REAP_INTERVAL_S)
            self.reap()

    def _open(
        self, upstream: Upstream, connect_timeout_s: float
    ) -> UpstreamConnection | ConnectFailed | ConnectionLimit:
        worker_id = upstream.worker_id
        if not self._ensure_capacity(worker_id):
            return ConnectionLimit(worker_id)
        self._open_by_worker[worker_id] = self._open_by_worker.get(worker_id, 0) + 1
        sock = None
        try:
            sock = self._connect(upstream.address, connect_timeout_s)
        except OSError as error:
            return ConnectFailed(upstream.address, type(error).__name__)
        finally:
            if sock is None:
                self._count_closed(worker_id)
        self.opened += 1
        return UpstreamConnection(upstream.address, worker_id, sock, self._clock())

    def _connect(self, address: str, connect_timeout_s: float) -> socket.socket:
        parsed = parse_address(address)
        if parsed is None:
            raise OSError(EINVAL, "the address is malformed")
        sock = open_connection(parsed, connect_timeout_s)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._ssl_context is not None:
                return self._ssl_context.wrap_socket(sock, server_hostname=parsed.host)
        except BaseException:
            sock.close()
            raise
        return sock

    def _count_closed(self, worker_id: str) -> None:
        remaining = self._open_by_worker[worker_id] - 1
        if remaining > 0:
            self._open_by_worker[worker_id] = remaining
        else:
            del self._open_by_worker[worker_id]

    def _ensure_capacity(self, worker_id: str) -> bool:
        if self._open_by_worker.get(worker_id, 0) < self._max_connections_to_worker:
            return True
        for idle in self._idle_by_address.values():
            if idle and idle[0].worker_id == worker_id:
                self.discard(idle.popleft())
                return True
        return False
