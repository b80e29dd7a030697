"""Tests of the store as an availability zone sees it."""

from base64 import b64decode
from base64 import b64encode

from msgspec.json import decode
from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Equals

from standin.fleet.address_view import view_addresses
from standin.fleet.api import StoreApi
from standin.fleet.feed_table import FeedMemoryTable
from standin.server import Call


class TestAddressView(TestCase):
    def setUp(self):
        super().setUp()
        self.table = FeedMemoryTable()
        self.handle = view_addresses(StoreApi(self.table).handle, b"127.0.0.1", b"127.0.2.1")

    def _put(self, address, expected=None):
        value = b64encode(encode({"address": address})).decode()
        row = {"table": "leadership", "part": "p", "key": "term", "value": value}
        conditions = [] if expected is None else [{**row, "ver": expected}]
        body = encode({"puts": [row], "expectedRev": conditions})
        return self.handle(Call("POST", "/v1/rows-tx", {}, {}, body))

    def _addresses(self, body):
        return [decode(b64decode(row["value"]))["address"] for row in decode(body)["rows"]]

    def test_addresses_are_stored_as_all_zones_know_them_and_read_as_the_zone_sees_them(self):
        self.assertThat(self._put("127.0.2.1:80").status, Equals(200))
        stored = self.table.peek("leadership/term").value
        self.assertThat(stored, Equals({"address": "127.0.0.1:80"}))
        for path, query in (("/v1/rows-get", {"part": "p"}), ("/v1/rows-feed", {"after": "0"})):
            reply = self.handle(Call("GET", path, {"table": "leadership", **query}, {}, b""))
            self.assertThat(self._addresses(reply.body), Equals(["127.0.2.1:80"]))

    def test_row_in_the_answer_of_a_refused_commit_is_read_as_the_zone_sees_it(self):
        self._put("127.0.2.1:80")
        reply = self._put("127.0.2.1:81", expected=99)
        self.assertThat(reply.status, Equals(412))
        self.assertThat(self._addresses(reply.body), Equals(["127.0.2.1:80"]))

    def test_store_that_is_down_answers_as_it_does(self):
        self.table.down = True
        self.assertThat(self._put("127.0.2.1:80").status, Equals(503))
