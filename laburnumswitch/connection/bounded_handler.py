"""WSGI request handler that reads strictly and keeps a connection within the bounds of its port."""

from collections.abc import Callable
from errno import EPIPE
from http.client import responses
from typing import Any
from urllib.parse import unquote_to_bytes

from gevent import sleep
from gevent import socket
from gevent.pywsgi import WSGIHandler

from laburnumswitch.connection.client_limits import Cause
from laburnumswitch.connection.client_limits import cause_of
from laburnumswitch.connection.client_limits import PortClients
from laburnumswitch.connection.linger import drain_before_close
from laburnumswitch.connection.linger import LINGER_TIMEOUT_S
from laburnumswitch.connection.linger import MAX_LINGER_BYTES
from laburnumswitch.connection.request_head import RequestHead
from laburnumswitch.connection.request_reader import CallerClosed
from laburnumswitch.connection.request_reader import RequestReader
from laburnumswitch.connection.request_reader import STATUS_BAD_REQUEST
from laburnumswitch.connection.request_reader import STATUS_UNAVAILABLE
from laburnumswitch.exceptions import CallerRefused

TOO_MANY = CallerRefused(STATUS_UNAVAILABLE, "too many clients at a time")


class RequestBody:
    """Body of one request (``wsgi.input``), which is received when the application reads it.

    :ivar is_done: whether nothing of it is left on the connection.
    """

    def __init__(self, handler: "BoundedHandler", head: RequestHead) -> None:
        self.is_done = not head.chunked and head.content_length == 0
        self._handler = handler
        self._head = head

    def read(self) -> bytes | CallerRefused:
        """Return the whole body, or why it was refused; the request must then not be run."""
        if self.is_done:
            return b""
        body = self._handler.receive_body(self._head)
        self.is_done = not isinstance(body, CallerRefused)
        return body

    def skip_buffered(self) -> None:
        """Discard a body that nobody has read, if it was received together with the head."""
        if not self.is_done and not self._head.chunked and not self._head.expects_continue:
            self.is_done = self._handler.rfile.skip(self._head.content_length)

    def _discard(self) -> None:
        # Called by gevent after each response. What is left is discarded when the connection is
        # closed, within limits.
        return


