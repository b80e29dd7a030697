"""Entries with real elections and dispatchers over in-memory tables, workers and calls."""

from time import monotonic

from gevent import sleep
from gevent import spawn
from gevent.event import Event
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.dispatch.takeover import begin_dispatch
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.leadership import Leadership
from laburnumswitch.process.leadership.leadership import LeadershipContext
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.peer_api import make_leadership_peer_handler
from laburnumswitch.process.operating.admin import AdminRequest
from tests.process.dispatch.harness import DispatchHarness

CALL_S = 0.005
UNREACHED = Unavailable("cut off")


class EntryTable:
    """The store as one entry reaches it.

    :ivar is_cut: whether it reaches the store.
    :ivar may_read: cleared to hold the entry's reads of single rows.
    :ivar may_follow: cleared to hold its reads of feeds.
    """

    def __init__(self, table):
        self._table = table
        self.is_cut = False
        self.may_read = Event()
        self.may_read.set()
        self.may_follow = Event()
        self.may_follow.set()

    def read(self, keys):
        self.may_read.wait()
        return self._call(self._table.read, keys)

    def load(self, table):
        return self._call(self._table.load, table)

    def follow(self, table, after, wait_s):
        self.may_follow.wait()
        return self._call(self._table.follow, table, after, wait_s)

    def commit(self, transaction):
        return self._call(self._table.commit, transaction)

    def _call(self, call, *arguments):
        if self.is_cut:
            sleep(CALL_S)
            return UNREACHED
        answer = call(*arguments)
        return UNREACHED if self.is_cut else answer


class EntryLink:
    """Link of one entry to a worker, which gets nothing while the entry does not reach it."""

    def __init__(self, entry, worker):
        self._entry = entry
        self._worker = worker

    def renew(self, renewal, timeout_s):
        return self._call(self._worker.renew, renewal, timeout_s)

    def start(self, command, timeout_s):
        sleep(self._entry.start_s)
        return self._call(self._worker.start, command, timeout_s)

    def stop(self, task, run, fence, timeout_s):
        return self._call(self._worker.stop, task, run, fence, timeout_s)

    def throttle(self, task, run, percent, fence, timeout_s):
        return self._call(self._worker.throttle, task, run, percent, fence, timeout_s)

    def close(self):
        """Do nothing, as there are no connections."""

    def _call(self, call, *arguments):
        worker_id = self._worker.listing.worker_id
        unreached = self._entry.unreached_workers
        answer = None if worker_id in unreached else call(*arguments)
        if worker_id in unreached:
            sleep(min(0.1, arguments[-1]))
            return AnswerLost(worker_id, "cut off")
        return answer


class Entry:
    """One entry: its election, its view of the store, and what it does not reach.

    :ivar unreached_workers: ids of workers that get none of its calls.
    :ivar unreached_addresses: of entries that get none of its calls.
    :ivar start_s: how long a start takes to arrive at its worker.
    :ivar is_stopped: whether its process has ended.
    """

    def __init__(self, entries, vm_id, address="", incarnation=""):
        self.vm_id = vm_id
        self.address = address or vm_id
        self.incarnation = incarnation or f"{vm_id}-i"
        self.table = EntryTable(entries.harness.table)
        self.unreached_workers = set()
        self.unreached_addresses = set()
        self.start_s = 0.0
        self.is_stopped = False
        self._entries = entries
        context = entries.harness.context()
        self.leadership = Leadership(
            LeadershipContext(
                EntryIdentity(vm_id, self.incarnation, self.address, 2.0),
                self.table,
                self,
                self._start_dispatcher,
                context.log,
                monotonic,
                monotonic,
                sleep,
                lambda: self.is_stopped,
            )
        )
        self.handle = make_leadership_peer_handler(
            lambda: self.leadership, self.incarnation, context.operations, monotonic
        )

    @property
    def dispatcher(self):
        return self.leadership.dispatcher

    def watch(self, address, identity, wait_s, timeout_s):
        query = {"vm": identity.vm_id, "cores": "2.0", "wait": wait_s, "address": identity.address}
        request = AdminRequest("GET", ("watch",), query, {}, b"")
        answer = self._call(address, request, timeout_s, WatchAnswer)
        if not isinstance(answer, Failure):
            self._entries.note_answer(self, address, answer)
        return answer

    def supersede(self, address, term):
        request = AdminRequest("POST", ("supersede", str(term.epoch)), {}, {}, encode(term))
        sleep(self._entries.supersede_s)
        return self._call(address, request, 0.0, bool)

    def end(self):
        """End the process without notice."""
        self.is_stopped = True
        if self.dispatcher is not None:
            self.dispatcher.stop()

    def _call(self, address, request, timeout_s, answer_type):
        sleep(CALL_S)
        if address not in self.unreached_addresses:
            reply = self._entries.by_address[address].handle(request)
            sleep(CALL_S)
        if address in self.unreached_addresses:
            sleep(timeout_s)
            return AnswerLost(address, "cut off")
        return decode(reply.body, type=answer_type)

    def _start_dispatcher(self, *arguments):
        harness = self._entries.harness
        context = harness.context()._replace(
            table=self.table,
            make_link=lambda listing: EntryLink(self, harness.worker_by_id[listing.worker_id]),
        )
        return begin_dispatch(context, *arguments)


class Entries:
    """Entries that call one another in memory; each worker has room for one wide task.

    :ivar by_address: the process that answers at each address.
    :ivar note_answer: called with the caller, the address and the answer of each answered watch.
    :ivar supersede_s: how long a ``supersede`` takes to arrive.
    """

    def __init__(self):
        self.harness = DispatchHarness()
        self.by_address = {}
        self.note_answer = lambda entry, address, answer: None
        self.supersede_s = 0.0

    def add(self, vm_id, address="", incarnation=""):
        entry = Entry(self, vm_id, address, incarnation)
        self.by_address[entry.address] = entry
        spawn(entry.leadership.run)
        return entry

    def end(self):
        for entry in self.by_address.values():
            entry.end()
