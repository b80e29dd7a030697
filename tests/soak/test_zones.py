"""Tests of the links between availability zones, with sockets."""

from gevent import sleep
from gevent import socket
from testtools import TestCase
from testtools.matchers import Equals

from soak.entries import EntryConfig
from soak.proxy import Mode
from soak.proxy import Proxy
from soak.zones import ip_of
from soak.zones import ZoneLinks
from standin.server import bound_address
from standin.server import Reply
from standin.server import start_server

TIMEOUT_S = 20.0
CUT_TIMEOUT_S = 0.3


class FakeEntry:
    def __init__(self, address, store_proxy):
        self.config = EntryConfig("front-b-1", "", None, None, "", address, "b")
        self.store_proxy = store_proxy
        self.is_up = True

    def is_running(self):
        return self.is_up


class TestZoneLinks(TestCase):
    def setUp(self):
        super().setUp()
        self.bodies = []

        def answer(call):
            self.bodies.append(call.body)
            return Reply(200, f"owner at {ip_of('b')}:1".encode())

        server = start_server(f"{ip_of('b')}:0", answer)
        self.addCleanup(server.stop, 0)
        self.port = server.server_port
        store_proxy = Proxy(bound_address(server))
        self.addCleanup(store_proxy.stop)
        self.entry = FakeEntry(bound_address(server), store_proxy)
        self.links = ZoneLinks()
        self.addCleanup(self.links.stop)
        self.links.add_entry("b", self.entry)
        self.links.start()

    def _heal(self):
        store_heals, other_heals = self.links.heal("b")
        for heal in store_heals + other_heals:
            heal()

    def _connect(self, zone):
        sock = socket.create_connection((ip_of(zone), self.port), timeout=TIMEOUT_S)
        self.addCleanup(sock.close)
        return sock

    def _send(self, sock, body=b"."):
        sock.sendall(b"POST / HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def _ask(self, sock, body=b"."):
        self._send(sock, body)
        return sock.recv(4096).rpartition(b"\r\n\r\n")[2]

    def test_each_zone_sees_addresses_of_its_own_in_messages(self):
        answer = self._ask(self._connect("a"), f"watch from {ip_of('a')}:2".encode())
        self.assertThat(answer, Equals(f"owner at {ip_of('a')}:1".encode()))
        self.assertThat(self.bodies, Equals([f"watch from {ip_of('b')}:2".encode()]))

    def test_what_is_sent_during_a_silent_cut_arrives_after_it(self):
        sock = self._connect("a")
        self._ask(sock)
        self.links.cut("b", Mode.SILENT)
        sock.settimeout(CUT_TIMEOUT_S)
        self.assertRaises(TimeoutError, self._ask, sock)
        self.assertThat(len(self.bodies), Equals(1))
        self._heal()
        sock.settimeout(TIMEOUT_S)
        self.assertThat(sock.recv(4096)[-5:], Equals(b"1.1:1"))
        self.assertThat(len(self.bodies), Equals(2))

    def test_connection_that_is_given_up_during_a_cut_is_not_made_after_it(self):
        self.links.cut("b", Mode.SILENT)
        sock = self._connect("a")
        self._send(sock)
        sock.close()
        self._heal()
        self._ask(self._connect("a"), b"later")
        sleep(CUT_TIMEOUT_S)
        self.assertThat(self.bodies, Equals([b"later"]))

    def test_refusing_cut_refuses_connections_although_the_process_is_running(self):
        self.links.cut("b", Mode.RESET)
        sleep(CUT_TIMEOUT_S)
        self.assertRaises(ConnectionRefusedError, self._connect, "a")
        self._heal()
        self._ask(self._connect("a"))

    def test_zone_reaches_its_own_processes_during_a_cut_and_zones_that_are_not_cut_off_do(self):
        self.links.cut("a", Mode.SILENT)
        self._ask(self._connect("b"))
        self._ask(self._connect("c"))

    def test_links_are_whole_only_once_each_is_healed(self):
        self.links.cut("b", Mode.SILENT)
        store_heals, other_heals = self.links.heal("b")
        self.assertThat(self.entry.store_proxy.mode, Equals(Mode.SILENT))
        sock = self._connect("a")
        self._send(sock)
        sleep(CUT_TIMEOUT_S)
        self.assertThat(self.bodies, Equals([]))
        for heal in store_heals + other_heals:
            heal()
        self.assertThat(self.entry.store_proxy.mode, Equals(Mode.PASS))
        self.assertThat(sock.recv(4096)[-5:], Equals(b"1.1:1"))

    def test_link_that_is_late_stays_cut_if_its_zone_is_cut_off_again(self):
        self.links.cut("b", Mode.SILENT)
        store_heals, other_heals = self.links.heal("b")
        self.links.cut("b", Mode.SILENT)
        for heal in store_heals + other_heals:
            heal()
        self.assertThat(self.entry.store_proxy.mode, Equals(Mode.SILENT))
        self._send(self._connect("a"))
        sleep(CUT_TIMEOUT_S)
        self.assertThat(self.bodies, Equals([]))

    def test_process_that_has_ended_refuses_connections(self):
        self.entry.is_up = False
        sleep(CUT_TIMEOUT_S)
        self.assertRaises(ConnectionRefusedError, self._connect, "a")
