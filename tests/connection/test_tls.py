"""Mutual TLS between entries: who is refused, and that no refused call is served."""

from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from gevent.server import StreamServer
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import StartsWith

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response
from laburnumswitch.connection.server import NoDelayServer
from laburnumswitch.connection.tls import Certificates
from laburnumswitch.connection.tls import CHECK_INTERVAL_S
from laburnumswitch.connection.tls import ClientTls
from laburnumswitch.connection.tls import load_certificates
from laburnumswitch.connection.tls import ServerTls
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.exceptions import PeerNotTrusted
from tests.connection.certificates import Authority
from tests.connection.certificates import DAY


def in_zone(address):
    return "az-1"


class TestMutualTls(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(mkdtemp())
        self.addCleanup(rmtree, self.folder)
        self.authority = Authority(self.folder)
        self.now_s = 0.0
        self.served = []
        self.good = self.authority.issue("good", "az-1")

    def open(self, files):
        certificates = load_certificates(files, lambda: self.now_s)
        self.assertThat(certificates, IsInstance(Certificates))
        return certificates

    def start_server(self, files):
        server = NoDelayServer(
            ("127.0.0.1", 0), self.serve, log=None, ssl_context=ServerTls(self.open(files), in_zone)
        )
        server.start()
        self.addCleanup(server.stop, 0)
        return f"127.0.0.1:{server.server_port}"

    def serve(self, environ, start_response):
        self.served.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def make_client(self, address, files):
        client = Client(address, tls=ClientTls(self.open(files), in_zone))
        self.addCleanup(client.close)
        return client

    def call(self, server_files, client_files):
        client = self.make_client(self.start_server(server_files), client_files)
        return client.call("POST", "/peer", b"x" * 100_000, timeout_s=10.0)

    def assert_refused(self, outcome, reason):
        self.assertThat(outcome, IsInstance(PeerNotTrusted))
        self.assertThat(outcome, IsInstance(ConnectFailed))
        self.assertThat(outcome.reason.lower(), Contains(reason))
        self.assertThat(self.served, Equals([]))

    def test_trusted_pair_reuses_one_connection(self):
        client = self.make_client(self.start_server(self.good), self.authority.issue("b", "az-1"))
        outcomes = [client.call("GET", f"/{number}", timeout_s=10.0) for number in range(3)]
        self.assertThat([outcome.body for outcome in outcomes], Equals([b"ok"] * 3))
        self.assertThat(self.served, Equals(["/0", "/1", "/2"]))

    def test_client_certificate_without_a_zone_is_accepted(self):
        self.assertThat(self.call(self.good, self.authority.issue("b")), IsInstance(Response))

    def test_untrusted_server_is_refused(self):
        other = Authority(self.folder, "other")
        cases = (
            (self.authority.issue("old", "az-1", valid_for=-DAY), "expired"),
            (self.authority.issue("moved", "az-1", address="127.0.0.9"), "ip address mismatch"),
            (self.authority.issue("zone", "az-2"), "for zone az-2 and not az-1"),
            (other.issue("alien", "az-1")._replace(authorities=self.good.authorities), "issuer"),
        )
        for files, reason in cases:
            self.assert_refused(self.call(files, self.good), reason)

    def test_untrusted_client_is_refused(self):
        other = Authority(self.folder, "other")
        cases = (
            (self.authority.issue("old", "az-1", valid_for=-DAY), "certificate_expired"),
            (self.authority.issue("moved", "az-1", address="127.0.0.9"), "not for 127.0.0.1"),
            (self.authority.issue("zone", "az-2"), "for zone az-2 and not az-1"),
            (other.issue("alien", "az-1")._replace(authorities=self.good.authorities), "ca"),
        )
        for files, reason in cases:
            self.assert_refused(self.call(self.good, files), reason)

    def test_plain_client_is_not_served(self):
        outcome = Client(self.start_server(self.good)).call("GET", "/", timeout_s=10.0)
        self.assertThat(outcome, IsInstance(AnswerLost))
        self.assertThat(self.served, Equals([]))

    def test_connection_closed_during_the_handshake_is_not_a_trust_failure(self):
        server = StreamServer(("127.0.0.1", 0), lambda sock, address: sock.recv(1))
        server.start()
        self.addCleanup(server.stop, 0)
        outcome = self.make_client(f"127.0.0.1:{server.server_port}", self.good).call("GET", "/")
        self.assertThat(type(outcome), Equals(ConnectFailed))

    def test_new_authority_applies_to_new_connections_only(self):
        address = self.start_server(self.good)
        early = self.make_client(address, self.authority.issue("early", "az-1"))
        early.call("GET", "/before", timeout_s=10.0)
        sockets = [pooled.sock for pooled in early._idle]

        replaced = Authority(self.folder)
        late_files = replaced.issue("late", "az-1")
        replaced.issue("good", "az-1")
        self.now_s += CHECK_INTERVAL_S
        late = self.make_client(address, late_files)
        self.assertThat(late.call("GET", "/new", timeout_s=10.0), IsInstance(Response))
        self.assertThat(early.call("GET", "/open", timeout_s=10.0), IsInstance(Response))
        self.assertThat([pooled.sock for pooled in early._idle], Equals(sockets))
        self.assertThat(self.served, Equals(["/before", "/new", "/open"]))

    def test_last_good_contexts_stay_in_use_while_files_are_broken(self):
        certificates = self.open(self.good)
        contexts = certificates.contexts()
        key = Path(self.good.key)
        content = key.read_bytes()
        self.authority.issue("stranger")
        key.write_bytes(Path(self.folder, "stranger.key").read_bytes())
        self.now_s += CHECK_INTERVAL_S
        self.assertThat(certificates.contexts(), Equals(contexts))
        self.assertThat(certificates.problem, IsInstance(InvalidValue))
        key.write_bytes(content)
        self.now_s += CHECK_INTERVAL_S
        self.assertThat(certificates.contexts() is contexts, Equals(False))
        self.assertThat(certificates.problem, Equals(None))

    def test_unusable_files_are_reported(self):
        empty = self.folder / "empty.pem"
        empty.write_bytes(b"")
        for files in (
            self.good._replace(authorities=str(empty)),
            self.good._replace(certificate=str(empty)),
            self.good._replace(key=str(self.folder / "missing")),
        ):
            problem = load_certificates(files)
            self.assertThat(problem.describe(), StartsWith(str(self.folder)))
