"""Follows the owner, and takes over from one that has left, died or lost the store."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.term import HeldTerm
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import Predecessor
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction

# A watch waits so long, in seconds, at the owner, so that what it tells is under two seconds old.
WATCH_WAIT_S = 1.0
WATCH_SLACK_S = 0.5
# The owner's row must not change for so long, in seconds, before another entry takes over: a little
# more than the interval at which an owner touches it where the owner refuses connections, and
# three times that where it is merely silent.
REFUSED_S = 0.65
SILENT_S = 1.5
# An owner that cannot commit for so long, in seconds, is replaced by one that reaches the store.
STORE_SILENT_S = 1.5
# An entry whose reads take so long, in seconds, does not take over: ten times the usual.
SLOW_READ_S = 0.1
# Candidates try one after the other, this many seconds apart.
RANK_DELAY_S = 0.25
MAX_RANK = 8
# At the first start no ranks are known: an entry with one core waits so long, a larger one less.
FIRST_DELAY_S = 0.15
RETRY_S = 0.2
# An owner hands over to an entry with so many times its processors, once it has watched so long.
LARGER_FACTOR = 1.5
HAND_OVER_AFTER_S = 3.0
WATCHER_EXPIRY_S = 4.0


class Watcher(NamedTuple):
    """An entry that watches this owner."""

    cpu_cores: float
    seen_s: float


class Identity(NamedTuple):
    """This process."""

    vm_id: str
    incarnation: str
    address: str
    cpu_cores: float


class OwnerCalls(Protocol):
    """Calls of the owner that following needs."""

    def watch(
        self, address: str, identity: Identity, wait_s: float, timeout_s: float
    ) -> WatchAnswer | Failure:
        """Wait at the owner until it leaves, or until ``wait_s`` is over."""

    def supersede(self, address: str, epoch: int) -> bool | Failure:
        """Tell an earlier owner of a higher epoch; it answers once it gives no orders any more."""


class LeadershipContext(NamedTuple):
    """What leadership needs of the process; clocks are in seconds."""

    identity: Identity
    table: FeedTable
    calls: OwnerCalls
    begin_dispatch: Callable[[HeldTerm, float, Predecessor], Dispatcher]
    log: DecisionLog
    clock: Callable[[], float]
    boot_clock: Callable[[], float]
    sleep: Callable[[float], None]
    is_stopped: Callable[[], bool]


class Leadership:
    """Who owns the dispatching, as far as it is known here.

    :ivar dispatcher: set while this entry is the owner.
    :ivar pending_by_queue: what the owner told last.
    """

    def __init__(self, context: LeadershipContext) -> None:
        self.dispatcher: Dispatcher | None = None
        self.owner = Term()
        self.pending_by_queue: dict[str, int] = {}
        self.watcher_by_vm: dict[str, Watcher] = {}
        self.takeovers = 0
        self._context = context
        self._candidates: tuple[str, ...] = ()

    def run(self) -> None:
        """Follow or own until the process stops."""
        context = self._context
        while not context.is_stopped():
            if self.dispatcher is not None:
                self._own()
                continue
            held = read_term(context.table)
            if isinstance(held, Failure):
                self._watch_without_store()
                continue
            self.owner = held.term
            if held.term.owner == NO_OWNER:
                self._take_after_rank(held, "released", Predecessor.ENDED)
            elif held.term.owner == context.identity.vm_id:
                self._take(held, "restarted", Predecessor.ENDED)
            else:
                self._follow(held)

    def release(self) -> None:
        """Leave the ownership gracefully, so that another entry takes over at once."""
        dispatcher = self.dispatcher
        if dispatcher is None:
            return
        dispatcher.stop()
        dispatcher.recorder.release()
        self.dispatcher = None
        self._context.log.note("ownership_released", str(dispatcher.epoch))

    def note_watcher(self, vm_id: str, cpu_cores: float) -> None:
        """Remember an entry that watches this owner."""
        self.watcher_by_vm[vm_id] = Watcher(cpu_cores, self._context.clock())

    def candidates(self) -> tuple[str, ...]:
        """Return the entries that watch this owner, the largest first."""
        recent = [(-cpu_cores, vm_id) for vm_id, cpu_cores in self._cores_of_watchers().items()]
        return tuple(vm_id for _, vm_id in sorted(recent))

    def _cores_of_watchers(self) -> dict[str, float]:
        now_s = self._context.clock()
        return {
            vm_id: watcher.cpu_cores
            for vm_id, watcher in self.watcher_by_vm.items()
            if now_s - watcher.seen_s < WATCHER_EXPIRY_S
        }

    def _own(self) -> None:
        dispatcher = self.dispatcher
        began_s = self._context.clock()
        while not dispatcher.is_stopped() and not self._context.is_stopped():
            dispatcher.stopped.wait(RETRY_S)
            if self._context.clock() - began_s > HAND_OVER_AFTER_S and self._is_much_smaller():
                self.release()
                self._candidates = ()
                self._context.sleep(REFUSED_S)
                return
        if dispatcher.is_stopped() and self.dispatcher is dispatcher:
            dispatcher.stop()
            self.dispatcher = None
            # An ownership that ended by an error would otherwise begin anew without a pause.
            self._context.sleep(RETRY_S)

    def _is_much_smaller(self) -> bool:
        dispatcher = self.dispatcher
        if dispatcher is None or not dispatcher.settled:
            return False
        largest = max(self._cores_of_watchers().values(), default=0.0)
        return largest > LARGER_FACTOR * self._context.identity.cpu_cores

    def _watch_without_store(self) -> None:
        # The owner may still be reached while this entry cannot reach the store.
        if self.owner.owner in (NO_OWNER, self._context.identity.vm_id):
            self._context.sleep(RETRY_S)
            return
        answer = self._watch(self.owner)
        if isinstance(answer, Failure) or not answer.is_owner:
            self._context.sleep(RETRY_S)

    def _follow(self, held: HeldTerm) -> None:
        """Watch the owner until it has to be replaced or was."""
        while not self._context.is_stopped():
            answer = self._watch(held.term)
            if isinstance(answer, ConnectFailed):
                self._replace(held, "refused", REFUSED_S, Predecessor.REFUSING)
                return
            if isinstance(answer, Failure):
                self._replace(held, "silent", SILENT_S, Predecessor.SILENT)
                return
            if not answer.is_owner or answer.epoch != held.term.epoch:
                self._after_stepping_down(held, answer)
                return
            if answer.store_silent_s > STORE_SILENT_S:
                self._replace(held, "cut off from the store", REFUSED_S, Predecessor.SILENT)
                return

    def _after_stepping_down(self, held: HeldTerm, answer: WatchAnswer) -> None:
        now = read_term(self._context.table)
        if isinstance(now, Failure) or now.term.epoch != held.term.epoch:
            return
        if now.term.owner == NO_OWNER:
            self._take_after_rank(now, "released", Predecessor.ENDED)
        elif answer.incarnation != held.term.incarnation:
            # The owner's process started again: the one that held the term is gone.
            self._take_after_rank(now, "restarted elsewhere", Predecessor.ENDED)
        else:
            self._replace(now, "stepped down", REFUSED_S, Predecessor.ENDED)

    def _watch(self, term: Term) -> WatchAnswer | Failure:
        context = self._context
        answer = context.calls.watch(
            term.address, context.identity, WATCH_WAIT_S, WATCH_WAIT_S + WATCH_SLACK_S
        )
        if not isinstance(answer, Failure) and answer.is_owner:
            self._candidates = answer.candidates
            self.pending_by_queue = answer.pending_by_queue
        return answer

    def _replace(
        self, held: HeldTerm, reason: str, unchanged_s: float, predecessor: Predecessor
    ) -> None:
        """Take over if the owner's row stays as it is for a time."""
        context = self._context
        began_s = context.clock()
        before = read_term(context.table)
        if context.clock() - began_s > SLOW_READ_S:
            # The store is slow for all: another owner would fare no better.
            context.sleep(RETRY_S)
            return
        if isinstance(before, Failure) or before.term.epoch != held.term.epoch:
            context.sleep(RETRY_S)
            return
        context.sleep(unchanged_s)
        now = read_term(context.table)
        if isinstance(now, Failure):
            return
        if now.term.owner == NO_OWNER:
            self._take_after_rank(now, "released", Predecessor.ENDED)
        elif now.version == before.version:
            self._take_after_rank(now, reason, predecessor)

    def _take_after_rank(self, held: HeldTerm, reason: str, predecessor: Predecessor) -> None:
        context = self._context
        delay_s = self._rank_delay_s(held.term)
        if delay_s > 0.0:
            context.sleep(delay_s)
            now = read_term(context.table)
            if isinstance(now, Failure) or now.version != held.version:
                return
        self._take(held, reason, predecessor)

    def _rank_delay_s(self, term: Term) -> float:
        identity = self._context.identity
        if identity.vm_id in self._candidates:
            others = [vm_id for vm_id in self._candidates if vm_id != term.owner]
            return min(MAX_RANK, others.index(identity.vm_id)) * RANK_DELAY_S
        return FIRST_DELAY_S / max(identity.cpu_cores, 0.1)

    def _take(self, held: HeldTerm, reason: str, predecessor: Predecessor) -> None:
        context = self._context
        if context.is_stopped():
            return
        identity = context.identity
        epoch = held.term.epoch + 1
        term = Term(epoch, identity.vm_id, identity.incarnation, identity.address)
        sent_s = context.boot_clock()
        outcome = context.table.commit(
            Transaction((Condition(TERM_KEY, held.version),), (Put(TERM_KEY, term),))
        )
        taken = HeldTerm(term, outcome.version) if isinstance(outcome, Committed) else None
        if taken is None and not isinstance(outcome, Conflict):
            found = read_term(context.table)
            if not isinstance(found, Failure) and found.term == term:
                taken = found
        context.log.note(
            "takeover",
            str(epoch),
            reason=reason,
            predecessor=held.term.owner,
            predecessor_is=predecessor,
            outcome="taken" if taken else outcome.tag,
        )
        if taken is None:
            context.sleep(RETRY_S)
            return
        if predecessor is Predecessor.SILENT and held.term.address:
            answer = context.calls.supersede(held.term.address, epoch)
            if answer is True:
                predecessor = Predecessor.ENDED
        self.owner = term
        self.takeovers += 1
        self.watcher_by_vm.clear()
        self.dispatcher = context.begin_dispatch(taken, sent_s, predecessor)
        if predecessor is not Predecessor.ENDED and held.term.address:
            self.dispatcher.spawn(self._confirm_end, self.dispatcher, held.term.address)

    def _confirm_end(self, dispatcher: Dispatcher, address: str) -> None:
        """Ask the earlier owner until it confirms that it has ended, or its orders have lapsed.

        A process that was started again at its address confirms it as well.
        """
        while not (dispatcher.is_stopped() or dispatcher.settled):
            if self._context.calls.supersede(address, dispatcher.epoch) is True:
                dispatcher.note_predecessor_ended()
                return
            self._context.sleep(RETRY_S)
