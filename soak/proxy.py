"""A loopback proxy that delays, resets, silences or cuts connections in one direction."""

from enum import StrEnum

from gevent import sleep
from gevent import socket
from gevent import spawn
from gevent.server import StreamServer

BLOCK_BYTES = 65_536
DELAY_S = 0.15


class Mode(StrEnum):
    """What the proxy does to the bytes of every connection."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


class Proxy:
    """Forwards connections to ``target``."""

    def __init__(self, target: str) -> None:
        self.mode = Mode.PASS
        self._target = target
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._forward)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to open and new connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for sock in list(self._sockets):
                sock.close()

    def stop(self) -> None:
        """Close the port and every connection."""
        self._server.stop(0)
        self.set_mode(Mode.RESET)

    def _forward(self, near: socket.socket, address: tuple[str, int]) -> None:
        if self.mode is Mode.RESET:
            near.close()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            # The target is down on purpose: the caller sees its connection closed.
            near.close()
            return
        far.settimeout(None)
        self._sockets |= {near, far}
        back = spawn(self._pump, far, near, True)
        self._pump(near, far, False)
        back.join()
        self._sockets -= {near, far}

    def _pump(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                if self.mode is Mode.DELAY:
                    sleep(DELAY_S)
                if self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_answer):
                    continue
                sink.sendall(block)
        except OSError:
            # One end was closed or reset; the other follows.
            pass
        source.close()
        sink.close()
