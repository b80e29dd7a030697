"""Tests that the implementation prevents the faults found with the model in ``spec/claim.py``.

Each test replays a sequence of steps that breaks the claim protocol in the model when one of its
guards is removed.
"""

from random import Random
from typing import NamedTuple

from gevent import sleep
from gevent import Timeout
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import ClaimInProgress
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import NotRun
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.request.claim import acquire_claim
from laburnumswitch.request.claim import Claim
from laburnumswitch.request.claim import release_claim
from laburnumswitch.request.claim import SETTLE_TRIES
from standin.table import MemoryTable
from tests.fakes import FaultyTable
from tests.request.fakes import answering
from tests.request.fakes import context_of
from tests.request.fakes import FakeUpstream
from tests.request.fakes import MemoryObjects

RUN_LIMIT_S = 2.0


class _Head(NamedTuple):
    method: str = "POST"
    target: str = "/orders"


class _Request(NamedTuple):
    head: _Head = _Head()
    body: bytes = b"rice"


class ClaimConformance(TestCase):
    def setUp(self):
        super().setUp()
        self.table = MemoryTable()
        self.upstream = FakeUpstream(answering())
        self.addCleanup(self.upstream.close)

    def make_context(self, number, table=None):
        return context_of(
            self.upstream.as_upstream(),
            table=table or self.table,
            objects=MemoryObjects(),
            wall_clock=lambda: 1_000.0,
            vm_id=f"entry-{number}",
            random=Random(number),
        )

    def claim(self, context):
        return acquire_claim(context, "orders", "k1", _Request(), RUN_LIMIT_S)

    def test_claim_fails_while_table_is_down(self):
        self.table.down = True
        self.assertThat(self.claim(self.make_context(1)), IsInstance(NotRun))

    def test_second_attempt_does_not_obtain_the_claim_of_the_first(self):
        self.assertThat(self.claim(self.make_context(1)), IsInstance(Claim))
        self.assertThat(self.claim(self.make_context(2)), IsInstance(ClaimInProgress))

    def test_claim_committed_without_an_answer_is_recognised_as_own(self):
        self.table.lose_answers = 1
        self.assertThat(self.claim(self.make_context(1)), IsInstance(Claim))
        self.assertThat(self.claim(self.make_context(2)), IsInstance(ClaimInProgress))

    def test_late_release_does_not_affect_the_next_claim(self):
        slow = FaultyTable(self.table)
        first = self.make_context(1, slow)
        claim = self.claim(first)
        slow.commits_to_delay = 1
        self.assertIsNone(release_claim(first, claim))
        self.assertThat(self.claim(self.make_context(2)), IsInstance(Claim))
        self.assertThat(self.table.commit(slow.delayed_transactions[0]), IsInstance(Conflict))
        self.assertThat(self.claim(self.make_context(3)), IsInstance(ClaimInProgress))

    def test_claim_committed_after_settling_does_not_block_the_key(self):
        slow = FaultyTable(self.table)
        # The claim and each settling attempt are sent, but none is applied before settling ends.
        slow.commits_to_delay = 1 + SETTLE_TRIES
        self.assertThat(self.claim(self.make_context(1, slow)), IsInstance(NotRun))
        with Timeout(5):
            while not self.table.scan("claim/"):
                sleep(0.01)
        for late in slow.delayed_transactions:
            self.expectThat(self.table.commit(late), IsInstance(Conflict))
        self.assertThat(self.claim(self.make_context(2)), IsInstance(Claim))
        self.assertThat(self.claim(self.make_context(3)), IsInstance(ClaimInProgress))

    def test_claim_committed_after_a_release_does_not_block_the_key(self):
        slow = FaultyTable(self.table)
        slow.commits_to_delay = 1
        first = self.make_context(1, slow)
        claim = self.claim(first)
        self.assertIsNone(release_claim(first, claim))
        self.assertThat(self.table.commit(slow.delayed_transactions[0]), IsInstance(Conflict))
        self.assertThat(self.claim(self.make_context(2)), IsInstance(Claim))

    def test_claim_committed_after_another_entry_released_its_own_does_not_block_the_key(self):
        reads_enabled = Event()
        unreadable = FaultyTable(self.table)
        unreadable.read = lambda keys: (
            self.table.read(keys) if reads_enabled.is_set() else Unavailable("down")
        )
        # Entry 1 commits its claim, but loses the answer and cannot read the row.
        self.table.lose_answers = 1
        self.assertThat(self.claim(self.make_context(1, unreadable)), IsInstance(NotRun))
        slow = FaultyTable(self.table)
        # The commit of entry 2 is delayed, and it finds the claim of entry 1.
        slow.commits_to_delay = 1
        self.assertThat(self.claim(self.make_context(2, slow)), IsInstance(ClaimInProgress))
        # Entry 1 can read again and releases its claim in the background.
        commits = self.table.commits
        reads_enabled.set()
        with Timeout(5):
            while self.table.commits == commits:
                sleep(0.01)
        # The delayed commit of entry 2 arrives only now.
        self.table.commit(slow.delayed_transactions[0])
        self.assertThat(self.claim(self.make_context(3)), IsInstance(Claim))
