"""Connections to upstreams, each of which carries one exchange at a time."""

from collections import deque
from collections.abc import Callable
from select import poll
from select import POLLIN
from ssl import SSLContext
from time import monotonic

from gevent import sleep
from gevent import socket

from laburnumswitch.connection.exchange import UpstreamConnection
from laburnumswitch.exceptions import ConnectFailed

IDLE_LIMIT_S = 15.0
REAP_INTERVAL_S = 2.0
CONNECTIONS_PER_WORKER = 64
ENTRIES_SHARING_A_WORKER = 8
CONNECTIONS_PER_HOST = CONNECTIONS_PER_WORKER // ENTRIES_SHARING_A_WORKER


class Pool:
    """Idle connections by address, and a limit on the open ones to each worker's IP number."""

    def __init__(
        self,
        clock: Callable[[], float] = monotonic,
        ssl_context: SSLContext | None = None,
        connections_per_host: int = CONNECTIONS_PER_HOST,
    ) -> None:
        self.opened = 0
        self.reused = 0
        self.retired = 0
        self._clock = clock
        self._ssl_context = ssl_context
        self._connections_per_host = connections_per_host
        self._idle_by_address: dict[str, deque[UpstreamConnection]] = {}
        self._open_by_host: dict[str, int] = {}

    def take(
        self, address: str, connect_limit_s: float, idle_limit_s: float = IDLE_LIMIT_S
    ) -> UpstreamConnection | ConnectFailed:
        """Return a connection for one exchange.

        :param idle_limit_s: longest time since the last use of a pooled one; 0 asks for a new one.
        """
        idle = self._idle_by_address.get(address)
        while idle and idle_limit_s > 0:
            connection = idle.pop()
            if self._clock() - connection.used_s > idle_limit_s:
                # The others of this address have been idle for even longer.
                idle.append(connection)
                break
            if _is_quiet(connection):
                self.reused += 1
                return connection
            self.discard(connection)
        return self._open(address, connect_limit_s)

    def give_back(self, connection: UpstreamConnection) -> None:
        """Pool a connection whose exchange ended cleanly."""
        connection.used_s = self._clock()
        self._idle_by_address.setdefault(connection.address, deque()).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection that was taken."""
        host = _host_of(connection.address)
        left = self._open_by_host.get(host, 0) - 1
        if left > 0:
            self._open_by_host[host] = left
        else:
            self._open_by_host.pop(host, None)
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

    def _open(self, address: str, connect_limit_s: float) -> UpstreamConnection | ConnectFailed:
        host = _host_of(address)
        if not self._make_room(host):
            return ConnectFailed(address, "ConnectionLimit")
        self._open_by_host[host] = self._open_by_host.get(host, 0) + 1
        sock = None
        try:
            port = int(address.rpartition(":")[2])
            sock = socket.create_connection((host, port), timeout=connect_limit_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._ssl_context is not None:
                sock = self._ssl_context.wrap_socket(sock, server_hostname=host)
        except OSError as error:
            self._open_by_host[host] -= 1
            if sock is not None:
                sock.close()
            return ConnectFailed(address, type(error).__name__)
        except BaseException:
            self._open_by_host[host] -= 1
            if sock is not None:
                sock.close()
            raise
        self.opened += 1
        return UpstreamConnection(address, sock, self._clock())

    def _make_room(self, host: str) -> bool:
        if self._open_by_host.get(host, 0) < self._connections_per_host:
            return True
        for address, idle in self._idle_by_address.items():
            if idle and _host_of(address) == host:
                self.discard(idle.popleft())
                return True
        return False


def _host_of(address: str) -> str:
    return address.rpartition(":")[0]


def _is_quiet(connection: UpstreamConnection) -> bool:
    # An idle connection with something to read was closed by the other end or is out of step.
    poller = poll()
    poller.register(connection.sock.fileno(), POLLIN)
    return not poller.poll(0)
