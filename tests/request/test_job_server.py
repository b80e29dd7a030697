"""Callers' requests that are refused before their body is read."""

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client_limits import make_constant_clients
from laburnumswitch.connection.request_reader import CallerLimits
from laburnumswitch.request.job_api import JobReply
from laburnumswitch.request.job_server import InFlightCounter
from laburnumswitch.request.job_server import make_job_server


class TestJobServer(TestCase):
    def setUp(self):
        super().setUp()
        self.answered = []
        limits = CallerLimits(body_bytes=100_000, total_body_bytes=60_000)
        self.clients = make_constant_clients("callers", limits)
        self.server = make_job_server(
            "127.0.0.1:0",
            lambda request: self.answered.append(request) or JobReply(200),
            InFlightCounter(),
            lambda: False,
            "HTTP_X_DEADLINE_MS",
            lambda request: JobReply(404) if request.path == "/elsewhere" else None,
            self.clients,
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def call(self, path, body, headers=None):
        client = Client(f"127.0.0.1:{self.server.server_port}")
        self.addCleanup(client.close)
        return client.call("POST", path, body, 3.0, headers or {})

    def test_body_for_no_queue_takes_no_memory(self):
        held = []
        self.clients.hold_body = lambda *arguments: held.append(arguments) or True
        self.assertThat(self.call("/elsewhere", b"x" * 50_000).status, Equals(404))
        self.assertThat((held, self.answered), Equals(([], [])))

    def test_refused_body_is_not_run(self):
        # 503 promises that the job never runs, and 413 says that it is too large.
        replies = [self.call("/jobs/1", b"x" * size) for size in (50_000, 100_001, 9)]
        self.assertThat([reply.status for reply in replies], Equals([503, 413, 200]))
        self.assertThat(dict(replies[0].headers)["Retry-After"], Equals("1"))
        self.assertThat([request.body for request in self.answered], Equals([b"x" * 9]))

    def test_malformed_timeout_is_ignored(self):
        # Digits that are not decimal, such as a superscript two, raised an error.
        reply = self.call("/jobs/1", b"x", {"X-Deadline-Ms": "\xb2"})
        self.assertThat((reply.status, self.answered[0].timeout_s), Equals((200, 0.0)))
