"""End-to-end tests of two entries in one process, with real sockets to the stand-ins."""

from collections.abc import Callable
from tempfile import TemporaryDirectory

from click.testing import CliRunner
from gevent import sleep
from gevent import spawn
from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import ContainsAll
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.command import main
from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import Response
from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.declaration import Team
from laburnumswitch.entry import Daemon
from laburnumswitch.process.daemon.settings import Limits
from laburnumswitch.process.daemon.settings import Platform as PlatformAddresses
from laburnumswitch.process.daemon.settings import Settings
from laburnumswitch.process.observing.archive_index import read_batch
from laburnumswitch.process.observing.archive_index import read_indexes
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.rows.key_file import open_key_file
from laburnumswitch.process.rows.object_store import ObjectStoreClient
from laburnumswitch.process.rows.table import TableClient
from laburnumswitch.size import Size
from laburnumswitch.version.publish import publish
from laburnumswitch.version.publish import Published
from laburnumswitch.version.publish import read_current
from standin.platform import Platform
from standin.rack import Rack
from standin.rack import RackSettings
from standin.records import RunEnded
from standin.server import bound_address
from standin.server import start_server
from standin.table import MemoryTable
from standin.vms import MemoryVmList

WAIT_LIMIT_S = 60.0
POLL_S = 0.05
HOST = "127.0.0.1"
SMALL = Size(1000, 1000)
DECLARED = Configuration(
    services=(Service("orders", "shop", (HOST,), 2, SMALL, command=("orders",)),),
    jobs=(Job("loading", "shop", ("loading",), SMALL, tasks=3, run_time_s=0.2),),
    teams=(Team("shop", Size(64_000, 64_000)),),
)


