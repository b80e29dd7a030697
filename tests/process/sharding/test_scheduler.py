"""Several entries that share the shards, driven by one clock."""

from gevent import sleep as yield_to_others
from gevent import spawn
from gevent.event import Event
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import HasLength

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.process.ledger.head import read_head
from laburnumswitch.process.peers.shard_hint import ShardHint
from laburnumswitch.process.sharding.scheduler import ADMIT_INTERVAL_S
from laburnumswitch.process.sharding.scheduler import Scheduler
from laburnumswitch.process.sharding.shard import CYCLE_INTERVAL_S
from laburnumswitch.process.sharding.shard import INBOX_INTERVAL_S
from laburnumswitch.size import Size
from standin.table import MemoryTable
from tests.fakes import FakeClock
from tests.fakes import FakeObjects
from tests.fakes import FakeWorkers
from tests.fakes import make_context
from tests.fakes import make_vm

SHARDS = 4
INSTANT_S = 1020.0
SMALL = Size(1_000, 1_000)


class EntryCluster:
    """Schedulers whose loops run under one clock; the loops of a killed entry are suspended."""

    def __init__(self, case, count=3, racks=6, configuration=None) -> None:
        self.clock = FakeClock()
        self.table = MemoryTable(clock=self.clock)
        self.objects = FakeObjects()
        self.workers = FakeWorkers(self.clock)
        self.vms = tuple(make_vm(n, "ab"[n % 2], f"rack{n % racks}") for n in range(2 * racks))
        for vm in self.vms:
            self.workers.add(vm)
        self.configuration = configuration or Configuration(1)
        self.wake_peer = lambda shard: None
        self.live = {f"e{n}" for n in range(count)}
        self.scheduler_by_id = {vm_id: self.make(vm_id) for vm_id in sorted(self.live)}
        case.addCleanup(self.stop)

    def make(self, vm_id) -> Scheduler:
        def sleep(seconds: float) -> None:
            wait(Event(), seconds)

        def wait(event: Event, seconds: float) -> None:
            until_s = self.clock() + seconds
            while (
                vm_id not in self.live
                and not self.ended
                or not (event.is_set() or self.clock() >= until_s)
            ):
                yield_to_others(0)

        self.ended = False
        context = make_context(
            self.table,
            self.clock,
            self.workers,
            lambda: self.vms,
            vm_id,
            self.objects,
            live_entries=lambda: tuple(sorted(self.live)),
            has_recent_heartbeat=lambda entry: entry in self.live,
            shard_hints=lambda: self.hints(),
            shard_count=SHARDS,
            configuration=lambda: self.configuration,
            sleep=sleep,
            wait=wait,
            wake_peer=lambda shard: self.wake_peer(shard),
        )
        return Scheduler(context)

    def hints(self) -> dict[int, ShardHint]:
        live = [self.scheduler_by_id[vm_id] for vm_id in self.live]
        return {hint.shard: hint for scheduler in live for hint in scheduler.hints()}

    def upstreams(self, shard):
        live = [self.scheduler_by_id[vm_id] for vm_id in self.live]
        return tuple(item for scheduler in live for item in scheduler.upstreams(shard))

    def admitted(self, name) -> bool:
        return any(row.value["name"] == name for row in self.table.scan("job/"))

    def owners(self) -> dict[int, str]:
        return {
            shard: vm_id
            for vm_id in self.live
            for shard in self.scheduler_by_id[vm_id].shard_by_number
        }

    def drive(self, seconds, step_s=0.25) -> None:
        end_s = self.clock() + seconds
        while self.clock() < end_s:
            self.clock.sleep(step_s)
            self.workers.expire()
            for vm_id in sorted(self.live):
                scheduler = self.scheduler_by_id[vm_id]
                scheduler.shared.refresh(self.clock())
                scheduler.manage()
                if vm_id == min(self.live):
                    scheduler.admission.run_pass()
            for _ in range(6):
                yield_to_others(0)

    def run_due_greenlets(self) -> None:
        """Let the greenlets that are due run, without advancing the clock."""
        for _ in range(40):
            yield_to_others(0)

    def stop(self) -> None:
        self.ended = True
        for scheduler in self.scheduler_by_id.values():
            scheduler._draining = True
            for shard in scheduler.shard_by_number.values():
                shard.is_stopped = True
                shard.workers.close()
        self.clock.sleep(10)
        for _ in range(10):
            yield_to_others(0)


