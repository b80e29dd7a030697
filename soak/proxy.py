"""TCP proxy on loopback that delays, resets or drops traffic, or carries it slowly."""

from collections.abc import Callable
from enum import StrEnum
from math import inf
from select import poll
from select import POLLRDHUP
from time import monotonic

from gevent import sleep
from gevent import socket
from gevent import spawn
from gevent.server import StreamServer

BLOCK_BYTES = 65_536
DELAY_S = 0.15
# First interval at which the end of a connection is sent again while the link is cut; it doubles
# each time, as that of TCP does.
RESEND_S = 0.2
# Interval at which links that keep what is sent look whether they are whole again.
KEPT_RESEND_S = 0.05
# Size of the blocks over a narrow link, which its connections share.
NARROW_BLOCK_BYTES = 8_192


def pass_unchanged(block: bytes, is_answer: bool) -> bytes:
    """Return a block as it was sent."""
    return block


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
    """Forwards connections from ``port``, 0 for any free one, to the address ``target``.

    :ivar answer_bytes_per_s: how much all connections together carry from the target, 0 for no
        limit.
    :ivar keeps_bytes: whether what is sent over a connection while its link is cut arrives once it
        is whole again, as over TCP.
    :ivar translate: applied to each block, with whether it is of an answer.
    """

    def __init__(self, target: str, port: int = 0, host: str = "127.0.0.1") -> None:
        self.mode = Mode.PASS
        self.answer_bytes_per_s = 0
        self.keeps_bytes = False
        self._longest_resend_s = inf
        self.translate: Callable[[bytes, bool], bytes] = pass_unchanged
        self._host = host
        self._link_free_s = 0.0
        self._target = target
        self._sockets: set[socket.socket] = set()
        # Those that have ended, although the other side may not have learned of it.
        self._ended_sockets: set[socket.socket] = set()
        self._is_target_up = True
        self._server: StreamServer | None = self._listen(port)
        self._port = self._server.server_port
        self.address = f"{host}:{self._port}"

    def set_mode(self, mode: Mode) -> None:
        """Set the mode of open and new connections; ``RESET`` closes the open ones."""
        self.mode = mode
        if mode is Mode.RESET:
            for sock in list(self._sockets):
                sock.close()
        self._update_listener()

    def keep_bytes(self) -> None:
        """Let what is sent while the link is cut arrive soon after it is whole again."""
        self.keeps_bytes = True
        self._longest_resend_s = KEPT_RESEND_S

    def set_target_up(self, is_up: bool) -> None:
        """Refuse connections while the target is down, unless its link is cut."""
        self._is_target_up = is_up
        self._update_listener()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self._is_target_up = False
        self.set_mode(Mode.RESET)

    def _listen(self, port: int) -> StreamServer:
        server = StreamServer((self._host, port), self._forward)
        server.start()
        return server

    def _update_listener(self) -> None:
        """Listen or not: a caller behind a cut link must not learn that the target is down."""
        is_listening = self._is_target_up or self._drops(is_answer=True)
        if is_listening and self._server is None:
            self._server = self._listen(self._port)
        elif not is_listening and self._server is not None:
            self._server.stop(0)
            self._server = None

    def _drops(self, is_answer: bool) -> bool:
        return self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_answer)

    def _await_link(self, is_answer: bool) -> None:
        interval_s = min(RESEND_S, self._longest_resend_s)
        while self._drops(is_answer):
            sleep(interval_s)
            interval_s = min(2 * interval_s, self._longest_resend_s)

    def _forward(self, client_socket: socket.socket, address: tuple[str, int]) -> None:
        if self.mode is Mode.RESET:
            client_socket.close()
            return
        if self.keeps_bytes:
            # The connection is made only now, unless its client has given up.
            self._await_link(is_answer=True)
            if _has_hung_up(client_socket):
                client_socket.close()
                return
        host, _, port = self._target.rpartition(":")
        try:
            target_socket = socket.create_connection((host, int(port)), timeout=2.0)
        except OSError:
            # The target may be down on purpose: the client sees its connection closed.
            self._await_link(is_answer=True)
            client_socket.close()
            return
        target_socket.settimeout(None)
        self._sockets |= {client_socket, target_socket}
        answer_greenlet = spawn(self._copy, target_socket, client_socket, True)
        self._copy(client_socket, target_socket, False)
        answer_greenlet.join()
        self._sockets -= {client_socket, target_socket}
        self._ended_sockets -= {client_socket, target_socket}

    def _block_bytes(self, is_answer: bool) -> int:
        return NARROW_BLOCK_BYTES if is_answer and self.answer_bytes_per_s else BLOCK_BYTES

    def _await_turn(self, block_bytes: int) -> None:
        """Wait until the link has carried what came before, and this block."""
        now_s = monotonic()
        transfer_s = block_bytes / self.answer_bytes_per_s
        self._link_free_s = max(self._link_free_s, now_s) + transfer_s
        sleep(self._link_free_s - now_s)

    def _copy(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while block := source.recv(self._block_bytes(is_answer)):
                if self.mode is Mode.DELAY:
                    sleep(DELAY_S)
                if is_answer and self.answer_bytes_per_s:
                    self._await_turn(len(block))
                if self._drops(is_answer):
                    if not self.keeps_bytes:
                        continue
                    self._await_link(is_answer)
                if sink in self._ended_sockets:
                    # A target that is gone resets the connection when something is sent to it.
                    break
                sink.sendall(self.translate(block, is_answer))
        except OSError:
            # One side was closed or reset; the other is closed below.
            pass
        self._ended_sockets.add(source)
        self._await_link(is_answer)
        source.close()
        sink.close()


def _has_hung_up(sock: socket.socket) -> bool:
    poller = poll()
    poller.register(sock, POLLRDHUP)
    return bool(poller.poll(0))
