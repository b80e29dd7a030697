"""TCP proxy on loopback that delays, resets or drops traffic."""

from enum import StrEnum

from gevent import sleep
from gevent import socket
from gevent import spawn
from gevent.server import StreamServer

BLOCK_BYTES = 65_536
DELAY_S = 0.15


class Mode(StrEnum):
    """How the proxy treats the traffic of its connections.

    ``DELAY`` delays every block in both directions, ``RESET`` closes connections, ``SILENT`` drops
    what is sent in both directions, and ``ONE_WAY`` drops only what the target sends back.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


class Proxy:
    """Forwards connections to the address ``target``."""

    def __init__(self, target: str) -> None:
        self.mode = Mode.PASS
        self._target = target
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._forward)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def set_mode(self, mode: Mode) -> None:
        """Set the mode of open and new connections; ``RESET`` closes the open ones."""
        self.mode = mode
        if mode is Mode.RESET:
            for sock in list(self._sockets):
                sock.close()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop(0)
        self.set_mode(Mode.RESET)

    def _forward(self, client_socket: socket.socket, address: tuple[str, int]) -> None:
        if self.mode is Mode.RESET:
            client_socket.close()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_socket = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            # The target may be down on purpose: the client sees its connection closed.
            client_socket.close()
            return
        target_socket.settimeout(None)
        self._sockets |= {client_socket, target_socket}
        answer_greenlet = spawn(self._copy, target_socket, client_socket, True)
        self._copy(client_socket, target_socket, False)
        answer_greenlet.join()
        self._sockets -= {client_socket, target_socket}

    def _copy(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                if self.mode is Mode.DELAY:
                    sleep(DELAY_S)
                if self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_answer):
                    continue
                sink.sendall(block)
        except OSError:
            # One side was closed or reset; the other is closed below.
            pass
        source.close()
        sink.close()