class TestEntries(TestCase):
    def test_shards_are_spread_and_move_when_an_entry_is_killed(self):
        entries = EntryCluster(self)
        entries.drive(2)
        owners = entries.owners()
        self.assertThat(owners, HasLength(SHARDS))
        victim = owners[0]
        entries.live.discard(victim)
        entries.drive(2.5)
        self.assertThat(entries.owners(), HasLength(SHARDS))
        self.assertThat(victim in entries.owners().values(), Equals(False))

    def test_drain_releases_every_shard_at_once(self):
        entries = EntryCluster(self, count=2)
        entries.drive(2)
        vm_id = entries.owners()[0]
        owned = set(entries.scheduler_by_id[vm_id].shard_by_number)
        draining = spawn(entries.scheduler_by_id[vm_id].drain, 30.0)
        entries.drive(0.75)
        self.assertThat(draining.value, Equals(True))
        heads = [read_head(entries.table, shard) for shard in owned]
        self.assertThat({head.owner for head in heads} & {vm_id}, Equals(set()))
        entries.live.discard(vm_id)
        entries.drive(1)
        self.assertThat(entries.owners(), HasLength(SHARDS))

    def test_returning_entry_gets_its_shards_back(self):
        entries = EntryCluster(self, count=2)
        entries.drive(2)
        before = entries.owners()
        entries.live.add("e9")
        entries.scheduler_by_id["e9"] = entries.make("e9")
        entries.drive(10)
        after = entries.owners()
        moved = {shard for shard in after if after[shard] != before[shard]}
        self.assertThat({after[shard] for shard in moved}, Equals({"e9"}))
        self.assertThat(after, HasLength(SHARDS))

    def test_declared_work_runs_over_all_shards_and_finishes_once(self):
        job = Job("j", "team", ("run",), SMALL, tasks=60)
        service = Service("s", "team", ("s",), 3, SMALL)
        entries = EntryCluster(self, configuration=Configuration(1, "", (service,), (job,)))
        entries.drive(6)
        running = entries.workers.running()
        self.assertThat(running, HasLength(63))
        entries.live.discard(entries.owners()[0])
        entries.drive(4)
        for task_id, (worker_id,) in entries.workers.running().items():
            if task_id.startswith("j@"):
                entries.workers.by_id[worker_id].end(task_id)
        entries.drive(6)
        survivor = entries.scheduler_by_id[min(entries.live)]
        (view,) = survivor.job_views()
        self.assertThat((view.state, view.finished), Equals(("finished", 60)))
        upstreams = [
            upstream
            for vm_id in entries.live
            for shard in range(SHARDS)
            for upstream in entries.scheduler_by_id[vm_id].upstreams(shard)
        ]
        self.assertThat({upstream.service for upstream in upstreams}, Equals({"s"}))
        self.assertThat(upstreams, HasLength(3))
        self.assertThat({item.availability_zone for item in upstreams}, Equals({"a", "b"}))

    def test_tasks_without_capacity_move_to_a_shard_that_has_some(self):
        entries = EntryCluster(self)
        entries.drive(2)
        # All tasks are assigned to one shard, whose workers can hold only some of them.
        job = Job("j", "team", ("run",), Size(4_000, 1_000), tasks=24)
        hints, entries.hints = entries.hints, dict
        entries.vms, vms = entries.vms[:2], entries.vms
        entries.configuration = Configuration(1, "", (), (job,))
        entries.scheduler_by_id[min(entries.live)].admission.run_pass()
        entries.vms, entries.hints = vms, hints
        entries.drive(30)
        self.assertThat(entries.workers.running(), HasLength(24))
        self.assertThat(entries.workers.overcommitted(), Equals([]))

    def test_running_replicas_stay_listed_through_a_takeover(self):
        service = Service("s", "team", ("s",), 4, SMALL)
        entries = EntryCluster(self, configuration=Configuration(1, "", (service,), ()))
        entries.drive(6)
        known = {shard: entries.upstreams(shard) for shard in range(SHARDS)}
        self.assertThat(sum(len(listed) for listed in known.values()), Equals(4))
        for vm_id in tuple(entries.owners().values())[:1]:
            entries.live.discard(vm_id)
        for _ in range(24):
            entries.drive(0.25)
            for hint in entries.hints().values():
                # Like a peer, which ignores lists of revision 0.
                if hint.upstream_revision:
                    known[hint.shard] = entries.upstreams(hint.shard)
            self.assertThat(sum(len(listed) for listed in known.values()), Equals(4))