class TestEntry(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.keys_path = f"{self.folder.name}/keys"
        with open(self.keys_path, "w", encoding="ascii") as keys:
            keys.write("a-key-for-the-tests-only\n")
        self.records = []
        self.platform = Platform(MemoryTable(), MemoryVmList())
        self.platform_address = self.serve(self.platform.handle)
        # The VM directory is a separate service, so that it survives an outage of the store.
        self.vms = MemoryVmList()
        self.vms_address = self.serve(Platform(MemoryTable(), self.vms).handle)
        self.start_rack()
        self.daemons = [self.start_daemon("entry-1"), self.start_daemon("entry-2")]

    def serve(self, handle: Callable) -> str:
        server = start_server("127.0.0.1:0", handle)
        self.addCleanup(server.stop, timeout=0)
        return bound_address(server)

    def start_rack(self) -> None:
        capacity = Size(8000, 16_000)
        settings = RackSettings(
            "rack-1", "127.0.0.1", "north", 1, 3, capacity, 1, 1.0, self.folder.name
        )
        rack = Rack(settings, self.records.append)
        address = self.serve(rack.handle)
        task = spawn(rack.run)
        self.addCleanup(task.kill)
        for worker_id in rack.worker_by_id:
            vm = Vm(worker_id, "worker", address, "north", "live", "rack-1", capacity)
            self.vms.put(vm)

    def start_daemon(self, vm_id: str) -> Daemon:
        settings = Settings(
            vm_id,
            "north",
            "127.0.0.1:0",
            "127.0.0.1:0",
            PlatformAddresses(self.platform_address, self.platform_address, self.vms_address),
            self.keys_path,
            shard_count=2,
            limits=Limits(ready_delay=0.0),
        )
        daemon = Daemon(settings, open_key_file(self.keys_path))
        daemon.start()
        self.addCleanup(daemon.stop)
        address = f"127.0.0.1:{daemon.admin_server.server_port}"
        self.vms.put(Vm(vm_id, "entry", address, "north", "live"))
        return daemon

    def publish(self) -> None:
        client = Client(self.platform_address)
        table, objects = TableClient(client), ObjectStoreClient(client)
        outcome = publish(table, objects, DECLARED, read_current(table, objects))
        self.assertThat(outcome, IsInstance(Published))

    def wait_until(self, description: str, condition: Callable[[], bool]) -> None:
        waited_s = 0.0
        while not condition():
            sleep(POLL_S)
            waited_s += POLL_S
            self.assertThat((description, waited_s < WAIT_LIMIT_S), Equals((description, True)))

    def place_order(self, daemon: Daemon, key: str) -> Response:
        headers = {"Idempotency-Key": key}
        client = Client(f"127.0.0.1:{daemon.caller_server.server_port}", lambda: headers)
        self.addCleanup(client.close)
        return client.call("POST", "/orders", b"{}", timeout_s=10.0)

    def has_upstreams(self, daemon: Daemon) -> bool:
        return len(daemon.directory.upstreams_of("orders")) == 2

    def test_published_services_and_jobs_run_and_requests_are_answered(self):
        unpublished = self.place_order(self.daemons[0], "key-0")
        self.assertThat(unpublished.status, Equals(503))
        self.publish()
        for daemon in self.daemons:
            self.wait_until("upstreams", lambda daemon=daemon: self.has_upstreams(daemon))
        answers = [self.place_order(daemon, "key-1") for daemon in self.daemons]
        self.assertThat([answer.status for answer in answers], Equals([201, 201]))
        self.assertThat(answers[0].body, Equals(answers[1].body))
        self.assertThat(dict(answers[1].headers)["Idempotency-Replayed"], Equals("true"))
        self.wait_until("finished tasks", lambda: len(self.finished_tasks()) >= 3)
        self.assertThat(len(set(self.finished_tasks())), Equals(len(self.finished_tasks())))
        kinds = self.event_kinds_of_request("key-1")
        self.assertThat(kinds, Equals(["claimed", "outcome", "claim_refused", "outcome"]))
        pages = [daemon.metrics.render("")[0].decode() for daemon in self.daemons]
        for page in pages:
            self.assertThat(page, Contains('_request_seconds_count{service="orders"} 1.0'))
            self.assertThat(page, Contains('_table_calls_total{call="read",outcome="Succeeded"}'))
        commits = 'laburnumswitch_shard_commits_total{outcome="Committed"}'
        self.assertThat(any(commits in page for page in pages), Equals(True))

    def event_kinds_of_request(self, key: str) -> list[str]:
        """Return the event kinds printed by ``timeline --request`` when asking the second entry."""
        entry = f"127.0.0.1:{self.daemons[1].admin_server.server_port}"
        where = ("--platform", self.platform_address, "--entry", entry)
        arguments = ("timeline", *where, "--key-file", self.keys_path, "--request", key, "--json")
        result = CliRunner().invoke(main, arguments, catch_exceptions=False)
        self.assertThat((result.exit_code, result.stderr), Equals((0, "")))
        return [decode(line)["kind"] for line in result.stdout.splitlines()]

    def finished_tasks(self) -> list[str]:
        ends = [record for record in self.records if isinstance(record, RunEnded)]
        return [end.task_id for end in ends if end.kind == "finished"]

    def test_new_entry_serves_from_its_peers_during_a_store_outage(self):
        self.publish()
        self.wait_until("upstreams", lambda: self.has_upstreams(self.daemons[0]))
        self.platform.table.down = True
        new_entry = self.start_daemon("entry-3")
        self.wait_until("peers' upstreams", lambda: self.has_upstreams(new_entry))
        self.wait_until("peers' configuration", lambda: new_entry.readiness.unready_reason() == "")
        reader = Client(f"127.0.0.1:{new_entry.caller_server.server_port}")
        self.addCleanup(reader.close)
        self.assertThat(reader.call("GET", "/orders/1", timeout_s=10.0).status, Equals(200))
        self.assertThat(self.place_order(new_entry, "key-during-outage").status, Equals(503))
        self.platform.table.down = False

    def test_stopping_entry_is_unready_and_releases_its_shards(self):
        self.publish()
        first, second = self.daemons
        self.wait_until("shards", lambda: len(first.shard_hints() + second.shard_hints()) == 2)
        first.leaving.set()
        self.assertThat(first.readiness.unready_reason(), Equals("stopping"))
        first.stop()
        self.assertThat(first.timeline.after(first.timeline.stored_clock), Equals(()))
        self.wait_until("takeover", lambda: len(second.shard_hints()) == 2)
        self.assertThat(first.shard_hints(), Equals(()))
        self.assertThat(
            self.stored_event_kinds("entry-1"), ContainsAll(["drained", "shard_released"])
        )

    def stored_event_kinds(self, process: str) -> list[str]:
        objects = ObjectStoreClient(Client(self.platform_address))
        indexes = read_indexes(self.platform.table)
        return [
            event["kind"]
            for index in indexes
            if index["process"] == process
            for stored in index["objects"]
            for event in read_batch(objects, stored["name"])
        ]
