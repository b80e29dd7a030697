"""Connections to upstreams, each of which carries one exchange at a time."""

from collections import deque
from collections.abc import Callable
from ssl import SSLContext
from time import monotonic

from gevent import sleep
from gevent import socket

from laburnumswitch.connection.exchange import UpstreamConnection
from laburnumswitch.connection.readable import is_readable
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import ConnectionLimit
from laburnumswitch.upstream import Upstream

IDLE_LIMIT_S = 15.0
REAP_INTERVAL_S = 2.0
CONNECTIONS_PER_WORKER = 64
ENTRIES_SHARING_A_WORKER = 8
WORKER_SHARE = CONNECTIONS_PER_WORKER // ENTRIES_SHARING_A_WORKER


class Pool:
    """Idle connections by address, and a limit on the open ones to each worker."""

    def __init__(
        self,
        clock: Callable[[], float] = monotonic,
        ssl_context: SSLContext | None = None,
        worker_share: int = WORKER_SHARE,
    ) -> None:
        self.opened = 0
        self.reused = 0
        self.retired = 0
        self._clock = clock
        self._ssl_context = ssl_context
        self._worker_share = worker_share
        self._idle_by_address: dict[str, deque[UpstreamConnection]] = {}
        self._open_by_worker: dict[str, int] = {}

    def take(
        self, upstream: Upstream, connect_limit_s: float, idle_limit_s: float = IDLE_LIMIT_S
    ) -> UpstreamConnection | ConnectFailed | ConnectionLimit:
        """Return a connection for one exchange.

        :param idle_limit_s: longest time since the last use of a pooled one; 0 asks for a new one.
        """
        idle = self._idle_by_address.get(upstream.address)
        while idle and idle_limit_s > 0:
            connection = idle.pop()
            if self._clock() - connection.used_s > idle_limit_s:
                # The others of this address have been idle for even longer.
                idle.append(connection)
                break
            # One with something to read was closed by the other end or is out of step.
            if not is_readable(connection.sock):
                self.reused += 1
                return connection
            self.discard(connection)
        return self._open(upstream, connect_limit_s)

    def give_back(self, connection: UpstreamConnection) -> None:
        """Pool a connection whose exchange ended cleanly."""
        connection.used_s = self._clock()
        self._idle_by_address.setdefault(connection.address, deque()).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection that was taken."""
        self._count_closed(connection.worker_id)
        connection.close()

    def retire(self, address: str, unused_since_s: float) -> int:
        """Close the idle connections that were last used at or before an instant of the clock.

        :return: how many were closed.
        """
        idle = self._idle_by_address.get(address)
        count = 0
        while idle and idle[0].used_s <= unused_since_s:
            self.discard(idle.popleft())
            count += 1
        if idle is not None and not idle:
            del self._idle_by_address[address]
        self.retired += count
        return count

    def reap(self) -> None:
        """Close the connections that have been idle for too long."""
        unused_since_s = self._clock() - IDLE_LIMIT_S
        for address in list(self._idle_by_address):
            self.retire(address, unused_since_s)

    def reap_forever(self) -> None:
        """Run ``reap`` again and again, as a task."""
        while True:
            sleep(REAP_INTERVAL_S)
            self.reap()

    def _open(
        self, upstream: Upstream, connect_limit_s: float
    ) -> UpstreamConnection | ConnectFailed | ConnectionLimit:
        worker_id = upstream.worker_id
        if not self._make_room(worker_id):
            return ConnectionLimit(worker_id)
        self._open_by_worker[worker_id] = self._open_by_worker.get(worker_id, 0) + 1
        sock = None
        try:
            sock = self._connect(upstream.address, connect_limit_s)
        except OSError as error:
            return ConnectFailed(upstream.address, type(error).__name__)
        finally:
            if sock is None:
                self._count_closed(worker_id)
        self.opened += 1
        return UpstreamConnection(upstream.address, worker_id, sock, self._clock())

    def _connect(self, address: str, connect_limit_s: float) -> socket.socket:
        host, _, port = address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=connect_limit_s)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._ssl_context is not None:
                return self._ssl_context.wrap_socket(sock, server_hostname=host)
        except BaseException:
            sock.close()
            raise
        return sock

    def _count_closed(self, worker_id: str) -> None:
        left = self._open_by_worker[worker_id] - 1
        if left > 0:
            self._open_by_worker[worker_id] = left
        else:
            del self._open_by_worker[worker_id]

    def _make_room(self, worker_id: str) -> bool:
        if self._open_by_worker.get(worker_id, 0) < self._worker_share:
            return True
        for idle in self._idle_by_address.values():
            if idle and idle[0].worker_id == worker_id:
                self.discard(idle.popleft())
                return True
        return False