class TestWakeUps(TestCase):
    def admit_urgent(self, entries, vm_id):
        job = Job("j", "team", ("run",), SMALL, urgent=True)
        entries.configuration = Configuration(2, "", (), (job,))
        entries.scheduler_by_id[vm_id].admission.run_pass()
        entries.run_due_greenlets()
        (row,) = [row for row in entries.table.scan("job/") if row.value["name"] == "j"]
        self.assertThat(row.value["state"], Equals("admitted"))

    def test_urgent_job_starts_at_once_in_a_shard_of_the_entry_that_admits_it(self):
        entries = EntryCluster(self, count=1)
        entries.drive(3)
        self.admit_urgent(entries, "e0")
        self.assertThat(entries.workers.running(), HasLength(1))

    def test_urgent_job_starts_at_once_in_a_shard_of_a_peer_that_is_woken(self):
        entries, woken_shards = EntryCluster(self, count=2), []

        def wake(shard):
            woken_shards.append(shard)
            entries.scheduler_by_id[entries.owners()[shard]].wake_shard(shard)

        entries.wake_peer = wake
        self.drive_until_peer_owns_all(entries)
        self.admit_urgent(entries, "e9")
        self.assertThat(woken_shards, HasLength(1))
        self.assertThat(entries.workers.running(), HasLength(1))

    def test_lost_wake_up_delays_the_start_by_the_timers_only(self):
        entries = EntryCluster(self, count=2)
        self.drive_until_peer_owns_all(entries)
        self.admit_urgent(entries, "e9")
        self.assertThat(entries.workers.running(), HasLength(0))
        entries.drive(INBOX_INTERVAL_S + CYCLE_INTERVAL_S)
        self.assertThat(entries.workers.running(), HasLength(1))

    def drive_until_peer_owns_all(self, entries):
        entries.drive(3)
        # e9 is missing from the live entries, so it owns no shard. Any entry may admit jobs.
        entries.scheduler_by_id["e9"] = entries.make("e9")
        entries.scheduler_by_id["e9"].shared.refresh(entries.clock())

    def test_adopted_configuration_is_admitted_at_once_when_woken(self):
        entries = EntryCluster(self, count=1)
        entries.drive(3)
        scheduler = entries.scheduler_by_id["e0"]
        spawn(scheduler._admit_forever)
        entries.run_due_greenlets()
        for version, wakes in ((2, True), (3, False)):
            job = Job(f"j{version}", "team", ("run",), SMALL)
            entries.configuration = Configuration(version, "", (), (job,))
            if wakes:
                scheduler.wake_admission()
            entries.run_due_greenlets()
            self.assertThat(entries.admitted(f"j{version}"), Equals(wakes))
        entries.clock.sleep(ADMIT_INTERVAL_S)
        entries.run_due_greenlets()
        self.assertThat(entries.admitted("j3"), Equals(True))

    def test_admission_wakes_at_the_instant_of_a_schedule_itself(self):
        job = Job("j", "team", ("run",), SMALL, urgent=True, schedule="* * * * *")
        entries = EntryCluster(self, count=1, configuration=Configuration(1, "", (), (job,)))
        entries.clock.now_s = INSTANT_S - 5.3125
        spawn(entries.scheduler_by_id["e0"]._admit_forever)
        entries.run_due_greenlets()
        while entries.clock() < INSTANT_S:
            self.assertThat(entries.admitted("j"), Equals(False))
            entries.clock.sleep(0.0625)
            entries.run_due_greenlets()
        self.assertThat(entries.clock(), Equals(INSTANT_S))
        self.assertThat(entries.admitted("j"), Equals(True))
