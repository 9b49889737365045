"""Stand-ins for the users' platform, as PROTOCOL.md of their pages describes it.

Store, runners, advisory service and clients run in one asyncio loop, each on its own
loopback port. The system's own processes are started as the deploy file does, with
settings that have the fields of deploy/settings.jsonc.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from urllib import parse

HOST = "127.0.0.1"
# The command of the deploy file, with the path of the settings file.
PROGRAM = ["target/release/figscale", "serve", "--settings"]
# How often a runner writes its entry; it lapses after three such times.
HEARTBEAT_S = 1.5
# Largest page of a range.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HOLD_MAX_MS = 6000
STOP_TIMEOUT_MS = 400
GANG_TIMEOUT_MS = 3000
CONTACT_MS = 3000
CANCEL_MS = 3000
CLIENT_DEADLINE_S = 3.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case couldn't be set up, so nothing was shown."""


def steady_ms():
    return time.monotonic() * 1000.0


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1, encoding="utf-8")
        self.begun = time.monotonic()

    def __call__(self, who, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {who:9} {text}\n")


class HttpServer:
    """HTTP/1.1 with keep-alive. `handle` returns a status and a document; `None` leaves
    the call, and its connection, without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = dict(line.split(":", 1) for line in head[1:] if ":" in line)
                headers = {name.strip().lower(): value.strip() for name, value in headers.items()}
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = parse.urlsplit(target)
                query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, document = answer
                data = b"" if document is None else json.dumps(document).encode()
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def kill(self):
        """Nothing listens any more, and all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        self.expiry = asyncio.ensure_future(self.expire())
        return self

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        created = self.items.get(key, {}).get("create_rev", self.revision)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                           "revision": self.revision, "create_rev": created}
        self.history.append((self.revision, self.items[key]))

    def erase(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, {"key": key, "revision": self.revision, "removed": True}))

    def put(self, key, document):
        """A write of the operator or of a runner."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key, value):
        self.revision += 1
        self.write(key, value)
        self.notify()

    def remove(self, key):
        self.revision += 1
        self.erase(key)
        self.notify()

    def end_lease(self, lease):
        del self.leases[lease]
        self.revision += 1
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.erase(key)
        self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (until_ms, _) in list(self.leases.items()):
                if steady_ms() > until_ms:
                    self.end_lease(lease)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, None)
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            page, size = [], 0
            while len(page) < min(len(keys), PAGE_ITEMS) and size < PAGE_BYTES:
                page.append(self.items[keys[len(page)]])
                size += len(page[-1]["value"])
            return 200, {"items": page, "truncated": len(keys) > len(page), "as_of": self.revision}
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query.get("wait_ms", "0")))
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttl_ms"])
            self.last_lease += 1
            self.leases[self.last_lease] = (steady_ms() + ttl_ms, ttl_ms)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        verb, _, lease = path[1:].partition("/")
        if not lease.isdigit() or int(lease) not in self.leases:
            return 404, None
        if verb == "kv-keep":
            ttl_ms = self.leases[int(lease)][1]
            self.leases[int(lease)] = (steady_ms() + ttl_ms, ttl_ms)
        if verb == "kv-lease-end":
            self.end_lease(int(lease))
        return 200, {}

    async def watch(self, prefix, after, wait_ms):
        until_ms = steady_ms() + wait_ms
        while True:
            events = [event for revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left_ms = until_ms - steady_ms()
            if events or left_ms <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_ms / 1000.0)
            except asyncio.TimeoutError:
                pass

    def transact(self, transaction):
        expected = transaction.get("expected_rev", [])
        writes, removes = transaction.get("writes", []), transaction.get("remove", [])
        if len(expected) + len(writes) + len(removes) > 32:
            return 400, None
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, None
        revision = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(revision(row["key"]) != row["revision"] for row in expected):
            absent = lambda key: {"key": key, "revision": 0}
            return 412, {"items": [self.items.get(row["key"], absent(row["key"])) for row in expected]}
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, None
        if writes or removes:
            self.revision += 1
            for row in writes:
                self.write(row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
            for key in removes:
                self.erase(key)
            self.notify()
        return 200, {"revision": self.revision}


class Runner:
    """One life of a runner. It does not guard its room, and works at the speed of the
    clock: a task takes the `work_ms` of its job, or its step's estimate."""

    def __init__(self, world, service="pool", cpu=8000, labels=("a", "r1-1"), zone="zone-a"):
        self.world, self.service, self.cpu, self.labels, self.zone = world, service, cpu, labels, zone
        self.id = "i-%010x" % random.getrandbits(40)
        self.clock_zero_ms = steady_ms() - random.randrange(1_000, 100_000)
        self.fence = 0
        self.lease_until = 0
        self.running = {}
        self.closed = {}
        self.finished = []
        self.ends = 0
        self.sequence = 0
        self.up = True
        self.ended = asyncio.Event()
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]
        self.world.runners.append(self)
        self.world.record("runner", f"{self.id} of {self.service} starts at {self.http.address}")
        return self

    def clock(self):
        return int(steady_ms() - self.clock_zero_ms)

    async def beat(self):
        while self.up:
            self.sequence += 1
            self.world.store.put(f"servers/{self.id}", {
                "service": self.service, "address": self.http.address, "zone": self.zone, "version": "1",
                "capacity": 8, "state": "ready", "cold_left_ms": 0, "sequence": self.sequence,
                "available": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0}, "labels": list(self.labels)})
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while self.up:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.lease_until:
                for key in list(self.running):
                    self.end(key, "lapsed")
            for key, run in list(self.running.items()):
                if key not in self.running:
                    continue
                if run["stop_at"] is not None and steady_ms() >= run["stop_at"]:
                    self.end(key, "stopped")
                elif run["gang"] and run["ends_at"] is None:
                    self.world.begin_gang(key, run)
                    if run["ends_at"] is None and steady_ms() > run["at"] + GANG_TIMEOUT_MS:
                        self.end(key, "alone")
                elif run["ends_at"] is not None and steady_ms() >= run["ends_at"]:
                    self.end(key, "done")
                    if run["gang"]:
                        self.world.end_gang(key)

    def end(self, key, how):
        task, attempt = key
        del self.running[key]
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        self.ends += 1
        self.finished.append([self.ends, task, attempt, how, ""])
        self.world.run_ended(task, attempt, self.id, how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if headers.get("figscale-target-instance", self.id) != self.id:
            return 421, None
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fencing_token", 0)
        if path == "/run-start":
            return self.run_start(order)
        if path == "/run-stop":
            return self.run_stop(order)
        return await self.hold(order)

    def extend(self, deadline_ms):
        self.lease_until = max(self.lease_until, min(deadline_ms, self.clock() + HOLD_MAX_MS))

    def run_start(self, order):
        task, attempt, clock = order["task"], order["attempt"], self.clock()
        if order["deadline_ms"] < clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self.extend(order["deadline_ms"])
        if (task, attempt) in self.running:
            return 200, {"clock_ms": clock}
        if self.closed.get(task, 0) >= attempt:
            return 409, {"clock_ms": clock, "reason": "old"}
        step, length_ms = self.world.run_started(task, attempt, order["spec"], self)
        gang, lasts = bool(step.get("gang")), bool(step.get("long_running"))
        self.running[task, attempt] = {
            "at": steady_ms(), "step": step, "length_ms": length_ms, "gang": gang, "stop_at": None,
            "ends_at": None if gang or lasts else steady_ms() + length_ms}
        return 200, {"clock_ms": clock}

    def run_stop(self, order):
        task, attempt = order["task"], order["attempt"]
        self.world.record("runner", f"{self.id} is told to stop {task} attempt {attempt}")
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        run = self.running.get((task, attempt))
        if run and run["stop_at"] is None:
            run["stop_at"] = steady_ms() + 0.2 * STOP_TIMEOUT_MS
        return 200, {"clock_ms": self.clock()}

    async def hold(self, order):
        self.extend(order.get("deadline_ms", 0))
        self.finished = [row for row in self.finished if row[0] > order.get("seen_upto", 0)]
        until_ms = steady_ms() + min(2000, order.get("wait_ms", 0))
        while not self.finished and steady_ms() < until_ms:
            try:
                await asyncio.wait_for(self.ended.wait(), (until_ms - steady_ms()) / 1000.0)
            except asyncio.TimeoutError:
                pass
        running = [[task, attempt, "", self.percent(run), run["step"].get("cpu", 0)]
                   for (task, attempt), run in self.running.items()]
        return 200, {"clock_ms": self.clock(), "running": running, "finished": self.finished[:500]}

    def percent(self, run):
        if run["step"].get("long_running"):
            return 100
        return min(99, int(100 * (steady_ms() - run["at"]) / max(1, run["length_ms"])))

    def crash(self):
        """The runner's process is gone, and what ran on it."""
        self.up = False
        self.http.kill()
        self.world.record("runner", f"{self.id} crashes")
        for task, attempt in list(self.running):
            self.world.run_ended(task, attempt, self.id, "crashed with its runner")
        lost, self.running = self.running, {}
        self.world.runners.remove(self)
        for key, run in lost.items():
            if run["gang"]:
                self.world.end_gang(key, "broken")
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.world.store.remove, f"servers/{self.id}")


