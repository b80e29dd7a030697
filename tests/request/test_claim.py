"""Requests with an idempotency key, through entries that share a table."""

from random import Random

from gevent import joinall
from gevent import sleep
from gevent import spawn
from gevent import Timeout
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.admission.claim_committer import ClaimCommitter
from laburnumswitch.process.admission.claim_committer import RowChange
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from laburnumswitch.request.claim import claim_row_key
from laburnumswitch.request.claim import SETTLE_TRIES
from laburnumswitch.request.expiry import expire_claims_page
from laburnumswitch.request.expiry import RETENTION_S
from standin.table import MemoryTable
from tests.fakes import FaultyTable
from tests.request.fakes import answering
from tests.request.fakes import call
from tests.request.fakes import context_of
from tests.request.fakes import FakeUpstream
from tests.request.fakes import get
from tests.request.fakes import MemoryObjects
from tests.request.fakes import OK_ANSWER
from tests.request.fakes import post
from tests.request.fakes import served

KEYED_REQUEST = post(b"rice", "Idempotency-Key: k1")


class TestClaim(TestCase):
    def setUp(self):
        super().setUp()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.now_s = [1_000.0]

    def upstream(self, script=None):
        upstream = FakeUpstream(script or answering())
        self.addCleanup(upstream.close)
        return upstream

    def entry(self, upstream, number=1, **fields):
        """Return the port of an entry that shares the table with the others."""
        context = context_of(
            upstream.as_upstream(),
            table=self.table,
            objects=self.objects,
            wall_clock=lambda: self.now_s[0],
            vm_id=f"entry-{number}",
            random=Random(number),
            **fields,
        )
        manager = served(context)
        port = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        return port, context

    def entry_ports(self, upstream):
        return self.entry(upstream, 1)[0], self.entry(upstream, 2)[0]

    def test_repeat_through_another_entry_gets_the_stored_answer(self):
        upstream = self.upstream(answering(OK_ANSWER.replace(b"200 OK", b"201 Made\r\nA: b")))
        first, second = self.entry_ports(upstream)
        call(first, KEYED_REQUEST)
        reply = call(second, KEYED_REQUEST)
        self.assertThat((reply.status, reply.body), Equals((201, b"ok")))
        self.assertThat(reply.outcome, Equals("answered"))
        self.assertThat(reply.headers["idempotency-replayed"], Equals("true"))
        self.assertThat(reply.headers["a"], Equals("b"))
        self.assertThat(upstream.requests, HasLength(1))

    def test_concurrent_requests_with_one_key_through_two_entries_run_once(self):
        may_answer = Event()

        def script(sock, _request, _number):
            may_answer.wait(5)
            sock.sendall(OK_ANSWER)

        upstream = self.upstream(script)
        ports = self.entry_ports(upstream)
        calls = [spawn(call, ports[n % 2], KEYED_REQUEST) for n in range(8)]
        joinall(calls, timeout=0.2)
        may_answer.set()
        replies = [greenlet.get(timeout=5) for greenlet in calls]
        self.assertThat(upstream.requests, HasLength(1))
        self.assertThat(sorted(reply.status for reply in replies), Equals([200] + [409] * 7))
        refused = [reply for reply in replies if reply.status == 409]
        self.assertThat({reply.outcome for reply in refused}, Equals({"unknown"}))
        self.assertThat(refused[0].headers, Contains("retry-after"))

    def test_different_request_with_the_same_key_is_rejected(self):
        upstream = self.upstream()
        first, second = self.entry_ports(upstream)
        call(first, KEYED_REQUEST)
        reply = call(second, post(b"flour", "Idempotency-Key: k1"))
        self.assertThat((reply.status, reply.outcome), Equals((422, "not-run")))
        self.assertThat(upstream.requests, HasLength(1))

    def test_request_with_unknown_outcome_is_not_run_again(self):
        upstream = self.upstream(lambda sock, _request, _number: sock.close())
        first, second = self.entry_ports(upstream)
        for port in (first, second, first):
            reply = call(port, KEYED_REQUEST)
            self.expectThat((reply.status, reply.outcome), Equals((502, "unknown")))
        self.assertThat(upstream.requests, HasLength(1))

    def test_claim_of_a_crashed_entry_becomes_unknown_after_its_deadline(self):
        upstream = self.upstream()
        port, _ = self.entry(upstream)
        call(port, KEYED_REQUEST)
        key = claim_row_key("orders", "k1")
        row = self.table.read((key,))[key].value
        self.table.commit(Transaction((), (Put(key, {**row, "state": "claimed"}),)))
        self.assertThat(call(port, KEYED_REQUEST).status, Equals(409))
        self.now_s[0] += 60.0
        reply = call(port, KEYED_REQUEST)
        self.assertThat((reply.status, reply.outcome), Equals((502, "unknown")))
        self.assertThat(upstream.requests, HasLength(1))

    def test_claim_of_a_request_that_was_not_run_is_released(self):
        gone = self.upstream()
        gone.close()
        port, _ = self.entry(gone)
        self.assertThat(call(port, KEYED_REQUEST).outcome, Equals("not-run"))
        upstream = self.upstream()
        self.assertThat(call(self.entry(upstream, 2)[0], KEYED_REQUEST).status, Equals(200))

    def test_keyed_requests_are_not_run_while_the_store_is_down(self):
        upstream = self.upstream()
        port, _ = self.entry(upstream)
        self.table.down = True
        reply = call(port, KEYED_REQUEST)
        self.assertThat((reply.status, reply.outcome), Equals((503, "not-run")))
        self.assertThat(call(port, get()).status, Equals(200))
        self.assertThat(call(port, post()).status, Equals(200))
        self.table.down = False
        self.assertThat(call(port, KEYED_REQUEST).status, Equals(200))
        self.assertThat(upstream.requests, HasLength(3))

    def test_answer_is_returned_and_recorded_later_if_the_store_fails_during_the_run(self):
        def script(sock, _request, _number):
            self.table.down = True
            sock.sendall(OK_ANSWER)

        upstream = self.upstream(script)
        port, _ = self.entry(upstream)
        self.assertThat(call(port, KEYED_REQUEST).status, Equals(200))
        self.assertThat(call(port, KEYED_REQUEST).outcome, Equals("not-run"))
        self.table.down = False
        while call(port, KEYED_REQUEST).status == 409:
            sleep(0.01)
        self.assertThat(call(port, KEYED_REQUEST).headers, Contains("idempotency-replayed"))
        self.assertThat(upstream.requests, HasLength(1))

    def test_lost_answers_of_the_store_cause_no_second_run(self):
        for lost in (1, 2, 3):
            upstream = self.upstream()
            port, _ = self.entry(upstream, lost)
            self.table.lose_answers = lost
            raw = post(b"rice", f"Idempotency-Key: lost-{lost}")
            self.expectThat(call(port, raw).status, Equals(200))
            self.table.lose_answers = 0
            self.expectThat(call(port, raw).headers, Contains("idempotency-replayed"))
            self.expectThat(upstream.requests, HasLength(1))

    def test_claim_times_out_on_a_hanging_store_and_is_released_later(self):
        upstream = self.upstream()
        port, _ = self.entry(upstream)
        store_resumes = Event()
        commit = self.table.commit
        self.table.commit = lambda transaction: store_resumes.wait(10) and commit(transaction)
        reply = call(port, post(b"rice", "Idempotency-Key: k1", "Request-Timeout: 0.05"))
        self.assertThat((reply.status, reply.outcome), Equals((503, "not-run")))
        store_resumes.set()
        with Timeout(5):
            while self.table.commits < 2:
                sleep(0.01)
        self.assertThat(call(port, KEYED_REQUEST).status, Equals(200))
        self.assertThat(upstream.requests, HasLength(1))

    def fail_reads(self, times):
        read = self.table.read
        remaining = [times]

        def failing(keys):
            remaining[0] -= 1
            return Unavailable("down") if remaining[0] >= 0 else read(keys)

        self.table.read = failing

    def test_unreadable_existing_claim_is_not_reported_as_not_run(self):
        upstream = self.upstream()
        port, _ = self.entry(upstream)
        call(port, KEYED_REQUEST)
        self.fail_reads(SETTLE_TRIES)
        reply = call(port, KEYED_REQUEST)
        self.assertThat((reply.status, reply.outcome), Equals((409, "unknown")))

    def test_claim_that_cannot_be_settled_is_released(self):
        upstream = self.upstream()
        port, _ = self.entry(upstream)
        self.table.lose_answers = 1
        self.fail_reads(SETTLE_TRIES + 1)
        self.assertThat(call(port, KEYED_REQUEST).outcome, Equals("not-run"))
        with Timeout(5):
            while [row.value["state"] for row in self.table.scan("claim/")] != ["released"]:
                sleep(0.01)
        self.assertThat(call(port, KEYED_REQUEST).status, Equals(200))
        self.assertThat(upstream.requests, HasLength(1))

    def test_claim_committed_after_settling_causes_no_second_run(self):
        upstream = self.upstream()
        delaying_table = FaultyTable(self.table)
        delaying_table.commits_to_delay = 1 + SETTLE_TRIES
        _, context = self.entry(upstream)
        with served(context._replace(claims=ClaimCommitter(delaying_table))) as port:
            self.assertThat(call(port, KEYED_REQUEST).outcome, Equals("not-run"))
        with Timeout(5):
            while not self.table.scan("claim/"):
                sleep(0.01)
        for delayed in delaying_table.delayed_transactions:
            self.table.commit(delayed)
        second, third = self.entry(upstream, 2)[0], self.entry(upstream, 3)[0]
        self.assertThat(call(second, KEYED_REQUEST).status, Equals(200))
        self.assertThat(call(third, KEYED_REQUEST).headers, Contains("idempotency-replayed"))
        self.assertThat(upstream.requests, HasLength(1))

    def test_only_claims_past_retention_expire(self):
        upstream = self.upstream()
        port, context = self.entry(upstream)
        call(port, KEYED_REQUEST)
        self.assertThat(expire_claims_page(context, ""), Equals(""))
        self.now_s[0] += RETENTION_S
        recent_request = post(b"rice", "Idempotency-Key: k2")
        call(port, recent_request)
        self.now_s[0] += 60.0
        expire_claims_page(context, "")
        keys = [row.key for row in self.table.scan("claim/")]
        self.assertThat(keys, Equals([claim_row_key("orders", "k2")]))

    def test_released_claim_stays_until_it_expires(self):
        gone = self.upstream()
        gone.close()
        port, context = self.entry(gone)
        self.assertThat(call(port, KEYED_REQUEST).outcome, Equals("not-run"))
        expire_claims_page(context, "")
        states = [row.value["state"] for row in self.table.scan("claim/")]
        self.assertThat(states, Equals(["released"]))
        self.now_s[0] += RETENTION_S + 60.0
        expire_claims_page(context, "")
        self.assertThat(self.table.scan("claim/"), HasLength(0))

    def test_larger_answer_is_kept_as_an_object(self):
        body = bytes(range(256)) * 100
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        upstream = self.upstream(answering(raw))
        first, second = self.entry_ports(upstream)
        call(first, KEYED_REQUEST)
        self.assertThat(call(second, KEYED_REQUEST).body, Equals(body))
        self.assertThat(list(self.objects.by_name)[0], Contains("answer/"))

    def test_conflict_of_one_claim_does_not_fail_the_others_of_its_batch(self):
        self.table.commit(Transaction((), (Put("claim/3", {"n": 0}),)))
        committer = ClaimCommitter(self.table)
        changes = [RowChange(f"claim/{n}", 0, {"n": n}) for n in range(10)]
        greenlets = [spawn(committer.commit, change) for change in changes]
        results = [greenlet.get(timeout=5) for greenlet in greenlets]
        self.assertThat(results.pop(3), IsInstance(Conflict))
        for result in results:
            self.expectThat(result, IsInstance(Committed))
        self.assertThat(committer.transactions <= 2, Equals(True))
