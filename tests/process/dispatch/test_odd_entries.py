"""Owners beside entries of the list of workers that another program wrote.

The machines that read such a list ended again and again, or stopped following it.
"""

from base64 import b64encode

from gevent import sleep
from msgspec import Raw
from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.connection.client import Client
from laburnumswitch.platform.discovery import decode_worker
from laburnumswitch.platform.store import StoreClient
from laburnumswitch.platform.workers import HttpWorkerLink
from laburnumswitch.process.dispatch.jobs import JobState
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from standin.fleet.api import StoreApi
from standin.server import bound_address
from standin.server import start_server
from tests.platform.test_decoding import WORKER
from tests.process.dispatch.harness import DispatchHarness
from tests.process.dispatch.harness import make_submission
from tests.process.dispatch.harness import wait_until

ODD = {**WORKER, "service": "shop", "state": "ready", "address": "127.0.0.1:9", "zone": "a"}
DEPTHS = (100, 900, 1_100, 4_096, 20_000)
NUMBERS = (b"1" + b"0" * 30, b"9" * 5_000, b"1e308", b"-1e308", b"1e400", b"9007199254740991")
NUMBER_FIELDS = ("born", "coldRemainingMs", "remainingMs", "seq")
ADDRESSES = (
    "127.0.0.1:70000",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "[::1:80",
    "a..b:80",
    f"{'x' * 70}.example:80",
    "worker.invalid:80",
    "256.1.1.1:80",
)
FAILURES = ("dispatch_failed", "task_failed", "call_failed", "worker_failed")


def odd_values():
    for depth in DEPTHS:
        nested = b"[" * depth + b"]" * depth
        yield nested
        yield encode({**ODD, "labels": Raw(nested)})
        yield encode({**ODD, "address": "127.0.0.1", "unknown": Raw(nested)})
    for number in NUMBERS:
        for name in NUMBER_FIELDS:
            yield encode({**ODD, name: Raw(number)})
        yield encode({**ODD, "capacity": {"cpu": Raw(number), "memMb": Raw(number)}})
        yield encode({**ODD, "state": "draining", "remainingMs": Raw(number)})
        yield number
    for address in ADDRESSES:
        yield encode({**ODD, "address": address})
    yield b"{"
    yield b"\xff\xfe"


class RawStoreApi(StoreApi):
    """A store that answers with the bytes that the writer of a row chose."""

    def _encode_row(self, row):
        encoded = super()._encode_row(row)
        is_raw = isinstance(row.value, dict) and "raw" in row.value
        return {**encoded, "value": row.value["raw"]} if is_raw else encoded


class TestOddEntries(TestCase):
    def test_owner_goes_on_beside_odd_entries_that_come_while_jobs_run(self):
        harness = DispatchHarness()
        server = start_server("127.0.0.1:0", RawStoreApi(harness.table).handle)
        self.addCleanup(server.stop, 0)
        reader = StoreClient(Client(bound_address(server)))

        class ListedOverHttp:
            """The table, with the list of workers read and decoded as from the platform."""

            def __getattr__(self, name):
                return getattr(harness.table, name)

            def load(self, table):
                return (reader if table == "servers" else harness.table).load(table)

            def follow(self, table, after, wait_s):
                followed = reader if table == "servers" else harness.table
                return followed.follow(table, after, wait_s)

        make_context = harness.context

        def make_link(listing):
            return harness.worker_by_id.get(listing.worker_id) or HttpWorkerLink(listing)

        harness.context = lambda: make_context()._replace(
            table=ListedOverHttp(), decode_worker=decode_listed, make_link=make_link
        )
        known = make_context().decode_worker
        known_ids = [[worker_id] for worker_id in harness.worker_by_id]

        def decode_listed(key, value):
            return known(key, value) if is_known(value) else decode_worker(key, value)

        def is_known(value):
            return isinstance(value, list) and value[:1] in known_ids

        owner = harness.start_owner()
        self.addCleanup(owner.stop)
        wait_until(lambda: len(owner.workers_by_id) == 2)
        for number, value in enumerate(odd_values()):
            put = Put(f"servers/odd-{number}", {"raw": b64encode(value).decode()})
            harness.table.commit(Transaction((), (put,)))
            if number % 10 == 0:
                harness.submit(make_submission(f"{number:016x}"), owner)
                sleep(0.1)
        wait_until(
            lambda: all(job.state is JobState.COMPLETED for job in owner.jobs_by_id.values())
        )
        self.assertThat(owner.is_stopped(), Equals(False))
        lines = [decode(line) for line in harness.log.take().splitlines()]
        failures = [line for line in lines if line["event"] in FAILURES]
        self.assertThat(failures, Equals([]))