class BoundedHandler(WSGIHandler):
    """Reads the requests of one client's connection and answers them through the application.

    The connection is closed after a response that was sent before the request's body was read.
    """

    def __init__(self, sock: socket.socket, address: tuple, server: Any) -> None:
        self._clients: PortClients = server.clients
        reader = RequestReader(sock, take_turn=self._clients.turns.take)
        super().__init__(sock, address, server, rfile=reader)
        self._limits = self._clients.limits()
        # Whether part of a request was received that is not answered yet.
        self._is_receiving = False

    def handle(self) -> None:
        """Serve the connection unless there are too many."""
        if not self._clients.admit(self):
            self._send_at_once(self._encode_refusal(TOO_MANY))
            self.socket.close()
            return
        try:
            super().handle()
        finally:
            self._clients.remove(self)

    def abort(self) -> None:
        """Close the connection in favour of another client."""
        self.rfile.close()
        if self._is_receiving:
            self._send_at_once(self._encode_refusal(TOO_MANY))
        self.socket.close()

    def handle_one_request(self) -> bool | None:
        """Read one request and send its response.

        :return: ``True`` to keep the connection open, ``None`` to close it.
        """
        self._limits = self._clients.limits()
        self._clients.note_waiting(self)
        if not self.rfile.await_first_byte(self._limits.idle_s):
            return None
        self._is_receiving = True
        self._clients.note_waiting(self)
        head = self.rfile.read_head(self._limits, needs_host=False)
        if isinstance(head, CallerClosed):
            return None
        if isinstance(head, CallerRefused):
            return self._refuse(head)
        self._clients.note_busy(self)
        self._is_receiving = False
        try:
            return self._answer(head)
        finally:
            self._clients.budget.release(self)

    def receive_body(self, head: RequestHead) -> bytes | CallerRefused:
        """Receive the body of a request, or return why it was refused."""
        self._clients.note_waiting(self)
        self._is_receiving = True
        body = self.rfile.read_body(head, self._limits, self._hold_body)
        self._is_receiving = False
        self._clients.note_busy(self)
        self._clients.budget.complete(self)
        if isinstance(body, CallerClosed):
            return CallerRefused(STATUS_BAD_REQUEST, "connection closed")
        if isinstance(body, CallerRefused):
            self._clients.refuse(cause_of(body.status))
        return body

    def start_response(self, status: str, headers: list, exc_info: Any = None) -> Callable:
        """Begin the response, which announces the end of the connection if a body is left."""
        self.wsgi_input.skip_buffered()
        if not self.wsgi_input.is_done:
            self.close_connection = True
            if not any(name.lower() == "connection" for name, _ in headers):
                headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def log_request(self) -> None:
        """Log nothing: the application does."""

    def _hold_body(self, size_bytes: int) -> bool:
        return self._clients.hold_body(self, size_bytes)

    def _answer(self, head: RequestHead) -> bool | None:
        self.command = head.method
        self.path = head.target
        self.request_version = f"HTTP/1.{head.minor_version}"
        self.requestline = f"{head.method} {head.target} {self.request_version}"
        self.close_connection = not head.keep_alive
        self.wsgi_input = RequestBody(self, head)
        self.environ = self._make_environ(head)
        self.application = self.server.application
        self.handle_one_response()
        if self.rfile.closed:
            return None
        if not self.wsgi_input.is_done:
            self._drain()
            return None
        if self.close_connection:
            return None
        # A client whose next request is always there would not let others run.
        if self.rfile.buffered_bytes:
            self._clients.turns.take()
        else:
            sleep(0)
        return True

    def _make_environ(self, head: RequestHead) -> dict[str, Any]:
        path, _, query = head.target.partition("?")
        environ = self.server.get_environ()
        environ["REQUEST_METHOD"] = head.method
        environ["PATH_INFO"] = unquote_to_bytes(path).decode("latin-1")
        environ["QUERY_STRING"] = query
        environ["SERVER_PROTOCOL"] = self.request_version
        environ["REMOTE_ADDR"] = str(self.client_address[0])
        for name, values in head.values_by_name.items():
            if "_" not in name:
                environ["HTTP_" + name.replace("-", "_").upper()] = ",".join(values)
        environ["CONTENT_TYPE"] = environ.pop("HTTP_CONTENT_TYPE", "")
        environ["CONTENT_LENGTH"] = environ.pop("HTTP_CONTENT_LENGTH", "")
        environ["wsgi.input"] = self.wsgi_input
        return environ

    def _sendall(self, data: bytes) -> None:
        self._clients.note_waiting(self)
        try:
            self.socket.settimeout(self._limits.send_s)
            self.socket.sendall(data)
        except OSError as error:
            if isinstance(error, TimeoutError):
                self._clients.refuse(Cause.ANSWER_UNREAD)
            self.rfile.close()
            # gevent closes the connection without a trace for this error only.
            raise BrokenPipeError(EPIPE, "response was not received") from error
        self.response_length += len(data)

    def _log_error(self, kind: type, value: BaseException, trace: Any) -> None:
        # A request can cause an error as often as a client likes.
        if self._clients.refuse(Cause.HANDLER_ERROR):
            super()._log_error(kind, value, trace)

    def _refuse(self, refusal: CallerRefused) -> None:
        self._clients.refuse(cause_of(refusal.status))
        try:
            self.socket.settimeout(LINGER_TIMEOUT_S)
            self.socket.sendall(self._encode_refusal(refusal))
        except OSError:
            return
        self._is_receiving = False
        self._drain()

    def _drain(self) -> None:
        self._clients.note_waiting(self)
        try:
            drain_before_close(self.socket, self._limits.body_bytes + MAX_LINGER_BYTES)
        except OSError:
            return

    def _send_at_once(self, data: bytes) -> None:
        if self.server.ssl_enabled:
            return
        try:
            self.socket._sock.send(data)
        except OSError:
            return

    def _encode_refusal(self, refusal: CallerRefused) -> bytes:
        fields = [f"HTTP/1.1 {refusal.status} {responses[refusal.status]}", "Connection: close"]
        if refusal.status == STATUS_UNAVAILABLE:
            fields.append(f"Retry-After: {self._clients.next_retry_after_s()}")
        fields.append("Content-Length: 0\r\n\r\n")
        return "\r\n".join(fields).encode()
