"""Tests of the decoding of the platform's settings, submissions and rows."""

import tracemalloc
from hashlib import sha256
from tempfile import TemporaryDirectory

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from laburnumswitch.exceptions import CallerRefused
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.platform.callers import decode_submission
from laburnumswitch.platform.discovery import decode_worker
from laburnumswitch.platform.operations import decode_operation
from laburnumswitch.platform.settings import read_deployment
from laburnumswitch.platform.workers import format_task_id
from laburnumswitch.platform.workers import parse_task_id
from laburnumswitch.process.dispatch.job_spec import Limits
from laburnumswitch.process.dispatch.job_spec import TaskKey
from laburnumswitch.process.dispatch.worker_protocol import WorkerListing
from laburnumswitch.process.operating.operations import ZoneOrder
from laburnumswitch.process.rows.table import Row
from laburnumswitch.size import Size

SETTINGS = """
node = "front-1"
ip = "127.0.0.1"
zone = "a"
internalPorts = [7720, 7735]
unknown = 1
[listen]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
[limits]
cpuShare = 0.5
cores = 2
memoryMb = 300
[bounds]
drainMs = 2000
graceS = 6
holdMaxMs = 6000
stopMs = 400
harmMs = 4000
[platform]
address = "127.0.0.1:8169"
"""
MAX_DECODING_BYTES = 8_000_000
WORKER = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "a",
    "state": "draining",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["kind", "r1-3"],
    "born": 5,
    "machine": "m-1",
    "seq": 4,
}
ROUTE = {
    "name": "r",
    "host": "h.example",
    "pathPrefix": "/p/",
    "service": "s",
    "timeoutMs": 3000,
    "targetDurationMs": 250,
    "priority": 0,
    "maxAttempts": 4,
    "stretch": 1.5,
}


def read_deployment_text(text):
    with TemporaryDirectory() as folder:
        path = f"{folder}/node.toml"
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(text)
        return read_deployment(path)


class TestSettings(TestCase):
    def test_known_fields_are_read_and_others_ignored(self):
        deployment = read_deployment_text(SETTINGS)
        self.assertThat(deployment.peer_address, Equals("127.0.0.1:7720"))
        # ``cpuShare`` times ``cores``.
        self.assertThat(deployment.cpu_cores, Equals(1.0))
        # ``holdMaxMs``, in seconds.
        self.assertThat(deployment.bounds.lease_s, Equals(6.0))

    def test_overage_of_quotas_is_optional(self):
        self.assertThat(read_deployment_text(SETTINGS).bounds.quota_overage, Equals(0.1))
        text = SETTINGS.replace("harmMs = 4000", "harmMs = 4000\nquotaOverage = 0.25")
        self.assertThat(read_deployment_text(text).bounds.quota_overage, Equals(0.25))

    def test_revocation_is_not_strict_unless_it_is_set(self):
        bounds = read_deployment_text(SETTINGS).bounds
        self.assertThat(bounds.is_revocation_strict, Equals(False))
        self.assertThat((bounds.revocation_s, bounds.configuration_s), Equals((5.0, 3.0)))
        strict = "harmMs = 4000\nstrictRevoke = true\nrevokeMs = 4500\nconfigApplyMs = 2500"
        bounds = read_deployment_text(SETTINGS.replace("harmMs = 4000", strict)).bounds
        self.assertThat(bounds.is_revocation_strict, Equals(True))
        self.assertThat((bounds.revocation_s, bounds.configuration_s), Equals((4.5, 2.5)))

    def test_sockets_are_the_descriptors_without_those_for_files(self):
        text = SETTINGS.replace("memoryMb = 300", "memoryMb = 300\nmaxFds = 4100")
        self.assertThat(read_deployment_text(text).max_sockets, Equals(3900))

    def test_address_of_the_vm_list_is_optional(self):
        self.assertThat(read_deployment_text(SETTINGS).vm_list_address, Equals(""))
        with_list = SETTINGS + '[cloud]\naddress = "127.0.0.1:8170"\nratePerS = 60.0\n'
        self.assertThat(read_deployment_text(with_list).vm_list_address, Equals("127.0.0.1:8170"))

    def test_missing_field_is_named(self):
        problems = read_deployment_text(SETTINGS.replace("memoryMb = 300", ""))
        self.assertThat(problems, IsInstance(ProblemsFound))
        self.assertThat(problems.describe(), Contains("memoryMb"))

    def test_invalid_toml_is_reported(self):
        self.assertThat(read_deployment_text("node ="), IsInstance(ProblemsFound))

    def test_missing_file_is_reported(self):
        self.assertThat(read_deployment("/nonexistent"), IsInstance(ProblemsFound))


