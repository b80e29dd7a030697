"""Leader election: watches the owner, and takes over when it has left, failed or lost the store."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from gevent import spawn

from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import ConnectionRefused
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.predecessor import describe_predecessor
from laburnumswitch.process.leadership.predecessor import earlier_commands_until_s
from laburnumswitch.process.leadership.predecessor import note_read
from laburnumswitch.process.leadership.predecessor import Predecessor
from laburnumswitch.process.leadership.predecessor import TermSighting
from laburnumswitch.process.leadership.succession import decode_succession
from laburnumswitch.process.leadership.succession import may_have_granted
from laburnumswitch.process.leadership.succession import succeed
from laburnumswitch.process.leadership.succession import Succession
from laburnumswitch.process.leadership.succession import SUCCESSION_KEY
from laburnumswitch.process.leadership.term import NO_OWNER
from laburnumswitch.process.leadership.term import PredecessorState
from laburnumswitch.process.leadership.term import read_term
from laburnumswitch.process.leadership.term import TAKEOVER_WAIT_S
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.leadership.term import TERM_KEY
from laburnumswitch.process.leadership.term import VersionedTerm
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.process.rows.reach import Reach
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Condition
from laburnumswitch.process.rows.table import FeedTable
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction

# How long the owner holds a watch request open, in seconds. Short enough that what it reports is
# less than two seconds old.
WATCH_WAIT_S = 1.0
# Time beyond that wait, in seconds, after which a watch request counts as unanswered.
WATCH_SLACK_S = 0.5
# How long the term's row must stay unchanged, in seconds, before another entry takes over from an
# owner that does not answer: three times the interval at which an owner rewrites the row.
SILENT_TAKEOVER_WAIT_S = 1.5
# An owner that has not committed for longer than this, in seconds, is replaced by an entry that
# reaches the store.
MAX_STORE_SILENCE_S = 1.5
# An entry whose read of the term takes longer than this, in seconds, takes over only once the term
# has been unchanged for the longer time below. A read usually takes a tenth of it.
SLOW_READ_S = 0.1
SLOW_STORE_TAKEOVER_WAIT_S = 3.0
# Delay between the attempts of successive candidates, in seconds, so that they do not compete.
RANK_DELAY_S = 0.25
# Candidates of a higher rank wait no longer than this one.
MAX_RANK = 8
# An entry without a rank, as at the first start, waits this long divided by the square of its
# number of cores: the delay of one core, in seconds. Larger entries go first, also those with ranks
# behind entries that have left, as a small one is slow to load the jobs and hands over afterwards.
FIRST_START_DELAY_CORE_S = 0.25
# It waits no longer than this, in seconds: all entries may be small.
MAX_FIRST_START_DELAY_S = 1.25
# A number of pending jobs that was reported longer ago than this, in seconds, is not given to
# callers. An owner reports it about every ``WATCH_WAIT_S``.
PENDING_MAX_AGE_S = 2.0
# The organisations that an owner reported as busy longer ago than this, in seconds, count as not
# busy: then no owner is asked about their jobs.
BUSY_MAX_AGE_S = 2.0
# Interval in seconds at which to look whether an owner that has stepped down has released its term.
RELEASE_POLL_S = 0.15
# Pause in seconds before a failed call is repeated.
RETRY_S = 0.2
# Interval, in seconds, at which an entry that reaches neither the store nor the owner asks others.
ASK_INTERVAL_S = 0.15
# An owner hands over to a watcher with more than this many times the owner's cores.
HAND_OVER_CPU_RATIO = 1.5
# It does so only once it has been the owner for this long, in seconds.
HAND_OVER_AFTER_S = 3.0
# Maximum number of watchers whose addresses an owner tells the others.
MAX_PEER_ADDRESSES = 8
# An entry that has not sent a watch request for this long, in seconds, is no candidate any more.
WATCHER_EXPIRY_S = 4.0


class Watcher(NamedTuple):
    """An entry that watches this owner, and when it last did.

    :ivar address: where other entries reach it, empty if it is of an earlier version.
    """

    cpu_cores: float
    seen_s: float
    address: str = ""


class EntryIdentity(NamedTuple):
    """Identity of this entry's process.

    :ivar incarnation: identifies one start of the process.
    """

    vm_id: str
    incarnation: str
    address: str
    cpu_cores: float


class OwnerClient(Protocol):
    """Client for the calls to the owner that ``Leadership`` makes."""

    def watch(
        self, address: str, identity: EntryIdentity, wait_s: float, timeout_s: float
    ) -> WatchAnswer | Failure:
        """Return the owner's state once it steps down, or after ``wait_s``."""

    def supersede(self, address: str, term: Term) -> bool | Failure:
        """Announce a later term to an earlier owner.

        The earlier owner answers once it sends no more commands to workers.
        """


