"""Tests of the client of the platform's list of VMs."""

from random import Random
from time import monotonic

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import Throttled
from laburnumswitch.platform.vms import MAX_PAGES
from laburnumswitch.platform.vms import VmListClient
from laburnumswitch.process.dispatch.vm_list import VmRow
from laburnumswitch.process.dispatch.vm_list import VmState
from standin.fleet.api import VmListApi
from standin.fleet.invariant_checker import InvariantChecker
from standin.fleet.worker import FleetWorker
from standin.server import bound_address
from standin.server import json_reply
from standin.server import start_server
from standin.server import throttled_reply
from tests.process.dispatch.harness import make_listing

MACHINE = {"machine": "m1", "pool": "p", "state": "up", "zone": "a", "labels": [], "id": "w1"}


class TestVmListClient(TestCase):
    def _serve(self, handler):
        server = start_server("127.0.0.1:0", handler)
        self.addCleanup(server.stop, 0)
        return VmListClient(bound_address(server))

    def test_all_pages_are_read(self):
        checker = InvariantChecker()
        workers = [
            FleetWorker(make_listing(number), checker, monotonic, Random(1))
            for number in range(1, 6)
        ]
        workers[4].crash()
        api = VmListApi(workers, page_rows=2)
        rows = self._serve(api.handle).list_vms(1.0)
        expected = [VmRow(f"vm-w{number}", VmState.UP, f"w{number}") for number in range(1, 5)]
        self.assertThat(rows, Equals((*expected, VmRow("vm-w5", VmState.DOWN, ""))))
        self.assertThat(api.call_count, Equals(3))

    def test_list_may_be_behind_the_vms(self):
        worker = FleetWorker(make_listing(1), InvariantChecker(), monotonic, Random(1))
        api = VmListApi([worker], delay_s=1.0)
        client = self._serve(api.handle)
        states = []
        for now_s in (10.0, 10.5, 11.0, 11.6):
            api.record(now_s)
            states.append(client.list_vms(1.0)[0].state)
            worker.crash()
        self.assertThat(states, Equals([VmState.UP] * 3 + [VmState.DOWN]))

    def test_states_are_decoded(self):
        for name, state in (
            ("moving", VmState.MOVING),
            ("upkeep", VmState.IN_MAINTENANCE),
            ("down", VmState.DOWN),
            ("not named on the pages", VmState.UNKNOWN),
        ):
            machine = {**MACHINE, "state": name, "id": None}
            client = self._serve(lambda call, each=machine: json_reply({"machines": [each]}))
            self.assertThat(client.list_vms(1.0), Equals((VmRow("m1", state, ""),)))

    def test_failure_of_a_later_page_fails_the_reading(self):
        def answer_first_page(call):
            if "pageToken" in call.query:
                return throttled_reply(2)
            return json_reply({"machines": [MACHINE], "nextToken": "a/b"})

        self.assertThat(self._serve(answer_first_page).list_vms(1.0), Equals(Throttled(2.0)))

    def test_page_token_is_sent_as_received(self):
        tokens = []

        def answer(call):
            tokens.append(call.query.get("pageToken", ""))
            return json_reply({"machines": [MACHINE], "nextToken": "" if tokens[-1] else "a/+&=b"})

        self._serve(answer).list_vms(1.0)
        self.assertThat(tokens, Equals(["", "a/+&=b"]))

    def test_pages_without_end_are_refused(self):
        calls = []

        def answer(call):
            calls.append(call)
            return json_reply({"machines": [], "nextToken": "again"})

        self.assertThat(self._serve(answer).list_vms(1.0), IsInstance(AnswerMalformed))
        self.assertThat(len(calls), Equals(MAX_PAGES))

    def test_malformed_and_refused_answers_are_failures(self):
        malformed = self._serve(lambda call: json_reply({"machines": [{"machine": 1}]}))
        self.assertThat(malformed.list_vms(1.0), IsInstance(AnswerMalformed))
        api = VmListApi([])
        api.is_down = True
        self.assertThat(self._serve(api.handle).list_vms(1.0), IsInstance(Refused))
