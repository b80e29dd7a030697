"""The load generator retries unanswered requests, with the same key and through another entry."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals

from standin.balancer import Balancer
from standin.balancer import Entry
from standin.caller_connection import CallerAnswer
from standin.load_generator import is_own_answer
from standin.load_generator import LoadGenerator
from standin.load_generator import RequestStream
from standin.records import Asked
from standin.server import AnswerDroppedError
from standin.server import bound_address
from standin.server import Call
from standin.server import Reply
from standin.server import start_server

STREAM = RequestStream("orders.example", "/orders")


class TestLoadGenerator(TestCase):
    def setUp(self):
        super().setUp()
        self.calls: list[Call] = []
        self.records: list[Asked] = []
        self.ready = {"entry-1", "entry-2"}
        self.balancer = Balancer(lambda entry: entry.vm_id in self.ready)
        self.load_generator = LoadGenerator(
            self.records.append, Random(1), balancer=self.balancer, pause=lambda seconds: None
        )

    def serve(self, *replies: Reply | None) -> None:
        left = list(replies)

        def handle(call: Call) -> Reply:
            self.calls.append(call)
            reply = left.pop(0)
            if reply is None:
                raise AnswerDroppedError
            return reply

        entries = []
        for number in (1, 2):
            server = start_server("127.0.0.1:0", handle)
            self.addCleanup(server.stop, timeout=0)
            entries.append(Entry(f"entry-{number}", bound_address(server), ""))
        self.balancer.set_entries(entries)
        self.balancer.poll_once()

    def reply(self, outcome: str, status: int, body: bytes = b"") -> Reply:
        return Reply(status, body, (("Laburnumswitch-Outcome", outcome),))

    def test_order_is_retried_with_its_key_through_another_entry(self):
        answer = self.reply("answered", 201, b'["c-1.2","key-c-1","shop:0.1",""]')
        self.serve(self.reply("not-run", 503), None, answer)
        self.load_generator.send_request(STREAM, "POST")
        keys = {call.headers["idempotency-key"] for call in self.calls}
        self.assertThat(keys, Equals({"key-c-1"}))
        outcomes = [record.outcome for record in self.records]
        self.assertThat(outcomes, Equals(["not-run", "unknown", "answered"]))
        entries = [record.entry for record in self.records]
        self.assertThat(entries[0] != entries[1] != entries[2], Equals(True))
        self.assertThat(self.records[-1].own, Equals(True))

    def test_answer_without_an_outcome_is_unknown(self):
        self.serve(*[Reply(200)] * 6)
        self.load_generator.send_request(STREAM, "GET")
        self.assertThat({record.outcome for record in self.records}, Equals({"unknown"}))

    def test_entry_that_is_not_ready_receives_no_request(self):
        self.ready.remove("entry-2")
        self.serve(*[self.reply("answered", 200)] * 4)
        for _ in range(4):
            self.load_generator.send_request(STREAM, "GET")
        self.assertThat({record.entry for record in self.records}, Equals({"entry-1"}))

    def test_refused_connection_was_not_sent(self):
        self.ready = {"entry-3"}
        self.balancer.set_entries([Entry("entry-3", "127.0.0.1:1", "")])
        self.balancer.poll_once()
        self.load_generator.send_request(STREAM, "GET")
        self.assertThat({record.outcome for record in self.records}, Equals({"not-sent"}))


class TestOwnAnswer(TestCase):
    def test_answer_of_another_request_is_foreign(self):
        body = b'["c-1.0","","shop:0.1",""]'
        self.assertThat(
            is_own_answer(CallerAnswer("answered", 200, body), "c-1.0", ""), Equals(True)
        )
        self.assertThat(
            is_own_answer(CallerAnswer("answered", 200, body), "c-2.0", ""), Equals(False)
        )
        self.assertThat(
            is_own_answer(CallerAnswer("answered", 200, body[:9]), "c-1.0", ""), Equals(False)
        )