class TestCallers(TestCase):
    def test_step_fields_are_decoded(self):
        body = b"""{"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"affinity":"r1"},
            {"count":2,"after":[0],"longRunning":true,"targetMs":125,"fills":true}]}"""
        submission = decode_submission(body, "id", "q", 1.0)
        first, second = submission.steps
        self.assertThat((first.cpu_millis, first.data_rack), Equals((500, "r1")))
        self.assertThat((second.after, second.long_running), Equals(((0,), True)))
        self.assertThat((second.tail_target_ms, second.best_effort), Equals((125, True)))

    def test_malformed_bodies_are_refused(self):
        for body in (b"", b"{}", b'{"spec":"x","steps":[{"count":0}]}', b'{"spec":1,"steps":[]}'):
            self.assertThat(decode_submission(body, "id", "q", 1.0), IsInstance(CallerRefused))

    def test_job_without_steps_is_refused(self):
        # It has nothing to run; one that was accepted ended the term of each owner.
        for fields in (b"", b',"times":3,"intervalMs":1000'):
            body = b'{"spec":"x","steps":[]' + fields + b"}"
            self.assertThat(decode_submission(body, "id", "q", 1.0).status, Equals(400))

    def test_values_out_of_all_bounds_are_refused(self):
        steps = b'{"spec":"x","steps":[{"count":1,%s}]}'
        names = (b"cpu", b"memMb", b"gpu", b"estimateMs", b"antiAffinity", b"targetMs", b"mayMiss")
        for name in names:
            for value in (b"-1", b"1000000000000000001"):
                body = steps % (b'"' + name + b'":' + value)
                self.assertThat(decode_submission(body, "id", "q", 1.0).status, Equals(400))
        for field in (b'"times":-1', b'"times":2,"intervalMs":-1', b'"intervalMs":1e300'):
            body = b'{"spec":"x","steps":[{"count":1}],' + field + b"}"
            self.assertThat(decode_submission(body, "id", "q", 1.0).status, Equals(400))

    def test_deeply_nested_submission_is_refused(self):
        body = b'{"spec":"x","steps":[{"count":' + b"[" * 4096
        self.assertThat(decode_submission(body, "id", "q", 1.0), IsInstance(CallerRefused))

    def test_job_of_too_many_steps_or_tasks_is_refused(self):
        # A few bytes made the owner create a million tasks, and a body of legal size 21,000 steps.
        many_steps = b'{"count":1},' * 21_000
        after = b'{"count":1},{"count":1,"after":[' + b"0," * 1_000 + b"0]},"
        for steps in (b'{"count":1000000},', b'{"count":20000},' * 2, many_steps, after):
            body = b'{"spec":"x","steps":[' + steps[:-1] + b"]}"
            refusal = decode_submission(body, "id", "q", 1.0)
            self.assertThat(refusal, IsInstance(CallerRefused))
            self.assertThat(refusal.status, Equals(400))

    def test_job_that_no_row_of_the_store_holds_is_refused(self):
        # The store refused each attempt, and the caller was answered 504 again and again.
        step = b'{"count":1,"image":"%s"}' % (b"x" * 40)
        for count, is_refused in ((400, False), (1_000, True)):
            body = b'{"spec":"x","steps":[' + b",".join([step] * count) + b"]}"
            decoded = decode_submission(body, "id", "q", 1.0)
            self.assertThat(isinstance(decoded, CallerRefused), Equals(is_refused))

    def test_decoding_takes_a_bounded_multiple_of_the_body(self):
        # Decoded all at once, 87,000 empty steps took 24 MB.
        size = 262_144
        bodies = (
            b'{"spec":"x","steps":[' + b"{}," * (size // 3) + b"{}]}",
            b'{"spec":"x","steps":[' + b'{"count":1},' * (size // 12) + b"{}]}",
            b'{"spec":"x","steps":[{"x":[' + b"[]," * (size // 3) + b"[]]}]}",
        )
        for body in bodies:
            tracemalloc.start()
            decode_submission(body, "id", "q", 1.0)
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertThat(peak_bytes, LessThan(MAX_DECODING_BYTES))

    def test_step_after_itself_is_refused(self):
        body = b'{"spec":"x","steps":[{"count":1,"after":[0]}]}'
        self.assertThat(decode_submission(body, "id", "q", 1.0), IsInstance(CallerRefused))

    def test_task_id_round_trip(self):
        task = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
        self.assertThat(parse_task_id(format_task_id(task)), Equals(task))


class TestRows(TestCase):
    def test_worker_row_is_decoded(self):
        worker = decode_worker("servers/i-1", WORKER)
        self.assertThat((worker.worker_id, worker.rack), Equals(("i-1", "r1-3")))
        self.assertThat((worker.is_draining, worker.incarnation), Equals((True, 5)))
        self.assertThat(worker.vm_id, Equals("m-1"))

    def test_remaining_time_of_a_draining_worker_is_decoded(self):
        self.assertThat(decode_worker("servers/i-1", WORKER).remaining_s, Is(None))
        worker = decode_worker("servers/i-1", {**WORKER, "remainingMs": 1500})
        self.assertThat(worker.remaining_s, Equals(1.5))

    def test_malformed_worker_row_is_refused(self):
        for changes in ({"state": "x"}, {"address": 3}, {"capacity": None}):
            found = decode_worker("servers/i-1", {**WORKER, **changes})
            self.assertThat(found, IsInstance(RowMalformed))
        self.assertThat(decode_worker("servers/i-1", {}), IsInstance(RowMalformed))

    def test_entry_that_names_no_reachable_worker_is_refused(self):
        # An address without a port ended the term of each owner that tried to connect to it.
        for address in ("127.0.0.1", "", ":80", "host:", "host:x", "host:0", "host:65536", "a:b c"):
            found = decode_worker("servers/i-1", {**WORKER, "address": address})
            self.assertThat(found, IsInstance(RowMalformed))
        for key in ("servers/", "servers/a b", "servers/a\r\nb", "servers/\u20ac"):
            self.assertThat(decode_worker(key, WORKER), IsInstance(RowMalformed))

    def test_worker_listed_by_name_is_refused(self):
        # Each call to it looked the name up, and lookups without an answer held up all connections.
        hosts = ("worker.invalid", "a..b", f"{'x' * 70}.example", "[::1", "256.1.1.1", "0x7f.1")
        for host in hosts:
            found = decode_worker("servers/i-1", {**WORKER, "address": f"{host}:80"})
            self.assertThat(found, IsInstance(RowMalformed))

    def test_entry_that_cannot_be_stored_is_refused(self):
        # Owners store the list of workers; a row that cannot be written would end every term.
        capacity = {"cpu": 10**30}
        for changes in (
            {"born": 10**30},
            {"capacity": capacity},
            {"capacity": {"cpu": -1}},
            {"labels": ["x" * 300]},
            {"labels": ["x"] * 300},
            {"zone": "z" * 60_000},
        ):
            found = decode_worker("servers/i-1", {**WORKER, **changes})
            self.assertThat(found, IsInstance(RowMalformed))

    def test_any_value_of_any_field_is_refused_or_decoded(self):
        values = (None, True, -1, 0.5, 10**30, 1e300, "", "x", [], [1], {}, {"cpu": []}, [[[]]])
        for name in (*WORKER, "coldRemainingMs", "remainingMs", "unknown"):
            for value in values:
                found = decode_worker("servers/i-1", {**WORKER, name: value})
                self.assertThat(found, IsInstance((RowMalformed, WorkerListing)))
        for value in values:
            self.assertThat(decode_worker("servers/i-1", value), IsInstance(RowMalformed))

    def test_capacity_that_has_shrunk_to_nothing(self):
        # Fields of value 0 are left out. Taken for malformed, the row left the worker its old size.
        worker = decode_worker("servers/i-1", {**WORKER, "capacity": {"memMb": 512}})
        self.assertThat((worker.cpu_millis, worker.memory_mb), Equals((0, 512)))
        worker = decode_worker("servers/i-1", {**WORKER, "capacity": {}})
        self.assertThat((worker.cpu_millis, worker.memory_mb), Equals((0, 0)))

    def test_queues_are_decoded(self):
        value = {"version": 7, "routes": [ROUTE], "services": [{"name": "s"}]}
        configuration = decode_operation(Row("op/config", 1, value))
        queue = configuration.queues_by_name["r"]
        self.assertThat((queue.objective_s, queue.max_attempts), Equals((0.25, 4)))
        self.assertThat(configuration.version, Equals(7))

    def test_organisations_are_decoded_with_digests_of_their_keys(self):
        # Keys in readable form would end up in logs and messages.
        tenant = {
            "name": "depot",
            "apiKeys": ["k1"],
            "weight": 10,
            "maxCount": {"cpu": 4000, "memMb": 512, "gpu": 0},
        }
        value = {"version": 7, "routes": [ROUTE], "services": [], "tenants": [tenant]}
        organisation = decode_operation(Row("op/config", 1, value)).organisations_by_name["depot"]
        self.assertThat(organisation.limit, Equals(Size(4000, 512, 0)))
        self.assertThat(organisation.weight, Equals(10))
        self.assertThat(organisation.key_digests, Equals((sha256(b"k1").hexdigest(),)))

    def test_route_requires_a_key_unless_it_is_public(self):
        # A route without the field was open to every caller although tenants were configured.
        def requires_key(route_fields, tenants):
            value = {"version": 7, "routes": [{**ROUTE, **route_fields}], "services": [], **tenants}
            return decode_operation(Row("op/config", 1, value)).queues_by_name["r"].requires_key

        tenants = {"tenants": [{"name": "depot"}]}
        self.assertThat(requires_key({"public": True}, tenants), Is(False))
        self.assertThat(requires_key({"public": False}, tenants), Is(True))
        self.assertThat(requires_key({"public": False}, {}), Is(True))
        self.assertThat(requires_key({}, tenants), Is(True))
        self.assertThat(requires_key({}, {}), Is(False))

    def test_zone_out_and_back(self):
        out = decode_operation(Row("op/evacuate/a", 1, {}))
        back = decode_operation(Row("op/evacuate/a", 2, None))
        self.assertThat((out, back), Equals((ZoneOrder("a", True), ZoneOrder("a", False))))

    def test_maintenance_wave_is_decoded(self):
        value = decode(b'{"wave":1,"machines":["m"],"durationS":20,"maxCount":2}')
        wave = decode_operation(Row("op/wave/1", 1, value))
        self.assertThat((wave.vm_ids, wave.max_count), Equals((("m",), 2)))


class TestLimits(TestCase):
    def test_limits_of_heads_are_decoded(self):
        limits = {"maxHeaderBytes": 8_000, "headerTimeoutMs": 1_500, "maxBodyBytes": 9}
        value = {"version": 1, "routes": [], "services": [], "limits": limits}
        configuration = decode_operation(Row("op/config", 1, value))
        self.assertThat(configuration.limits, Equals(Limits(9, 15.0, 8_000, 1.5)))
