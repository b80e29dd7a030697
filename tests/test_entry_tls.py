"""Two entries and an operator over TLS, configured by settings and command-line options."""

from pathlib import Path
from shutil import rmtree
from ssl import PROTOCOL_TLS_CLIENT
from tempfile import mkdtemp
from unittest.mock import patch

from click.testing import CliRunner
from gevent import sleep
from gevent import Timeout
from gevent.ssl import SSLContext
from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.command import main
from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response
from laburnumswitch.entry import Daemon
from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.process.daemon.settings import CallerTls
from laburnumswitch.process.daemon.settings import Limits
from laburnumswitch.process.daemon.settings import Platform as PlatformAddresses
from laburnumswitch.process.daemon.settings import Settings
from laburnumswitch.process.daemon.settings import Tls
from laburnumswitch.process.peers.link_certificates import LinkCertificates
from laburnumswitch.process.peers.link_certificates import open_link_certificates
from laburnumswitch.process.peers.vm_cache import VmCache
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.peers.vms import VmChanges
from laburnumswitch.process.rows.key_file import open_key_file
from standin.platform import Platform
from standin.server import bound_address
from standin.server import start_server
from standin.table import MemoryTable
from standin.vms import MemoryVmList
from tests.connection.certificates import Authority

WAIT_LIMIT_S = 30.0
POLL_S = 0.05


class SettingsCase(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(mkdtemp())
        self.addCleanup(rmtree, self.folder)
        self.authority = Authority(self.folder)
        self.keys = self.folder / "keys"
        self.keys.write_text("a-key-for-the-tests-only\n", "ascii")

    def make_settings(self, vm_id, host="127.0.0.1", platform="127.0.0.1:9", **fields):
        address = f"{host}:0"
        platform_addresses = PlatformAddresses(platform, platform, platform)
        fields = {"limits": Limits(ready_delay=0.0), **fields}
        return Settings(
            vm_id, "az-1", address, address, platform_addresses, str(self.keys), **fields
        )


class TestEntriesOverTls(SettingsCase):
    def setUp(self):
        super().setUp()
        self.vms = MemoryVmList()
        server = start_server("127.0.0.1:0", Platform(MemoryTable(), self.vms).handle)
        self.addCleanup(server.stop, timeout=0)
        self.platform = bound_address(server)

    def start_daemon(self, vm_id, zone="az-1"):
        files = self.authority.issue(vm_id, zone)
        settings = self.make_settings(
            vm_id,
            platform=self.platform,
            tls=Tls(*files),
            caller_tls=CallerTls(files.certificate, files.key),
        )
        daemon = Daemon(settings, open_key_file(str(self.keys)), open_link_certificates(settings))
        daemon.start()
        self.addCleanup(daemon.stop)
        address = f"127.0.0.1:{daemon.admin_server.server_port}"
        self.vms.put(Vm(vm_id, "entry", address, "az-1", "live"))
        return daemon, address

    def wait_until(self, condition):
        with Timeout(WAIT_LIMIT_S):
            while not condition():
                sleep(POLL_S)

    def status(self, address, *options):
        arguments = ["status", "--entry", address, "--key-file", str(self.keys), "--json", *options]
        return CliRunner().invoke(main, arguments, catch_exceptions=False)

    def test_entries_accept_each_other_and_an_operator_with_a_certificate(self):
        (first, address), (second, _) = self.start_daemon("e1"), self.start_daemon("e2")
        vm_ids = ("e1", "e2")
        self.wait_until(lambda: set(first.membership.live_entries()) == set(vm_ids))
        self.wait_until(lambda: set(second.membership.live_entries()) == set(vm_ids))
        operator_files = self.authority.issue("me")
        files = ("--certificate", operator_files.certificate, "--key", operator_files.key)
        trusted = self.status(address, *files, "--authorities", operator_files.authorities)
        rows = decode(trusted.stdout)["rows"]
        self.assertThat(sorted(row["vm"] for row in rows), Equals(list(vm_ids)))
        without_tls = self.status(address)
        self.assertThat((without_tls.exit_code > 0, without_tls.stdout), Equals((True, "")))
        without_authorities = self.status(address, *files)
        self.assertThat(without_authorities.stderr, Contains("go together"))
        untrusted_files = Authority(self.folder, "other").issue("alien")
        files = ("--certificate", untrusted_files.certificate, "--key", untrusted_files.key)
        refused = self.status(address, *files, "--authorities", operator_files.authorities)
        self.assertThat(refused.stdout + refused.stderr, Contains("PeerNotTrusted"))

    def test_heartbeats_with_a_certificate_of_another_zone_are_rejected(self):
        first, _ = self.start_daemon("e1")
        second, _ = self.start_daemon("e2", zone="az-2")
        self.wait_until(lambda: min(d.peers.heartbeats_missed for d in (first, second)) > 1)
        self.assertThat(tuple(first.membership.live_entries()), Equals(("e1",)))
        self.assertThat(tuple(second.membership.live_entries()), Equals(("e2",)))

    def test_callers_need_no_certificate(self):
        daemon, _ = self.start_daemon("e1")
        context = SSLContext(PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(self.authority.path)
        client = Client(f"127.0.0.1:{daemon.caller_server.server_port}", tls=context)
        self.addCleanup(client.close)
        answer = client.call("GET", "/", timeout_s=10.0)
        self.assertThat(answer, IsInstance(Response))
        self.assertThat(answer.status, Equals(503))


class TestLinks(SettingsCase):
    def logged_fields(self, settings):
        with patch("laburnumswitch.process.peers.link_certificates.logging.warning") as warning:
            self.assertThat(open_link_certificates(settings), IsInstance(LinkCertificates))
        return [call.args[1] for call in warning.call_args_list]

    def test_unencrypted_links_are_warned_of_unless_on_loopback(self):
        files = self.authority.issue("e1")
        tls, caller_tls = Tls(*files), CallerTls(files.certificate, files.key)
        remote_host = "10.0.0.7"
        for settings, fields in (
            (self.make_settings("e1"), []),
            (self.make_settings("e1", "[::1]"), []),
            (self.make_settings("e1", remote_host), ["admin_address", "caller_address"]),
            (self.make_settings("e1", remote_host, tls=tls), ["caller_address"]),
            (self.make_settings("e1", remote_host, tls=tls, caller_tls=caller_tls), []),
        ):
            self.assertThat(self.logged_fields(settings), Equals(fields))

    def test_missing_file_is_reported(self):
        missing = self.authority.issue("e1")._replace(key=str(self.folder / "missing"))
        settings = self.make_settings("e1", tls=Tls(*missing))
        self.assertThat(open_link_certificates(settings), IsInstance(FileUnreadable))

    def test_zone_of_an_address(self):
        roster = VmCache()
        vms = (
            Vm("a", "entry", "10.0.0.1:8300", "az-1", "live"),
            Vm("b", "entry", "10.0.0.2:8300", "az-1", "live"),
            Vm("c", "worker", "10.0.0.2:8400", "az-2", "live"),
        )
        roster.apply(VmChanges(1, vms))
        addresses = ("10.0.0.1:5", "10.0.0.2:8400", "10.0.0.2:5", "10.0.0.3:8300")
        zones = [roster.zone_of(address) for address in addresses]
        self.assertThat(zones, Equals(["az-1", "az-2", None, None]))