async def call(address, method, path, body=None, timeout_s=CLIENT_DEADLINE_S, host="jobs.example"):
    """Makes a call on a connection of its own; returns the status and the document, or
    `None` and why there was no answer."""
    try:
        return await asyncio.wait_for(exchange(address, method, path, body, timeout_s, host), timeout_s)
    except (OSError, ValueError, asyncio.TimeoutError) as error:
        return None, type(error).__name__


async def exchange(address, method, path, body, timeout_s, host):
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
                      f"Figscale-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                      f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data)
        answer = await reader.read()
        head, _, rest = answer.partition(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1]) if head else None
        try:
            return status, json.loads(rest) if rest else None
        except ValueError:
            return status, None
    finally:
        writer.close()


def free_address():
    """A free address outside the range from which the system picks ports itself."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return f"{HOST}:{port}"
            except OSError:
                continue


class Entry:
    """One machine of the system: its process, started as the deploy file says."""

    def __init__(self, world, number):
        self.world, self.name = world, f"front-{number}"
        self.front, self.ready, self.operator, self.peer = (free_address() for _ in range(4))
        self.process = None
        settings = {
            "member": self.name, "failure_domain": f"zone-{'ab'[number % 2]}",
            "caller_address": self.front, "peer_address": self.peer, "operator_address": self.operator,
            "platform_address": world.store.http.address, "peer_token": "figscale-entry-instances",
            "log": {"level": "info", "target": "stdout"},
            "fleet": {
                "ready_address": self.ready, "cpu_share": 0.25, "cores": 1,
                "max_worker_lease_ms": HOLD_MAX_MS, "stop_limit_ms": STOP_TIMEOUT_MS,
                "checkpoint_s": 1, "restore_ms": 600, "max_entry_age_ms": CONTACT_MS}}
        self.settings = os.path.join(world.folder, f"{self.name}.jsonc")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def launch(self):
        with open(os.path.join(self.world.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen([*PROGRAM, self.settings], stdout=log, stderr=log)
        self.world.record("entry", f"{self.name} is started as process {self.process.pid}")

    def signal(self, number):
        self.world.record("entry", f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process:
            self.process.kill()
            self.process.wait()

    async def leads(self):
        status, dump = await call(self.operator, "GET", "/v1/dump", timeout_s=1.0)
        return status == 200 and bool(dump.get("leading"))


class World:
    """A small deployment, its jobs, and what ran."""

    def __init__(self, record):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="figscale-review-")
        self.entries, self.runners, self.jobs, self.runs = [], [], {}, []

    async def start(self, entries, queues, services):
        self.store = await Store().start()
        self.queues = queues
        self.store.put("op/config", {
            "version": 10, "routes": list(queues.values()), "limits": {},
            "services": [{"name": name, "admission_check": False} for name in services]})
        self.entries = [Entry(self, number) for number in range(entries)]

    async def serve(self):
        """Starts the entry instances; returns once all are ready and one leads."""
        for entry in self.entries:
            entry.launch()
        for _ in range(200):
            for number, entry in enumerate(self.entries):
                if entry.process.poll() is not None:
                    # Another process has taken one of its ports in the meantime.
                    self.entries[number] = Entry(self, number)
                    self.entries[number].launch()
            ready = [await call(entry.ready, "GET", "/ready", timeout_s=1.0) for entry in self.entries]
            leads = [await entry.leads() for entry in self.entries]
            if all(status == 200 for status, _ in ready) and sum(leads) == 1:
                # Longer than contact_ms, so that all machines are in touch.
                await asyncio.sleep(CONTACT_MS / 1000.0 + 1.0)
                return
            await asyncio.sleep(0.1)
        ended = {entry.name: entry.process.poll() for entry in self.entries}
        raise CouldNotRun(f"the entry instances did not become ready; exit codes: {ended}, ready: {ready}, "
                          f"leading: {leads}")

    async def leader(self):
        for entry in self.entries:
            if await entry.leads():
                return entry
        raise CouldNotRun("no entry instance leads")

    def stop(self):
        """Ends all processes that were started."""
        for entry in self.entries:
            entry.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    # What runners report here.

    def job_of(self, task, runner):
        """The job of a task; jobs of other services may have the same id."""
        jobs = [job for job in self.jobs.values()
                if job["id"] == task.split(".")[0] and job["queue"]["service"] == runner.service]
        return jobs[0] if jobs else None

    def run_started(self, task, attempt, spec, runner):
        job = self.job_of(task, runner)
        self.record("run", f"{task} attempt {attempt} with spec {spec} starts on {runner.id} of {runner.service}")
        self.runs.append({"task": task, "attempt": attempt, "runner": runner.id, "service": runner.service,
                          "spec": spec, "at": time.monotonic(), "how": None})
        step = job["body"]["phases"][int(task.split(".")[2])] if job else {}
        return step, step.get("estimate_ms", 500)

    def run_ended(self, task, attempt, runner, how):
        self.record("run", f"{task} attempt {attempt} on {runner} ends: {how}")
        for run in self.runs:
            if (run["task"], run["attempt"], run["runner"]) == (task, attempt, runner):
                run["how"] = how

    def members(self, key):
        step = key[0].rsplit(".", 1)[0] + "."
        return [(runner, other) for runner in self.runners for other in runner.running
                if other[0].startswith(step) and other[1] == key[1]]

    def begin_gang(self, key, run):
        members = self.members(key)
        if len(members) == run["step"]["count"]:
            for runner, other in members:
                member = runner.running[other]
                member["at"] = steady_ms()
                member["ends_at"] = steady_ms() + member["length_ms"]

    def end_gang(self, key, how="done"):
        for runner, other in self.members(key):
            runner.end(other, how)

    # Clients.

    def job(self, queue, body, job_id=None):
        """A job that a client is about to hand in."""
        job = {"id": job_id or "%016x" % random.getrandbits(64), "queue": self.queues[queue], "body": body}
        job["path"] = job["queue"]["prefix"] + job["id"]
        self.jobs[job["path"]] = job
        return job

    async def ask(self, method, job, entry, body=None):
        status, document = await call(entry.front, method, job["path"], body)
        state = document.get("state", "") if isinstance(document, dict) else ""
        answer = f"{status} {state}" if status else f"no answer ({document})"
        self.record("client", f"{method} {job['path']} at {entry.name}: {answer}")
        return status, state

    async def submit(self, job, entry):
        """Hands a job in, which has to be accepted."""
        for _ in range(4):
            status, _ = await self.ask("POST", job, entry, job["body"])
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CouldNotRun(f"{job['path']} was not accepted")


def queue(name, service="pool", **more):
    """A route of the configuration."""
    return {"name": name, "host": "jobs.example", "prefix": f"/{name}/", "service": service,
            "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1,
            "max_attempts": 4, "stretch": 3.0, **more}


def run(case):
    """Runs a case, a coroutine that takes a world and whether there is trouble, and
    returns what broke a rule. Exits as the review asks."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    os.chdir(os.path.join(folder, "..", ".."))
    world = World(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world.record("case", "with the disruption" if trouble else "without the disruption")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        broken = asyncio.run(until_stopped(case, world, trouble))
        for text in broken:
            world.record("BROKEN", text)
            print(text)
        world.record("case", "the rule was broken" if broken else "the rule held")
        code = BROKEN if broken else HELD
    except BaseException as error:
        world.record("case", f"could not run: {error!r}")
        traceback.print_exc()
        code = COULD_NOT_RUN
    finally:
        world.stop()
    sys.stdout.flush()
    sys.stderr.flush()
    # Without the clean-up of connections that are still open.
    os._exit(code)


async def until_stopped(case, world, trouble):
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    try:
        return await asyncio.wait_for(case(world, trouble), 105)
    finally:
        world.stop()
        await asyncio.sleep(0.2)
