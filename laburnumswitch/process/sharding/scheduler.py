"""Takes over and releases shards for this entry, and exposes their state to the rest of it."""

from absl import logging
from gevent import Greenlet
from gevent import joinall
from gevent import spawn
from gevent.event import Event

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.admission.admission import Admission
from laburnumswitch.process.ledger.head import decode_head
from laburnumswitch.process.ledger.head import Head
from laburnumswitch.process.ledger.head import head_key
from laburnumswitch.process.ledger.journal import replay_journal
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.ledger.ownership import may_take_over
from laburnumswitch.process.ledger.ownership import observe_head
from laburnumswitch.process.ledger.ownership import ObservedHead
from laburnumswitch.process.ledger.ownership import preferred_entry
from laburnumswitch.process.ledger.ownership import rank_entries
from laburnumswitch.process.ledger.ownership import release_ownership
from laburnumswitch.process.ledger.ownership import take_over
from laburnumswitch.process.ledger.snapshot import load_ledger
from laburnumswitch.process.observing.metric_sources import TaskStats
from laburnumswitch.process.operating.views import JobView
from laburnumswitch.process.operating.views import TaskView
from laburnumswitch.process.operating.views import view_jobs
from laburnumswitch.process.operating.views import view_tasks
from laburnumswitch.process.operating.views import view_workers
from laburnumswitch.process.operating.views import WorkerView
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.placing.class_profile import ClassProfiles
from laburnumswitch.process.placing.interference import Interference
from laburnumswitch.process.placing.policy import DEFAULT_POLICIES
from laburnumswitch.process.placing.policy import PolicySet
from laburnumswitch.process.placing.quota import team_usages
from laburnumswitch.process.placing.usage_history import LearnedModels
from laburnumswitch.process.rows.shared_rows import SharedRows
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.sharding.context import SchedulerContext
from laburnumswitch.process.sharding.shard import CommittedTakeover
from laburnumswitch.process.sharding.shard import find_first_seq
from laburnumswitch.process.sharding.shard import run_shard
from laburnumswitch.process.sharding.shard import Shard
from laburnumswitch.upstream import Upstream

MANAGE_INTERVAL_S = 0.25
OBSERVE_INTERVAL_S = 0.5
ADMIT_INTERVAL_S = 0.5
# How long another entry must be preferred for a shard before this entry releases it.
YIELD_AFTER_S = 5.0
# An entry observes the heads of the shards for which it is among this many preferred entries.
OBSERVED_RANKS = 2
LOAD_ATTEMPTS = 3


