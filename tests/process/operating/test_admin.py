"""Admin port: authentication, limits, and operators' lists gathered from the peers."""

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.operating.admin import AdminContext
from laburnumswitch.process.operating.admin import AdminReply
from laburnumswitch.process.operating.admin import AdminRequest
from laburnumswitch.process.operating.admin import BODY_LIMIT_BYTES
from laburnumswitch.process.operating.admin import make_admin_server
from laburnumswitch.process.operating.admin import reply_json
from laburnumswitch.process.operating.admin import TrafficCounter
from laburnumswitch.process.operating.entry_handlers import make_health_handler
from laburnumswitch.process.operating.operator_handlers import make_operator_handler
from laburnumswitch.process.operating.operator_handlers import OperatorContext
from laburnumswitch.process.peers.heartbeat import Heartbeat

KEY = "Bearer correct-horse-battery"


def decode_heartbeat(request: AdminRequest) -> AdminReply:
    return reply_json(request.decode(Heartbeat))


class AdminCase(TestCase):
    def start_server(self, operator_context: OperatorContext) -> Client:
        handlers = {
            "healthz": make_health_handler(),
            "peer": decode_heartbeat,
            "operator": make_operator_handler(operator_context),
        }
        accepts = KEY.__eq__
        server = make_admin_server("127.0.0.1:0", AdminContext(handlers, accepts, TrafficCounter()))
        server.start()
        self.addCleanup(server.stop)
        client = Client(f"127.0.0.1:{server.server_port}", lambda: {"Authorization": KEY})
        self.addCleanup(client.close)
        return client

    def make_context(self, rows: object, peers: tuple[Client, ...] = ()) -> OperatorContext:
        return OperatorContext(
            {"workers": lambda request: rows},
            {"jobs": lambda request: rows},
            lambda: peers,
            lambda job_id: None,
        )


class TestAccess(AdminCase):
    def test_without_the_key_only_unauthenticated_paths_answer(self):
        client = self.start_server(self.make_context([]))
        client_without_key = Client(client.address)
        self.addCleanup(client_without_key.close)
        statuses = [
            client_without_key.call("GET", path).status for path in ("/healthz", "/operator/jobs")
        ]
        self.assertThat(statuses, Equals([200, 401]))
        self.assertThat(client.call("GET", "/operator/jobs").status, Equals(200))

    def test_invalid_heartbeat_body_is_rejected(self):
        client = self.start_server(self.make_context([]))
        for body in (b"{", b"[1]", b'{"vm_id": 3}'):
            self.assertThat(client.call("POST", "/peer/heartbeat", body).status, Equals(400))

    def test_body_over_the_limit_is_rejected(self):
        client = self.start_server(self.make_context([]))
        body = b" " * (BODY_LIMIT_BYTES + 1)
        self.assertThat(client.call("POST", "/peer/heartbeat", body).status, Equals(413))


class TestLists(AdminCase):
    def test_gathered_list_includes_the_peers_that_answer(self):
        peer = self.start_server(self.make_context([{"worker": "w2"}]))
        unreachable = Client("127.0.0.1:9")
        client = self.start_server(self.make_context([{"worker": "w1"}], (peer, unreachable)))
        answer = decode(client.call("GET", "/operator/workers").body)
        self.assertThat(answer, Equals({"rows": [{"worker": "w1"}, {"worker": "w2"}]}))

    def test_local_list_calls_no_peer(self):
        peer = self.start_server(self.make_context([{"worker": "w2"}]))
        client = self.start_server(self.make_context([{"worker": "w1"}], (peer,)))
        answer = decode(client.call("GET", "/operator/workers?local=1").body)
        self.assertThat(answer, Equals({"rows": [{"worker": "w1"}]}))

    def test_one_job_is_found_by_its_id(self):
        client = self.start_server(self.make_context([{"job_id": "x@1"}, {"job_id": "y@1"}]))
        answer = decode(client.call("GET", "/operator/jobs/y%401").body)
        self.assertThat(answer, Equals({"rows": [{"job_id": "y@1"}]}))
        self.assertThat(client.call("GET", "/operator/jobs/z").status, Equals(404))

    def test_unreadable_list_is_answered_with_503(self):
        client = self.start_server(self.make_context(Unavailable("the table is down")))
        self.assertThat(client.call("GET", "/operator/jobs").status, Equals(503))
