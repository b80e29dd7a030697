"""Stand-ins for one review case: store, list of VMs, advice service, workers, operator, clients.

All of them run in one process on loopback, with the standard library only. The entries are started
as processes of their own, with the command of ``deploy/system.toml``.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path
from random import randrange
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "jobs.example"
PREFIX = "/jobs/"
ROW_BYTES = 65536
HEARTBEAT_S = 1.1
LEASE_MAX_MS = 6000
STOP_MS = 400
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The figures of a small deployment, as in the example of the deploy page.
SETTINGS = """\
node = "{node}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "island"
internalPorts = [{peer}, {peer}]
seeds = []
bootstrap = true
countsTowardFaults = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1100
contracts = ["base","drain","config","cost","recover","sched","places","platform","advice"]
orders = "rpc"
advice = "{advice}"
[zones]
a = "island"
b = "island"
c = "island"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
evacuateMs = 5000
holdMaxMs = 6000
stopMs = 400
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
farFactor = 3
restoreMs = 600
noticeMs = 4500
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
[cloud]
address = "{cloud}"
ratePerS = 60.0
"""


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def note(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()


def free_port():
    """Return a free port below those that the system gives to outgoing connections."""
    while True:
        port = randrange(12000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Server:
    """HTTP/1.1 server; ``handle`` returns a status and a body, or ``None`` to break off."""

    def __init__(self, handle, port=0):
        self._handle = handle
        self.port = port
        self._writers = set()
        self._server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                split = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(split.query).items()}
                headers["is-gone"] = reader.at_eof
                answer = await self._handle(method, unquote(split.path), query, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, value = answer
                content = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's table: rows, transactions within one part, and feeds with full history."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._log = []
        self._changed = asyncio.Event()
        self.server = Server(self._handle)

    def put(self, table, key, value):
        """Write a row of the operator or of a worker; ``value`` may be raw bytes."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([(table, "", key, b64encode(raw).decode())])

    def remove(self, table, key):
        if (table, "", key) in self.rows:
            self._apply([(table, "", key, None)])

    def value(self, table, key):
        for (each_table, _, each_key), (_, value) in self.rows.items():
            if (each_table, each_key) == (table, key):
                return json.loads(b64decode(value))
        return None

    def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (self.version, value)
            self._log.append((self.version, table, part, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, method, path, query, headers, body):
        if path == "/v1/rows-tx":
            await asyncio.sleep(0.005)
            return self._transact(json.loads(body))
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            return self._get(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            return 200, self._reply({"parts": parts})
        return 404, {}

    def _reply(self, fields):
        return {**fields, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def _transact(self, body):
        expected, puts = body.get("expectedRev", []), body.get("puts", [])
        removed = body.get("remove", [])
        entries = [*expected, *puts, *removed]
        if len(entries) > 100 or len({each.get("part", "") for each in entries}) > 1:
            return 400, {}
        if any(each["table"] in ("op", "servers") for each in [*puts, *removed]):
            return 403, {}
        if any(len(b64decode(each["value"])) > ROW_BYTES for each in puts):
            return 400, {}

        def name(each):
            return each["table"], each.get("part", ""), each["key"]

        if any(self.rows.get(name(each), (0, ""))[0] != each["ver"] for each in expected):
            found = [name(each) for each in expected if name(each) in self.rows]
            return 412, self._reply({"rows": [self._encode(each) for each in found]})
        self._apply(
            [(*name(each), each["value"]) for each in puts]
            + [(*name(each), None) for each in removed]
        )
        return 200, self._reply({})

    def _encode(self, name):
        version, value = self.rows[name]
        table, part, key = name
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    def _get(self, query):
        limit = min(500, int(query.get("limit", 500)))
        first, end = query.get("from", ""), query.get("target")
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= first
            and (end is None or name[2] < end)
        )
        rows = [self._encode(name) for name in names[:limit]]
        return 200, self._reply({"rows": rows, "hasMore": len(names) > limit})

    async def _feed(self, query):
        until = time.monotonic() + min(30000, int(query.get("waitMs", 0))) / 1000
        after, table = int(query["after"]), query["table"]
        while True:
            latest = {}
            for version, each, part, key, value in self._log:
                if version > after and each == table:
                    latest[(part, key)] = (version, value)
            left = until - time.monotonic()
            if latest or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for (part, key), (version, value) in sorted(latest.items(), key=lambda each: each[1][0]):
            row = {"table": table, "part": part, "key": key, "ver": version}
            rows.append({**row, "tombstone": True} if value is None else {**row, "value": value})
        return 200, self._reply({"rows": rows})


class Run:
    """A run on a worker; ``stop_at`` is when it ends if it was told to stop."""

    def __init__(self, task, number, step, now):
        self.task = task
        self.number = number
        self.step = step
        self.began = now
        self.stop_at = None


class Worker:
    """One machine and the worker that lives on it.

    The ``spec`` of a job is JSON with a list ``steps``. Each entry tells how long the tasks of a
    step take (``ms``, 0 for tasks that last until they are stopped) and their ``cpu``. Each start
    of the worker is a new one, with a new id.
    """

    def __init__(self, lab, number, zone, kind="std", cpu=16000, memory=62500):
        self._lab = lab
        self.machine = f"m{number:02d}"
        self.rack = f"r{number // 8}"
        self.zone, self.kind, self.cpu, self.memory = zone, kind, cpu, memory
        self.worker_id = ""
        self.is_up = False
        self.is_lost = False
        self.server = Server(self._handle, free_port())
        self.lives = 0

    async def start(self):
        self.lives += 1
        self.worker_id = f"{self.machine}-{self.lives}"
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self.fence = 0
        self.until_ms = 0.0
        self.runs = {}
        self.ends = []
        self._end_number = 0
        self._highest = {}
        self._ended = asyncio.Event()
        self.is_up = True
        self._seq = 0
        await self.server.open()
        self.register()
        self._tasks = [
            asyncio.ensure_future(self._heartbeat()),
            asyncio.ensure_future(self._tick()),
        ]
        self._lab.record.note(
            "worker-up", worker=self.worker_id, kind=self.kind, address=self.server.address
        )

    def crash(self):
        """End at once: what runs is gone, nothing is sent."""
        self._lab.record.note("worker-crash", worker=self.worker_id, runs=list(self.runs))
        for run in self.runs.values():
            self._lab.note_end(self, run, "crash")
        self.close()

    def close(self):
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self.server.close()

    def clock_ms(self):
        return (time.monotonic() - self._began) * 1000

    def register(self):
        self._seq += 1
        self._lab.heartbeat_by_id[self.worker_id] = time.monotonic()
        self._lab.store.put(
            "servers",
            self.worker_id,
            {
                "service": "svc",
                "address": self.server.address,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": self._seq,
                "capacity": {"cpu": self.cpu, "memMb": self.memory},
                "labels": [self.kind, self.rack],
                "born": self.born,
                "machine": self.machine,
            },
        )

    async def _heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            lapsed = self.clock_ms() > self.until_ms
            for run in list(self.runs.values()):
                work_ms = run.step["ms"]
                if lapsed:
                    self._end(run, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    self._end(run, "stopped")
                elif run.stop_at is None and work_ms and (now - run.began) * 1000 >= work_ms:
                    self._end(run, "done")

    def _end(self, run, how):
        del self.runs[run.task]
        self._end_number += 1
        self.ends.append([self._end_number, run.task, run.number, how, ""])
        self._lab.note_end(self, run, how)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    async def _handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            return 421, {}
        await asyncio.sleep(0.001)
        fields = json.loads(body) if body else {}
        if fields.get("fence", 0) < self.fence:
            return self._refuse("fence")
        self.fence = fields.get("fence", 0)
        if path == "/v1/hold":
            return await self._hold(fields)
        if path == "/v1/run-start":
            return self._start_run(fields)
        if path == "/v1/run-stop":
            return self._stop_run(fields)
        if path == "/v1/pace":
            return 200, self._answer({})
        return 404, {}

    def _answer(self, fields):
        return {**fields, "clockMs": int(self.clock_ms()), "born": self.born}

    def _refuse(self, reason):
        return 409, self._answer({"reason": reason})

    def _extend(self, fields):
        until = fields.get("untilMs", 0)
        self.until_ms = max(self.until_ms, min(until, self.clock_ms() + LEASE_MAX_MS))

    async def _hold(self, fields):
        self._extend(fields)
        seen = fields.get("lastSeen", 0)
        for end in [end for end in self.ends if end[0] <= seen]:
            self._lab.record.note(
                "seen", worker=self.worker_id, task=end[1], run=end[2], how=end[3]
            )
        self.ends = [end for end in self.ends if end[0] > seen]
        if not self.ends and fields.get("waitMs"):
            try:
                await asyncio.wait_for(self._ended.wait(), min(2000, fields["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [
            [run.task, run.number, "", self._percent(run), run.step.get("cpu", 0)]
            for run in self.runs.values()
        ]
        return 200, self._answer({"running": running, "ended": self.ends[:500]})

    def _percent(self, run):
        passed_ms = (time.monotonic() - run.began) * 1000
        return min(100, int(passed_ms * 100 / (run.step["ms"] or 320)))

    def _start_run(self, fields):
        task, number = fields["task"], fields["run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            self._extend(fields)
            return 200, self._answer({})
        self._lab.record.note("start-order", worker=self.worker_id, task=task, run=number)
        if number <= self._highest.get(task, 0) or present is not None:
            self._extend(fields)
            return self._refuse("old")
        if fields.get("untilMs", 0) <= self.clock_ms():
            return self._refuse("late")
        reason = self._lab.refuse_ticket(self, task, fields.get("ticket", ""))
        if reason:
            return self._refuse(reason)
        spec = json.loads(fields["spec"])
        step = task.split(".")[2]
        work = spec["steps"][int(step)]
        used = sum(run.step.get("cpu", 0) for run in self.runs.values())
        if used + work.get("cpu", 0) > self.cpu:
            self._extend(fields)
            return self._refuse("room")
        self._extend(fields)
        self._highest[task] = number
        run = self.runs[task] = Run(task, number, work, time.monotonic())
        self._lab.note_start(self, run)
        return 200, self._answer({})

    def _stop_run(self, fields):
        task, number = fields["task"], fields["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 2000
        elif run is None:
            self._highest[task] = max(number, self._highest.get(task, 0))
        return 200, self._answer({})


class Entry:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, lab, number, zone):
        self._lab = lab
        self.node = f"front-{zone}-{number}"
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        self.settings = lab.folder / f"{self.node}.toml"
        self.log = lab.folder / f"{self.node}.log"
        self.process = None
        self.settings.write_text(
            SETTINGS.format(
                node=self.node,
                zone=zone,
                peer=self.peer,
                front=self.front,
                ready=self.ready,
                advice=lab.advice_server.address,
                store=lab.store.server.address,
                cloud=lab.cloud_server.address,
            ),
            encoding="utf-8",
        )

    async def start(self):
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["LABURNUMSWITCH_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._lab.record.note("entry-start", node=self.node, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self._lab.record.note("signal", node=self.node, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        answer = await http("127.0.0.1", self.ready, "GET", "/v1/ready", timeout=1.0)
        return answer is not None and answer[0] == 200


async def http(host, port, method, path, headers=None, body=b"", timeout=3.0):
    """Return status and body of one call on a connection of its own, or ``None``."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            fields = {"Host": f"{host}:{port}", **(headers or {}), "Content-Length": len(body)}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.decode("latin-1").split("\r\n")[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.partition(":")[2])
            return status, await reader.readexactly(length)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class CaseCannotRun(Exception):
    """The stand-ins or the entries could not be set up."""


class Lab:
    """All that one case starts, and the record of it."""

    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.cloud_server = Server(self._cloud)
        self.advice_server = Server(self._advise)
        self.workers = []
        self.entries = []
        self.heartbeat_by_id = {}
        # All starts and ends seen by the workers: (seconds, worker, task, run, what).
        self.starts = []
        self.ends = []
        # Machines on which the policy of the advice service allows all steps; ``None`` for none.
        self.good_machines = None
        self._tickets = {}
        # How long one call for advice takes: a fixed part, and for each worker that it names.
        self.decide_s, self.each_s = 0.02, 0.001
        self._advice_turn = asyncio.Lock()
        self._advice_waiting = 0

    async def open(self, entries=3, workers=8, routes=None, **worker_fields):
        for server in (self.store.server, self.cloud_server, self.advice_server):
            await server.open()
        self._remover = asyncio.ensure_future(self._remove_silent())
        routes = routes or [self.route()]
        self.publish(1, routes)
        self._first_prefix = routes[0]["pathPrefix"]
        await self.add_workers(workers, **worker_fields)
        for number in range(entries):
            entry = Entry(self, number, "abc"[number % 3])
            self.entries.append(entry)
            await entry.start()
        await self.until(self._is_serving, 30, "the entries do not serve")

    async def add_workers(self, count, **worker_fields):
        first = len(self.workers)
        for number in range(first, first + count):
            worker = Worker(self, number, "abc"[number % 3], **worker_fields)
            self.workers.append(worker)
            await worker.start()

    async def _is_serving(self):
        for entry in self.entries:
            if not await entry.is_ready():
                return False
            answer = await self.call(entry, "GET", "", prefix=self._first_prefix)
            if answer is None or answer[0] != 200:
                return False
        return True

    async def close(self):
        for entry in self.entries:
            await entry.kill()
        for worker in self.workers:
            if worker.is_up:
                worker.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for entry in self.entries:
                (Path(kept) / entry.log.name).write_bytes(entry.log.read_bytes())
        self._temporary.cleanup()

    def route(self, name="jobs", prefix=PREFIX, attempts=4, priority=0, **fields):
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "service": "svc",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetDurationMs": 2000,
            "maxAttempts": attempts,
            "priority": priority,
            "stretch": 2.0,
            **fields,
        }

    def publish(self, version, routes):
        self.record.note("manifest", version=version, routes=[each["name"] for each in routes])
        services = [{"name": "svc", "rejectsOverload": True}]
        limits = {"maxBodyBytes": 262144, "idleTimeoutMs": 15000}
        value = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.store.put("op", "config", value)

    async def call(self, entry, method, job_id, body=None, prefix=PREFIX, timeout=3.0):
        content = b"" if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "X-Deadline-Ms": "3000", "Content-Type": "application/json"}
        answer = await http(
            "127.0.0.1", entry.front, method, prefix + job_id, headers, content, timeout
        )
        status = "none" if answer is None else answer[0]
        text = "" if answer is None else answer[1].decode()
        self.record.note(
            "call", node=entry.node, method=method, job=job_id, status=status, body=text
        )
        return answer

    async def submit(self, job_id, steps, work, entries=None, prefix=PREFIX, **fields):
        """Submit a job with the usual retries; return whether it was accepted."""
        body = {"spec": json.dumps({"steps": work}), "steps": steps, **fields}
        entries = entries or self.entries
        for attempt in range(5):
            answer = await self.call(entries[attempt % len(entries)], "POST", job_id, body, prefix)
            if answer is not None and 200 <= answer[0] < 300:
                return True
            if answer is not None and answer[0] not in (502, 503, 504, 429):
                return False
            await asyncio.sleep(0.5)
        return False

    async def hand_in(self, *arguments, **fields):
        """Submit a job that has to be accepted for the case to make sense."""
        if not await self.submit(*arguments, **fields):
            raise CaseCannotRun("a job was not accepted")

    async def state(self, job_id, entries=None, prefix=PREFIX):
        """Return the state of a job as shown by the first entry that answers with one."""
        for entry in entries or self.entries:
            answer = await self.call(entry, "GET", job_id, prefix=prefix)
            if answer is not None and answer[0] == 200:
                return json.loads(answer[1])["state"]
            if answer is not None and answer[0] == 410:
                return "gone"
        return "unknown"

    def owner(self):
        term = self.store.value("leadership", "term") or {}
        name = term[1] if isinstance(term, list) else term.get("owner", "")
        return next((entry for entry in self.entries if entry.node == name), None)

    def note_start(self, worker, run):
        self.starts.append((time.monotonic(), worker, run.task, run.number))
        self.record.note("run", worker=worker.worker_id, task=run.task, run=run.number)

    def note_end(self, worker, run, how):
        self.ends.append((time.monotonic(), worker, run.task, run.number, how))
        self.record.note("end", worker=worker.worker_id, task=run.task, run=run.number, how=how)

    def starts_of(self, job_id):
        return [each for each in self.starts if each[2].startswith(f"{job_id}.")]

    def ends_of(self, job_id):
        return [each for each in self.ends if each[2].startswith(f"{job_id}.")]

    def running_on(self, job_id):
        """Return the workers on which tasks of a job run now."""
        return [
            worker
            for worker in self.workers
            if worker.is_up and any(task.startswith(f"{job_id}.") for task in worker.runs)
        ]

    def refuse_ticket(self, worker, task, ticket):
        if self.good_machines is None:
            return ""
        step = task.rpartition(".")[0]
        return "" if self._tickets.get((step, worker.worker_id)) == ticket and ticket else "ticket"

    async def until(self, condition, seconds, what=None):
        """Wait for a condition; return whether it came true, or raise with ``what``."""
        limit = time.monotonic() + seconds
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            if time.monotonic() > limit:
                if what:
                    raise CaseCannotRun(what)
                return None
            await asyncio.sleep(0.05)

    async def _cloud(self, method, path, query, headers, body):
        await asyncio.sleep(0.01)
        if path != "/v1/machines":
            return 404, {}
        rows = []
        for worker in self.workers:
            row = {
                "machine": worker.machine,
                "pool": "svc",
                "state": "up" if worker.is_up else "down",
                "zone": worker.zone,
                "labels": [worker.kind, worker.rack],
                "capacity": {"cpu": worker.cpu, "memMb": worker.memory},
                "id": worker.worker_id if worker.is_up else "",
            }
            if worker.is_up or not worker.is_lost:
                rows.append(row)
        return 200, {"machines": rows, "nextToken": ""}

    async def _advise(self, method, path, query, headers, body):
        fields = json.loads(body)
        if self._advice_waiting >= 32:
            return 429, {}
        self._advice_waiting += 1
        try:
            # One call at a time, in turn.
            async with self._advice_turn:
                if headers["is-gone"]():
                    return None
                await asyncio.sleep(self.decide_s + self.each_s * len(fields["workers"]))
        finally:
            self._advice_waiting -= 1
        machine_by_id = {each.worker_id: each.machine for each in self.workers if each.is_up}
        rows = []
        for worker_id in fields["workers"][:100]:
            if machine_by_id.get(worker_id) in (self.good_machines or ()):
                ticket = f"t-{fields['step']}-{worker_id}"
                self._tickets[(fields["step"], worker_id)] = ticket
                rows.append([worker_id, ticket])
        self.record.note(
            "advice", step=fields["step"], asked=len(fields["workers"]), good=len(rows)
        )
        return 200, {"good": rows}

    async def _remove_silent(self):
        while True:
            await asyncio.sleep(0.2)
            limit = time.monotonic() - 3 * HEARTBEAT_S
            for worker_id, at in list(self.heartbeat_by_id.items()):
                if at < limit:
                    del self.heartbeat_by_id[worker_id]
                    self.store.remove("servers", worker_id)


def run_case(script, case):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def guarded():
        lab = Lab(Path(script).resolve().parent)
        lab.record.note("case", trouble=TROUBLE)
        try:
            broken = await asyncio.wait_for(case(lab), 105)
        except Exception as error:
            # Whatever went wrong here is no sign of a broken rule.
            lab.record.note("cannot-run", reason=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            await lab.close()
        for reason in broken:
            lab.record.note("broken", reason=reason)
            print(f"broken: {reason}")
        if not broken:
            lab.record.note("held")
            print("held")
        return 1 if broken else 0

    sys.exit(asyncio.run(guarded()))