class LeadershipContext(NamedTuple):
    """Dependencies of ``Leadership``; clocks are in seconds.

    :ivar start_dispatcher: starts dispatching, given the new term, when its commit was sent (on
        the boot clock), and what is known about the earlier owner.
    :ivar boot_clock: like ``clock``, but includes the time for which the VM was suspended.
    """

    identity: EntryIdentity
    table: FeedTable
    owner_client: OwnerClient
    start_dispatcher: Callable[[VersionedTerm, float, Predecessor], Dispatcher]
    log: DecisionLog
    clock: Callable[[], float]
    boot_clock: Callable[[], float]
    sleep: Callable[[float], None]
    is_stopped: Callable[[], bool]


class Leadership:
    """Leader election of one entry, and what the entry knows about the current owner.

    :ivar dispatcher: set while this entry is the owner.
    :ivar current_term: the term as last read or acquired.
    :ivar pending_by_queue: pending jobs by queue, as an owner last reported them.
    :ivar owner_reach: whether the owner answers watches, if it is another entry.
    """

    def __init__(self, context: LeadershipContext) -> None:
        self.dispatcher: Dispatcher | None = None
        self.current_term = Term()
        self.pending_by_queue: dict[str, int] = {}
        self.watcher_by_vm: dict[str, Watcher] = {}
        self.takeovers = 0
        self._attempts = 0
        self.owner_reach = Reach(context.clock)
        self._context = context
        # The last own epoch that has ended, and the last one that another entry told to be later.
        self._ended_epoch = 0
        self._superseding_epoch = 0
        self._sighting: TermSighting | None = None
        # When an owner was last known to act, on the monotonic clock.
        self._owner_acted_s: float | None = None
        self._candidates: tuple[str, ...] = ()
        # Where to ask other entries while neither the store nor the owner can be reached.
        self._peer_addresses: tuple[str, ...] = ()
        self._asked_peers = 0
        self._is_seeking_owner = False
        self._pending_reported_s = float("-inf")
        self._busy_organisations: frozenset[str] = frozenset()
        self._is_memory_full = False
        self._busy_reported_s = float("-inf")

    def run(self) -> None:
        """Follow the owner, or act as the owner, until the process stops."""
        context = self._context
        while not context.is_stopped():
            if self.dispatcher is not None:
                self._run_as_owner()
                continue
            observed = self._read_term()
            if isinstance(observed, Failure):
                self._watch_without_store()
                continue
            self.current_term = observed.term
            if observed.term.owner == NO_OWNER:
                self._take_over_after_delay(observed, "released", PredecessorState.ENDED)
            elif observed.term.owner == context.identity.vm_id:
                self._take_over(observed, "restarted", PredecessorState.ENDED)
            else:
                self._follow(observed)

    def _read_term(self) -> VersionedTerm | Failure:
        observed = read_term(self._context.table)
        if not isinstance(observed, Failure):
            self._is_seeking_owner = False
            self._sighting = note_read(self._sighting, observed, self._context.clock())
        return observed

    def _unowned_s(self) -> float | None:
        """Return the time since an owner was last known to act, ``None`` if none ever was."""
        if self._owner_acted_s is None:
            return None
        return round(self._context.clock() - self._owner_acted_s, 3)

    def _unchanged_for_s(self) -> float:
        """Return the time since the first read of what the term's row held in the last one."""
        sighting = self._sighting
        return self._context.clock() - sighting.version_read_s if sighting else 0.0

    def release(self) -> None:
        """Step down gracefully, so that another entry takes over at once."""
        dispatcher = self.dispatcher
        if dispatcher is None:
            return
        if dispatcher.is_loaded.is_set() and not dispatcher.is_stopped():
            self.note_pending(dispatcher.pending_by_queue())
        dispatcher.release()
        self._forget_dispatcher(dispatcher)
        self._context.log.note("ownership_released", str(dispatcher.epoch))

    def supersede(self, epoch: int) -> None:
        """End any earlier term of this entry, also one whose commit has not been answered yet."""
        self._superseding_epoch = max(self._superseding_epoch, epoch)
        dispatcher = self.dispatcher
        if dispatcher is not None and dispatcher.epoch < epoch:
            dispatcher.supersede()

    def ended_epoch(self) -> int:
        """Return the last epoch under which this process sends no more commands, 0 if none."""
        dispatcher = self.dispatcher
        if dispatcher is not None and dispatcher.is_stopped():
            return dispatcher.epoch
        return self._ended_epoch

    def note_watcher(self, vm_id: str, cpu_cores: float, address: str = "") -> None:
        """Record that an entry watches this owner."""
        self.watcher_by_vm[vm_id] = Watcher(cpu_cores, self._context.clock(), address)

    def peer_addresses(self) -> tuple[str, ...]:
        """Return where this owner's watchers are reached, the latest first."""
        watchers = sorted(self.watcher_by_vm.values(), key=lambda each: -each.seen_s)
        return tuple(each.address for each in watchers if each.address)[:MAX_PEER_ADDRESSES]

    def note_term(self, term: Term) -> None:
        """Record a later term that another entry told; this entry may not reach the store."""
        if term.epoch > self.current_term.epoch:
            self.current_term = term

    def note_pending(self, pending_by_queue: dict[str, int]) -> None:
        """Record the numbers of pending jobs that an owner reported."""
        self.pending_by_queue = pending_by_queue
        self._pending_reported_s = self._context.boot_clock()

    def knows_pending(self) -> bool:
        """Return whether the last report of pending jobs is recent enough for callers.

        Jobs that are accepted while no owner reports would be missing in an old one.
        """
        return self._context.boot_clock() - self._pending_reported_s <= PENDING_MAX_AGE_S

    def note_busy(self, organisations: tuple[str, ...], is_memory_full: bool = False) -> None:
        """Record the organisations that an owner reported as busy, and whether its memory is."""
        self._busy_organisations = frozenset(organisations)
        self._is_memory_full = is_memory_full
        self._busy_reported_s = self._context.boot_clock()

    def is_busy(self, organisation: str) -> bool:
        """Return whether an owner has recently reported an organisation as busy."""
        age_s = self._context.boot_clock() - self._busy_reported_s
        return age_s <= BUSY_MAX_AGE_S and organisation in self._busy_organisations

    def is_memory_full(self) -> bool:
        """Return whether an owner has recently reported that it has little memory for jobs."""
        age_s = self._context.boot_clock() - self._busy_reported_s
        return age_s <= BUSY_MAX_AGE_S and self._is_memory_full

    def candidates(self) -> tuple[str, ...]:
        """Return the entries that watch this owner, largest first."""
        ranked = [(-cpu_cores, vm_id) for vm_id, cpu_cores in self._cpu_cores_by_watcher().items()]
        return tuple(vm_id for _, vm_id in sorted(ranked))

    def _cpu_cores_by_watcher(self) -> dict[str, float]:
        now_s = self._context.clock()
        return {
            vm_id: watcher.cpu_cores
            for vm_id, watcher in self.watcher_by_vm.items()
            if now_s - watcher.seen_s < WATCHER_EXPIRY_S
        }

    def _run_as_owner(self) -> None:
        dispatcher = self.dispatcher
        began_s = self._context.clock()
        while not dispatcher.is_stopped() and not self._context.is_stopped():
            dispatcher.stopped.wait(RETRY_S)
            if (
                self._context.clock() - began_s > HAND_OVER_AFTER_S
                and self._has_much_larger_watcher()
            ):
                self.release()
                self._candidates = ()
                # Gives the larger watcher time to take over first.
                self._context.sleep(TAKEOVER_WAIT_S)
                return
        if dispatcher.is_stopped() and self.dispatcher is dispatcher:
            dispatcher.stop()
            self._forget_dispatcher(dispatcher)
            # Without this pause, a dispatcher that keeps failing would restart in a tight loop.
            self._context.sleep(RETRY_S)

    def _forget_dispatcher(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = None
        self._ended_epoch = dispatcher.epoch
        self._owner_acted_s = self._context.clock()

    def _has_much_larger_watcher(self) -> bool:
        dispatcher = self.dispatcher
        if dispatcher is None:
            return False
        largest = max(self._cpu_cores_by_watcher().values(), default=0.0)
        return largest > HAND_OVER_CPU_RATIO * self._context.identity.cpu_cores

    def _watch_without_store(self) -> None:
        # The owner may be reachable although this entry cannot reach the store.
        self._begin_to_seek_owner()
        if not self._watch_owner():
            self._context.sleep(RETRY_S)

    def _watch_owner(self) -> bool:
        """Watch the last known owner for a time, and return whether it is the owner."""
        if self.current_term.owner in (NO_OWNER, self._context.identity.vm_id):
            return False
        # The first watch is not held: the owner's confirmation of the configuration has aged during
        # the failed read of the store.
        for wait_s in (0.0, WATCH_WAIT_S):
            answer = self._watch(self.current_term, wait_s)
            if isinstance(answer, Failure) or not answer.is_owner:
                return False
        return True

    def _begin_to_seek_owner(self) -> None:
        if not self._is_seeking_owner:
            self._is_seeking_owner = True
            spawn(self._seek_owner, self.current_term.epoch)

    def _seek_owner(self, epoch: int) -> None:
        """Ask other entries in turn for a later term, until the owner or the store answers.

        Calls to the store, to an owner that is gone and to entries that are cut off as well last
        until their time limits, so none of them is waited for.

        :param epoch: that of the term which this entry knows.
        """
        context = self._context
        context.sleep(ASK_INTERVAL_S)
        while self._is_seeking_owner and self.current_term.epoch == epoch:
            if context.is_stopped():
                return
            spawn(self._ask_next_peer)
            context.sleep(ASK_INTERVAL_S)
        if self._is_seeking_owner:
            self._is_seeking_owner = False
            self._watch(self.current_term, 0.0)

    def _ask_next_peer(self) -> None:
        """Ask another entry, which may know a later term."""
        context = self._context
        own_address = context.identity.address
        known = self._peer_addresses or self.peer_addresses()
        addresses = [address for address in known if address != own_address]
        if not addresses:
            return
        self._asked_peers += 1
        address = addresses[self._asked_peers % len(addresses)]
        answer = context.owner_client.watch(
            address, context.identity, 0.0, WATCH_WAIT_S + WATCH_SLACK_S
        )
        if not isinstance(answer, Failure):
            self.note_term(answer.known_term)

    def _follow(self, observed: VersionedTerm) -> None:
        """Watch the owner until it was replaced or has to be replaced."""
        # The owner may be new: what an earlier one reported is not kept while a watch is held.
        wait_s = 0.0
        while not self._context.is_stopped():
            answer = self._watch(observed.term, wait_s)
            wait_s = WATCH_WAIT_S
            if isinstance(answer, ConnectionRefused):
                self._take_over_if_unchanged(
                    observed, "refused", TAKEOVER_WAIT_S, PredecessorState.REFUSING
                )
                return
            if isinstance(answer, Failure):
                self._take_over_if_unchanged(
                    observed, "silent", SILENT_TAKEOVER_WAIT_S, PredecessorState.SILENT
                )
                return
            if not answer.is_owner or answer.epoch != observed.term.epoch:
                self._handle_lost_term(observed, answer)
                return
            if answer.store_silent_s > MAX_STORE_SILENCE_S:
                self._take_over_if_unchanged(
                    observed, "cut off from the store", TAKEOVER_WAIT_S, PredecessorState.SILENT
                )
                return

    def _handle_lost_term(self, observed: VersionedTerm, answer: WatchAnswer) -> None:
        current = self._read_term()
        if isinstance(current, Failure) or current.term.epoch != observed.term.epoch:
            return
        if current.term.owner == NO_OWNER:
            self._take_over_after_delay(current, "released", PredecessorState.ENDED)
        elif answer.incarnation != observed.term.incarnation:
            # The owner's process was restarted, so the process that held the term has ended.
            self._take_over_after_delay(current, "owner process restarted", PredecessorState.ENDED)
        elif _is_idle(observed.term, answer):
            self._await_start(current)
        else:
            # An owner of an earlier version may not have begun yet, and does not say so.
            has_ended = (answer.ended_epoch or 0) >= observed.term.epoch
            predecessor = PredecessorState.ENDED if has_ended else PredecessorState.SILENT
            self._take_over_if_unchanged(current, "stepped down", TAKEOVER_WAIT_S, predecessor)

    def _await_start(self, observed: VersionedTerm) -> None:
        """Watch an owner that does not act yet, and take over if it does not begin in time.

        It may still wait for the answer to the commit of its term.
        """
        context = self._context
        deadline_s = context.clock() + SILENT_TAKEOVER_WAIT_S
        while context.clock() < deadline_s:
            context.sleep(RETRY_S)
            if context.is_stopped():
                return
            answer = self._watch(observed.term, 0.0)
            if isinstance(answer, Failure) or not _is_idle(observed.term, answer):
                return
        current = self._read_term()
        if not isinstance(current, Failure) and current.version == observed.version:
            self._take_over_after_delay(current, "does not begin", PredecessorState.SILENT)

    def _watch(self, term: Term, wait_s: float) -> WatchAnswer | Failure:
        context = self._context
        # A new owner may be slow to answer, so the time limit is that of a held watch in any case.
        answer = context.owner_client.watch(
            term.address, context.identity, wait_s, WATCH_WAIT_S + WATCH_SLACK_S
        )
        if isinstance(answer, Failure):
            if term.epoch == self.current_term.epoch:
                self.owner_reach.note_failure()
            return answer
        self.owner_reach.note_answer()
        self.note_term(answer.known_term)
        if answer.is_owner:
            self._is_seeking_owner = False
            self._owner_acted_s = context.clock()
            self._candidates = answer.candidates
            self.note_busy(answer.busy_organisations, answer.is_memory_full)
            self._peer_addresses = answer.peer_addresses[:MAX_PEER_ADDRESSES]
            if answer.knows_jobs:
                self.note_pending(answer.pending_by_queue)
        return answer

    def _take_over_if_unchanged(
        self,
        observed: VersionedTerm,
        reason: str,
        unchanged_s: float,
        predecessor: PredecessorState,
    ) -> None:
        """Take over once the term's row has been unchanged for ``unchanged_s``.

        An owner that has stepped down may still store its handover, so that time counts from now.
        """
        context = self._context
        self._begin_to_seek_owner()
        began_s = context.clock()
        before = self._read_term()
        is_slow = context.clock() - began_s > SLOW_READ_S
        if isinstance(before, Failure) or before.term.epoch != observed.term.epoch:
            context.sleep(RETRY_S)
            return
        if is_slow and self._unchanged_for_s() < SLOW_STORE_TAKEOVER_WAIT_S:
            # The store is probably slow for every entry, so a new owner would do no better.
            context.sleep(RETRY_S)
            return
        if predecessor is PredecessorState.ENDED:
            after = self._await_release(before, unchanged_s)
        else:
            after = self._await_change(before, unchanged_s)
        if isinstance(after, Failure):
            return
        if after.term.owner == NO_OWNER:
            self._take_over_after_delay(after, "released", PredecessorState.ENDED)
        elif after.version == before.version:
            self._take_over_after_delay(after, reason, predecessor)

    def _await_change(self, observed: VersionedTerm, unchanged_s: float) -> VersionedTerm | Failure:
        left_s = unchanged_s - self._unchanged_for_s()
        if observed.term.owner == NO_OWNER or left_s <= 0.0:
            return observed
        self._context.sleep(left_s)
        return self._read_term()

    def _await_release(self, observed: VersionedTerm, wait_s: float) -> VersionedTerm | Failure:
        """Return the term as soon as it is released or replaced, at the latest after ``wait_s``."""
        context = self._context
        deadline_s = context.clock() + wait_s
        current: VersionedTerm | Failure = observed
        while not isinstance(current, Failure):
            left_s = deadline_s - context.clock()
            is_released = current.term.owner == NO_OWNER
            if is_released or current.term.epoch != observed.term.epoch or left_s <= 0.0:
                break
            context.sleep(min(left_s, RELEASE_POLL_S))
            current = self._read_term()
        return current

    def _take_over_after_delay(
        self, observed: VersionedTerm, reason: str, predecessor: PredecessorState
    ) -> None:
        context = self._context
        delay_s = self._rank_delay_s(observed.term)
        if delay_s > 0.0:
            context.sleep(delay_s)
            current = self._read_term()
            if isinstance(current, Failure) or current.version != observed.version:
                return
        self._take_over(observed, reason, predecessor)

    def _rank_delay_s(self, term: Term) -> float:
        identity = self._context.identity
        if identity.vm_id in self._candidates:
            others = [vm_id for vm_id in self._candidates if vm_id != term.owner]
            return min(MAX_RANK, others.index(identity.vm_id)) * RANK_DELAY_S
        delay_s = FIRST_START_DELAY_CORE_S / max(identity.cpu_cores, 0.1) ** 2
        return min(MAX_FIRST_START_DELAY_S, delay_s)

    def _take_over(
        self, observed: VersionedTerm, reason: str, predecessor: PredecessorState
    ) -> None:
        context = self._context
        if context.is_stopped():
            return
        identity = context.identity
        epoch = observed.term.epoch + 1
        self._attempts += 1
        succession = self._read_succession(observed.term)
        if isinstance(succession, Failure):
            context.sleep(RETRY_S)
            return
        seen_as = predecessor
        if not may_have_granted(succession, observed.term.epoch):
            predecessor = PredecessorState.ENDED
        # A read that was not of the version to replace tells nothing.
        sighting = note_read(self._sighting, observed, context.clock())
        unconfirmed = _unconfirmed_addresses(
            observed.term,
            predecessor,
            identity.address,
            earlier_may_act=context.clock() < earlier_commands_until_s(sighting),
        )
        term = Term(
            epoch,
            identity.vm_id,
            identity.incarnation,
            identity.address,
            # Tells attempts apart: the lease counts from the one that took effect.
            batch=f"{identity.incarnation}-0-{self._attempts}",
            unconfirmed=unconfirmed,
        )
        # An attempt whose outcome stayed unknown may have counted as ended.
        self._ended_epoch = min(self._ended_epoch, epoch - 1)
        sent_s = context.boot_clock()
        outcome = context.table.commit(
            Transaction(
                (Condition(TERM_KEY, observed.version),),
                (Put(TERM_KEY, term), Put(SUCCESSION_KEY, succession)),
            )
        )
        taken = VersionedTerm(term, outcome.version) if isinstance(outcome, Committed) else None
        if taken is None and not isinstance(outcome, Conflict):
            stored = self._read_term()
            if not isinstance(stored, Failure) and stored.term == term:
                taken = stored
        is_superseded = self._superseding_epoch > epoch
        taken_outcome = "superseded" if is_superseded else "taken"
        context.log.note(
            "takeover",
            str(epoch),
            reason=reason,
            predecessor=observed.term.owner,
            predecessor_is=seen_as,
            unconfirmed=unconfirmed,
            unowned_s=self._unowned_s(),
            outcome=taken_outcome if taken else outcome.tag,
        )
        if taken is None or is_superseded:
            self._ended_epoch = epoch
            context.sleep(RETRY_S)
            return
        if predecessor is PredecessorState.ENDED and unconfirmed:
            predecessor = PredecessorState.UNSETTLED
        self.current_term = term
        self.takeovers += 1
        self.watcher_by_vm.clear()
        described = describe_predecessor(predecessor, sighting)
        self.dispatcher = context.start_dispatcher(taken, sent_s, described)
        self.dispatcher.recorder.unconfirmed = unconfirmed
        if context.boot_clock() - sent_s >= TAKEOVER_WAIT_S:
            # Another entry may have replaced this one meanwhile, since it did not act as the owner.
            self.dispatcher.recorder.require_commit()
        for address in unconfirmed:
            self.dispatcher.spawn(
                self._confirm_end, self.dispatcher, address, described.commands_until_s
            )
        if context.is_stopped():
            # The process was told to stop before it had the term, and found nothing to release.
            self.release()

    def _read_succession(self, predecessor: Term) -> Succession | Failure:
        """Return the succession to store with the next term."""
        rows = self._context.table.read((SUCCESSION_KEY,))
        if isinstance(rows, Failure):
            return rows
        stored = decode_succession(rows[SUCCESSION_KEY])
        if isinstance(stored, RowMalformed):
            self._context.log.note("succession_malformed", stored.key, reason=stored.reason)
            stored = None
        return succeed(stored, predecessor)

    def _confirm_end(self, dispatcher: Dispatcher, address: str, commands_until_s: float) -> None:
        """Repeat ``supersede`` until the earlier owner confirms it or its lease has ended.

        A process that was restarted at the same address confirms it as well. Until then the owner
        names the address in its term, also once it knows all runs: on a worker that starts again
        the earlier owner may start others, of which a later owner does not know.
        """
        context = self._context
        recorder = dispatcher.recorder
        began_s = context.clock()
        attempts = 0
        is_confirmed = False
        while not (is_confirmed or dispatcher.is_stopped() or context.clock() > commands_until_s):
            answer = context.owner_client.supersede(address, recorder.held_term.term)
            attempts += 1
            is_confirmed = answer is True
            if attempts == 1 or is_confirmed:
                context.log.note(
                    "predecessor_confirmed" if is_confirmed else "predecessor_unconfirmed",
                    str(dispatcher.epoch),
                    address=address,
                    attempts=attempts,
                    after_s=round(context.clock() - began_s, 3),
                    reason=answer.describe() if isinstance(answer, Failure) else "",
                )
            if not is_confirmed:
                context.sleep(RETRY_S)
        if not dispatcher.is_stopped():
            recorder.unconfirmed = _without(recorder.unconfirmed, address)
            if not recorder.unconfirmed:
                dispatcher.note_predecessor_ended()


def _is_idle(term: Term, answer: WatchAnswer) -> bool:
    """Return whether the process that holds a term has neither begun to act under it nor ended."""
    return (
        not answer.is_owner
        and answer.incarnation == term.incarnation
        and answer.ended_epoch is not None
        and answer.ended_epoch < term.epoch
    )


def _without(addresses: tuple[str, ...], address: str) -> tuple[str, ...]:
    return tuple(each for each in addresses if each != address)


def _unconfirmed_addresses(
    term: Term, predecessor: PredecessorState, own_address: str, earlier_may_act: bool
) -> tuple[str, ...]:
    """Return where to ask the earlier owners that may still send commands whether they have ended.

    :param term: the predecessor's term.
    :param own_address: excluded, since this process is the only one there.
    :param earlier_may_act: whether the leases of owners before the predecessor may still hold.
    """
    addresses = set(term.unconfirmed if earlier_may_act else ())
    if predecessor in (PredecessorState.REFUSING, PredecessorState.SILENT):
        addresses.add(term.address)
    return tuple(sorted(addresses - {own_address, ""}))