class Scheduler:
    """The shards that one entry owns, each run by its own greenlet."""

    def __init__(self, context: SchedulerContext, policies: PolicySet = DEFAULT_POLICIES) -> None:
        self.shared = SharedRows(context.table)
        self.shard_by_number: dict[int, Shard] = {}
        self.admission = Admission(context, self.shared, self._wake_owner)
        self._context = context
        self._policies = policies
        self._learned_models = LearnedModels(Interference(), ClassProfiles())
        self._greenlet_by_shard: dict[int, Greenlet] = {}
        self._observed_by_shard: dict[int, ObservedHead] = {}
        self._not_preferred_since_s: dict[int, float] = {}
        self._stopping_shards: set[int] = set()
        self._draining = False
        self._admission_wake_event = Event()
        self._observe_due_s = float("-inf")

    def run(self) -> None:
        """Manage shards until drained."""
        greenlets = [spawn(self._refresh_forever), spawn(self._admit_forever)]
        while not self._draining:
            self.manage()
            self._context.sleep(MANAGE_INTERVAL_S)
        joinall(greenlets)

    def drain(self, limit_s: float) -> bool:
        """Release all shards, and return whether that finished within ``limit_s`` seconds.

        A batch that is being committed is finished first, so that no outcome stays unknown.
        """
        self._draining = True
        self._stopping_shards.update(self.shard_by_number)
        greenlets = list(self._greenlet_by_shard.values())
        joinall(greenlets, timeout=limit_s)
        return all(task.dead for task in greenlets)

    def manage(self) -> None:
        """Drop lost shards, release those that prefer another entry, and take over free ones."""
        self._drop_ended_shards()
        entries = self._context.live_entries()
        rank_by_shard = {
            shard: self._own_rank(shard, entries) for shard in range(self._context.shard_count)
        }
        self._yield_shards(rank_by_shard)
        now_s = self._context.clock()
        if now_s < self._observe_due_s:
            return
        self._observe_due_s = now_s + OBSERVE_INTERVAL_S
        self._observe_heads(rank_by_shard)
        for shard, rank in rank_by_shard.items():
            if rank == 0 and shard not in self.shard_by_number and not self._draining:
                self._try_take_over(shard)

    def wake_admission(self) -> None:
        """Start an admission pass at once, for example after a configuration was adopted."""
        self._admission_wake_event.set()

    def wake_shard(self, number: int) -> bool:
        """Have an owned shard read its inbox at once, and return whether this entry owns it.

        The request is never forwarded to a peer, so that two entries cannot send it back and forth.
        """
        shard = self.shard_by_number.get(number)
        if shard is None or shard.is_stopped:
            return False
        shard.wake()
        return True

    def hints(self) -> tuple[ShardHint, ...]:
        """Return the hints about the owned shards for peers."""
        return tuple(
            ShardHint(
                shard.shard,
                shard.head.epoch,
                shard.upstream_revision,
                shard.policy.index.total_free(),
                shard.policy.index.largest_free(),
                sum(group.count_pending() for group in shard.ledger.group_by_number.values()),
                team_usages(shard.ledger),
            )
            for shard in self.shard_by_number.values()
            if not shard.is_stopped
        )

    def task_stats(self) -> TaskStats:
        """Return the numbers of tasks in the owned shards, and the longest urgent wait."""
        shards = [shard for shard in self.shard_by_number.values() if not shard.is_stopped]
        groups = [group for shard in shards for group in shard.ledger.group_by_number.values()]
        return TaskStats(
            sum(group.count_pending() for group in groups),
            sum(len(group.running) for group in groups),
            max((shard.policy.longest_urgent_wait_s() for shard in shards), default=0.0),
        )

    def upstreams(self, shard: int) -> tuple[Upstream, ...]:
        """Return the running replicas of an owned shard, empty for any other shard."""
        owned = self.shard_by_number.get(shard)
        return owned.upstreams if owned is not None and not owned.is_stopped else ()

    def job_views(self) -> tuple[JobView, ...] | ReadFailure:
        """Return all admitted jobs, newest first."""
        return view_jobs(self._context.table)

    def worker_views(self) -> tuple[WorkerView, ...]:
        """Return the workers of the owned shards."""
        now_s = self._context.clock()
        views = []
        for shard in self.shard_by_number.values():
            views.extend(view_workers(shard, now_s))
        return tuple(sorted(views))

    def task_views(self, job_id: str) -> tuple[TaskView, ...]:
        """Return the tasks of a job in the owned shards."""
        views = []
        for shard in self.shard_by_number.values():
            views.extend(view_tasks(shard, job_id))
        return tuple(views)

    def _own_rank(self, shard: int, entries: tuple[str, ...]) -> int:
        ranked = rank_entries(f"shard/{shard}", entries)
        vm_id = self._context.vm_id
        return ranked.index(vm_id) if vm_id in ranked else len(ranked)

    def _yield_shards(self, rank_by_shard: dict[int, int]) -> None:
        now_s = self._context.clock()
        for shard in self.shard_by_number:
            if rank_by_shard[shard] == 0:
                self._not_preferred_since_s.pop(shard, None)
                continue
            since_s = self._not_preferred_since_s.setdefault(shard, now_s)
            if now_s - since_s >= YIELD_AFTER_S:
                self._stopping_shards.add(shard)

    def _observe_heads(self, rank_by_shard: dict[int, int]) -> None:
        # The second-ranked entry observes the head too. When the first one disappears, it already
        # knows how long the head has been unchanged, and can take over sooner.
        shards = [
            shard
            for shard, rank in rank_by_shard.items()
            if rank < OBSERVED_RANKS and shard not in self.shard_by_number
        ]
        if not shards:
            return
        rows = self._context.table.read(tuple(head_key(shard) for shard in shards))
        if isinstance(rows, Failure):
            return
        now_s = self._context.clock()
        for shard in shards:
            head = decode_head(rows[head_key(shard)], shard)
            if isinstance(head, Head):
                observed = self._observed_by_shard.get(shard)
                self._observed_by_shard[shard] = observe_head(head, observed, now_s)
            else:
                logging.error("head not decoded shard=%d reason=%s", shard, head.describe())

    def _try_take_over(self, shard: int) -> None:
        observed = self._observed_by_shard.get(shard)
        if observed is None:
            return
        owner = observed.head.owner
        # A head that names this entry was written by an earlier process of it, or by a takeover
        # whose answer was lost.
        owner_is_live = owner != self._context.vm_id and self._context.has_recent_heartbeat(owner)
        if owner == self._context.vm_id or may_take_over(
            observed, owner_is_live, self._context.clock()
        ):
            self._take_over(observed.head)

    def _take_over(self, head: Head) -> None:
        context = self._context
        sent_s = context.clock()
        owned = take_over(context.table, head, context.vm_id)
        if not isinstance(owned, Head):
            self._observed_by_shard.pop(head.shard, None)
            return
        confirmed_s = context.clock()
        ledger = self._load_ledger(owned)
        if isinstance(ledger, Failure):
            logging.error(
                "shard ledger not loaded shard=%d reason=%s", head.shard, ledger.describe()
            )
            release_ownership(context.table, owned)
            return
        first_seq = find_first_seq(context, head.shard)
        takeover = CommittedTakeover(owned, ledger, sent_s, confirmed_s, first_seq)
        shard = Shard(context, self.shared, takeover, self._learned_models, self._policies)
        context.timeline.record("shard_taken_over", str(head.shard), epoch=owned.epoch)
        self.shard_by_number[head.shard] = shard
        self._stopping_shards.discard(head.shard)
        self._greenlet_by_shard[head.shard] = spawn(
            run_shard,
            shard,
            lambda: head.shard in self._stopping_shards,
            context.sleep,
            context.wait,
        )

    def _load_ledger(self, owned: Head) -> Ledger | Failure:
        for _ in range(LOAD_ATTEMPTS):
            ledger = load_ledger(self._context.objects, owned)
            if not isinstance(ledger, Failure):
                ledger = replay_journal(self._context.table, owned, ledger)
            if not isinstance(ledger, Failure):
                return ledger
            self._context.sleep(MANAGE_INTERVAL_S)
        return ledger

    def _drop_ended_shards(self) -> None:
        for number in tuple(self.shard_by_number):
            if self._greenlet_by_shard[number].dead:
                self.shard_by_number[number].workers.close()
                del self.shard_by_number[number]
                del self._greenlet_by_shard[number]
                self._stopping_shards.discard(number)
                self._not_preferred_since_s.pop(number, None)
                self._observed_by_shard.pop(number, None)

    def _refresh_forever(self) -> None:
        while not self._draining:
            self.shared.refresh(self._context.clock())
            self._context.sleep(MANAGE_INTERVAL_S)

    def _wake_owner(self, shard: int) -> None:
        if not self.wake_shard(shard):
            self._context.wake_peer(shard)

    def _run_admission_pass(self) -> None:
        try:
            if self.admission.is_due():
                self.admission.run_pass()
        except Exception:
            # A declaration that triggers a bug must not stop the admission of all others.
            logging.exception("admission pass failed")

    def _admit_forever(self) -> None:
        while not self._draining:
            # Cleared before the pass, so that a wake-up during the pass triggers another one.
            self._admission_wake_event.clear()
            pass_began_s = self._context.wall_clock()
            entries = self._context.live_entries()
            if preferred_entry("admission", entries) == self._context.vm_id:
                self._run_admission_pass()
            pause_s = min(ADMIT_INTERVAL_S, self.admission.seconds_to_next_firing(pass_began_s))
            self._context.wait(self._admission_wake_event, pause_s)
