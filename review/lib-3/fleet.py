"""Stand-ins for the cases of this review: the platform's store, workers, clients and ways between them, all in
one process, and the daemons as processes of their own. They follow ../given's PROTOCOL.md. All
addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "jasminedyked")

# Bounds of sites/prssa-ops.toml, as SYSTEM.md lists them.
BOUNDS = {
    "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_period_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "max_hold_ms": 1000, "stop_timeout_ms": 50, "cancel_ms": 3000, "visible_ms": 3000,
    "resend_ms": 1300,
}


HEARTBEAT_S = 1.5


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path=None):
        self.file = open(path, "w", buffering=1) if path else None
        self.begun = now()

    def __call__(self, *what):
        if self.file:
            print(f"{now() - self.begun:9.3f}", *what, file=self.file)


def free_ports(count):
    """Ports below those of outgoing connections, which nobody listens on now."""
    rng = random.Random()
    while True:
        first = rng.randrange(11000, 31000 - count)
        sockets = []
        try:
            for port in range(first, first + count):
                s = socket.socket()
                sockets.append(s)
                s.bind(("127.0.0.1", port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable"}


class Drop(Exception):
    """Raised by a handler to close the connection without an answer."""


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return head[0], headers, body


class HttpServer:
    """Keeps connections. `handle` is a coroutine: (method, path, headers, body) -> (status, object)."""

    def __init__(self, handle):
        self.handle, self.writers, self.server = handle, set(), None

    async def start(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def cut(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        self.cut()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, answer = await self.handle(method, path, headers, body)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, Drop):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


def raw_message(first, headers, body):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def parse_query(path):
    from urllib.parse import parse_qs, urlsplit
    parts = urlsplit(path)
    return parts.path, {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}


class Runs:
    """What workers saw of each task, for the rules."""

    def __init__(self, record, need=None):
        self.record, self.need = record, need or {"cpu": 1000}
        self.running, self.overlaps, self.starts, self.done = {}, [], [], set()

    def watch(self, event, task, worker, run, more):
        if event == "need":
            return self.need
        self.record(event, task, "run", run, worker.id, more)
        here = self.running.setdefault(task, {})
        if event == "begin":
            self.starts.append((now(), task, worker.id))
            here[(worker.id, run)] = now()
            return None
        began = here.pop((worker.id, run))
        if more == "done":
            self.done.add(task)
        for (other, other_run), at in here.items():
            overlap = now() - max(at, began)
            self.overlaps.append((overlap, task, worker.id, run, other, other_run))
            self.record(f"TWICE {task}: run {run} on {worker.id} and run {other_run} on {other} for {overlap:.3f} s")
        return None


class Store:
    """The platform's store. Faults: mode 'ok', 'busy' (503), 'silent'; `lose`: the share of the writes that
    are done and not answered; `late_s`: such writes are done so much later if their condition holds."""

    def __init__(self):
        self.rows, self.version, self.forgotten = {}, 0, 0
        self.changed = asyncio.Event()
        self.mode, self.lose, self.late_s = "ok", 0.0, None
        self.begun = now()
        self.rewrite = None  # (table, row value) -> row value, for addresses of proxies
        self.http = HttpServer(self.handle)
        self.luck = random.Random(1)

    def put(self, table, key, value, deleted=False):
        self.version += 1
        text = value if isinstance(value, str) else base64.b64encode(json.dumps(value).encode()).decode()
        if self.rewrite and not deleted:
            text = self.rewrite(table, key, text)
        self.rows[(table, "", key)] = (self.version, deleted, text)
        self.wake()
        return self.version

    def remove(self, table, key):
        if (table, "", key) in self.rows and not self.rows[(table, "", key)][1]:
            self.put(table, key, "", True)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, name):
        version, deleted, text = self.rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "row_version": version}
        if deleted:
            row["deleted"] = True
        else:
            row["value"] = text
        return row

    def body(self, **fields):
        return dict(fields, row_version=self.version, now_ms=int((now() - self.begun) * 1000))

    async def handle(self, method, path, headers, body):
        while self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return 503, {}
        path, query = parse_query(path)
        await asyncio.sleep(0.004)
        if path == "/api/rows-get":
            low, high = query.get("from", ""), query.get("to")
            limit = min(500, int(query.get("limit", 500)))
            names = sorted(n for n, r in self.rows.items() if n[0] == query["table"] and n[1] == query.get("part", "")
                           and not r[1] and n[2] >= low and (high is None or n[2] < high))
            return 200, self.body(rows=[self.row(n) for n in names[:limit]], has_more=len(names) > limit)
        if path == "/api/rows-feed":
            after, until = int(query["after"]), now() + int(query.get("wait_ms", 0)) / 1000
            while True:
                if after < self.forgotten:
                    return 410, {}
                names = [n for n, r in self.rows.items() if n[0] == query["table"] and r[0] > after]
                if names or now() >= until:
                    names.sort(key=lambda n: self.rows[n][0])
                    return 200, self.body(rows=[self.row(n) for n in names])
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
        if path == "/api/rows-tx":
            call = json.loads(body)
            if self.lose and self.luck.random() < self.lose:
                if self.late_s:
                    await asyncio.sleep(0)
                    asyncio.get_running_loop().call_later(self.luck.uniform(*self.late_s), self.transact, call)
                else:
                    self.transact(call)
                raise Drop
            await asyncio.sleep(0.005)
            return self.transact(call)
        return 404, {}

    def transact(self, call):
        stale = []
        for row in call.get("expected_revision", []):
            name = (row["table"], row["part"], row["key"])
            held = self.rows.get(name)
            version = held[0] if held and not held[1] else 0
            if version != row["row_version"]:
                stale.append(self.row(name) if version else dict(row, row_version=0, deleted=True))
        if stale:
            return 412, self.body(rows=stale)
        self.version += 1
        for row in call.get("writes", []):
            text = self.rewrite(row["table"], row["key"], row["value"]) if self.rewrite else row["value"]
            self.rows[(row["table"], row["part"], row["key"])] = (self.version, False, text)
        for row in call.get("remove", []):
            name = (row["table"], row["part"], row["key"])
            if name in self.rows:
                self.rows[name] = (self.version, True, "")
        self.wake()
        return 200, self.body()


class Worker:
    """A worker. The spec says how long tasks run: {"STEP": [ms, ...]} or a number of ms at its start.
    Checks nothing itself: it tells `watch` of begins and ends."""

    def __init__(self, id, zone, service, watch, cpu=32000, mem_mb=65536, gpus=0, labels=("a", "r1-1"), guards=True,
                 born=False, rate=1.0, duration=None):
        self.id, self.zone, self.service, self.watch = id, zone, service, watch
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpus": gpus}
        self.labels, self.guards, self.says_born, self.rate = list(labels), guards, born, rate
        self.duration = duration or (lambda task, spec: (float(spec.split()[0]), "done"))
        self.state, self.sequence, self.up, self.address = "ready", 0, True, None
        self.http = HttpServer(self.handle)
        self.live()

    def live(self):
        self.begun = now()
        self.born_ms = int(time.time() * 1000)
        self.running, self.refused, self.ended = {}, {}, []
        self.last_end, self.token, self.lease = 0, 0, 0
        self.life = object()
        self.news = asyncio.Event()

    def clock(self):
        return 500000 + int((now() - self.begun) * 1000 * self.rate)

    def registration(self):
        self.sequence += 1
        row = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
               "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "capacity": self.capacity,
               "labels": self.labels}
        if self.says_born:
            row["born"] = self.born_ms
        return row

    def crash(self):
        """All that runs is gone, connections too. `live` and registering again are the caller's to do."""
        self.up = False
        for task in list(self.running):
            self.watch("end", task, self, self.running.pop(task)["run"], "crashed")
        self.http.stop()

    def end(self, task, how):
        run = self.running.pop(task)
        if run.get("timer"):
            run["timer"].cancel()
        self.refused[task] = max(self.refused.get(task, 0), run["run"])
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.watch("end", task, self, run["run"], how)
        self.wake()

    def wake(self):
        self.news.set()
        self.news = asyncio.Event()

    def prolong(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + 1000))

    def tick(self):
        """Called every few milliseconds: ends what has no lease any more."""
        if self.running and self.clock() > self.lease:
            for task in list(self.running):
                self.end(task, "lapsed")

    async def handle(self, method, path, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        order = json.loads(body)
        life = self.life
        status, answer = self.carry_out(path, order)
        if path == "/api/hold" and status == 200:
            until = now() + order.get("wait_ms", 0) / 1000
            while not self.ended and now() < until and self.life is life:
                try:
                    await asyncio.wait_for(self.news.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            if self.life is not life:
                raise Drop
            answer["running"] = [[t, r["run"], "", self.percent(r), 0] for t, r in self.running.items()]
            answer["ended"] = self.ended[:500]
        answer["clock_ms"] = self.clock()
        if self.says_born and path == "/api/hold":
            answer["born"] = self.born_ms
        return status, answer

    def percent(self, run):
        return min(99, int(100 * (now() - run["at"]) / max(run["s"], 0.001)))

    def carry_out(self, path, order):
        if order.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = max(self.token, order.get("fencing_token", 0))
        if path == "/api/hold":
            self.ended = [e for e in self.ended if e[0] > order.get("acked_through", 0)]
            if "deadline_ms" in order:
                self.prolong(order["deadline_ms"])
            return 200, {}
        task, run = order["task"], order["run_id"]
        if path == "/api/run-stop":
            self.refused[task] = max(self.refused.get(task, 0), run)
            if task in self.running and self.running[task]["run"] <= run and not self.running[task].get("stopping"):
                self.running[task]["stopping"] = True
                life = self.life
                asyncio.get_running_loop().call_later(
                    0.02, lambda: life is self.life and task in self.running and self.end(task, "stopped"))
            return 200, {}
        if path != "/api/run-start":
            return 404, {}
        if self.clock() > order["deadline_ms"]:
            return 409, {"reason": "late"}
        self.prolong(order["deadline_ms"])
        here = self.running.get(task)
        if here and here["run"] == run:
            return 200, {}
        if here or run <= self.refused.get(task, 0):
            return 409, {"reason": "old"}
        need = self.watch("need", task, self, run, order["spec"]) or {}
        if self.guards:
            for what, most in self.capacity.items():
                used = sum(r["need"].get(what, 0) for r in self.running.values())
                if used + need.get(what, 0) > most:
                    return 409, {"reason": "room"}
        ms, how = self.duration(task, order["spec"])
        self.running[task] = {"run": run, "at": now(), "s": ms / 1000, "need": need}
        life = self.life
        self.running[task]["timer"] = asyncio.get_running_loop().call_later(
            ms / 1000, lambda: life is self.life and task in self.running and self.running[task]["run"] == run
            and self.end(task, how))
        self.watch("begin", task, self, run, "")
        return 200, {}


class Way:
    """The way to a worker, outside of it: passes each call on. A call for which `hold_back(path, order)` returns
    seconds gets no answer, and reaches whoever listens at the worker's address so much later."""

    def __init__(self, target, record):
        self.target, self.record, self.hold_back = target, record, None
        self.server, self.writers, self.held = None, set(), set()

    async def start(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def close(self):
        """Nobody listens; calls that are held back stay on their way."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        writers = {writer}
        self.writers |= writers
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
            writers.add(up_writer)
            for each in writers:
                each.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                first, headers, body = await read_message(reader)
                path = first.split(" ")[1]
                seconds = self.hold_back(path, json.loads(body)) if self.hold_back else None
                if seconds is not None:
                    task = asyncio.create_task(self.deliver(first, headers, body, seconds))
                    self.held.add(task)
                    task.add_done_callback(self.held.discard)
                    # No answer: the connection stays as it is until the caller ends it.
                    while await reader.read(4096):
                        pass
                    return
                up_writer.write(raw_message(first, headers, body))
                answer = raw_message(*await read_message(up_reader))
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= writers
            for each in writers:
                each.transport.abort()

    async def deliver(self, first, headers, body, seconds):
        await asyncio.sleep(seconds)
        order = json.loads(body)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            self.record("held back, nobody there:", order["task"], "run", order["run_id"])
            return
        try:
            writer.write(raw_message(first, headers, body))
            status, _, answer = await read_message(reader)
            self.record("held back, arrives:", order["task"], "run", order["run_id"], status, answer.decode())
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


class Daemon:
    def __init__(self, fleet, name, zone, ports, peers_port=None, cores=0.25, link_mbps=1000.0):
        self.fleet, self.name, self.zone, self.ports = fleet, name, zone, ports
        self.cores, self.link_mbps, self.process = cores, link_mbps, None

    def settings(self):
        # What deploy/settings.toml makes of the platform's fields.
        zones = " ".join(f'"{z}",' for z in self.fleet.zones).rstrip(",")
        evacuation = f"drain_bound_ms = {self.fleet.evacuation_ms}\n" if self.fleet.evacuation_ms else ""
        return (f'[instance]\nid = "{self.name}"\nfailure_domain = "{self.zone}"\nfailure_domains = [{zones}]\n'
                f'cores = {self.cores}\nlink_mbps = {self.link_mbps}\nmemory_mb = 260\n'
                f'[listen]\ncallers = "127.0.0.1:{self.ports[0]}"\nbalancer = "127.0.0.1:{self.ports[1]}"\n'
                f'peers = "127.0.0.1:{self.ports[2]}"\nmetrics = "127.0.0.1:{self.ports[3]}"\n'
                f'[store]\naddress = "127.0.0.1:{self.fleet.store_port}"\n'
                f'[upstreams]\nlongest_lease_ms = {BOUNDS["max_hold_ms"]}\n{evacuation}'
                f'[callers]\nresend_after_ms = {BOUNDS["resend_ms"]}\n[stop]\ngrace_s = {BOUNDS["grace_period_s"]}\n')

    async def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".conf")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.fleet.program, "--platform", stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder, "LANG": "C", "JASMINEDYKE_BOOT": path})
        log.close()
        self.fleet.record("started", self.name)

    def signal(self, which):
        self.fleet.record(signal.Signals(which).name, self.name)
        try:
            self.process.send_signal(which)
        except ProcessLookupError:
            pass

    async def ready(self):
        try:
            status, _ = await request(self.ports[1], "GET", "/api/ready", timeout=1)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def request(port, method, path, body=None, headers=None, timeout=10.0, on_open=None):
    """One call on a connection of its own. Raises when it breaks or gets no answer."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), timeout)
    try:
        text = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in (headers or {"Host": "local"}).items()]
        if body is not None:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(text)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        if on_open:
            on_open(writer)
        first, _, answer = await asyncio.wait_for(read_message(reader), timeout)
        try:
            parsed = json.loads(answer) if answer else None
        except ValueError:
            parsed = None
        return int(first.split()[1]), parsed
    finally:
        writer.transport.abort()


class Fleet:
    HOST = "desk.example"

    def __init__(self, record, zones=("lahore-a", "lahore-b", "rawalpindi"), ports=140):
        self.record, self.zones = record, list(zones)
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.free = free_ports(ports)
        self.store, self.workers, self.daemons = Store(), [], []
        self.store_port = self.next_port()
        self.program, self.evacuation_ms, self.tasks = PROGRAM, None, []
        self.config_version = 0

    def next_port(self):
        return self.free.pop(0)

    async def start_store(self):
        await self.store.http.start(self.store_port)

    async def add_worker(self, worker, way=False):
        port = self.next_port()
        await worker.http.start(port)
        worker.port, worker.way = port, None
        if way:
            worker.way = Way(port, self.record)
            await worker.way.start(self.next_port())
        worker.address = f"127.0.0.1:{worker.way.port if way else port}"
        self.workers.append(worker)
        self.register(worker)
        return worker

    def register(self, worker):
        worker.registered_at = now()
        # Each worker has a rhythm of its own.
        worker.next_beat = now() + HEARTBEAT_S * random.uniform(0.9, 1.1)
        self.store.put("servers", worker.id, worker.registration())

    async def crash(self, worker, away_s):
        """The worker is back under its id after `away_s`, and registers as it starts."""
        worker.crash()
        if worker.way:
            worker.way.close()
        self.record("crashed", worker.id)
        await asyncio.sleep(away_s)
        worker.live()
        worker.up = True
        await worker.http.start(worker.port)
        if worker.way:
            await worker.way.start(worker.way.port)
        self.register(worker)
        self.record("back", worker.id)

    async def submit(self, key, body, daemon, deadline_ms, attempts=5):
        """As clients do: again after no answer, a 502 or a 504, to any daemon. Returns the statuses."""
        statuses = []
        while True:
            self.record("sent", key, daemon.name)
            try:
                answer = await request(daemon.ports[0], "POST", f"/parts/{key}", body,
                                       {"Host": self.HOST, "Deadline-Ms": str(deadline_ms)}, timeout=deadline_ms / 1000)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                answer = (0, repr(error))
            self.record("answered", key, answer)
            statuses.append(answer[0])
            if answer[0] not in (0, 502, 504) or len(statuses) == attempts:
                return statuses
            await asyncio.sleep(BOUNDS["resend_ms"] / 1000)
            daemon = random.choice(self.daemons)

    def configure(self, routes, services, version=None):
        """Returns when the store has confirmed it."""
        self.config_version = version or self.config_version + 1
        document = {"version": self.config_version, "routes": routes, "services": services,
                    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144}}
        self.store.put("op", "config", document)
        self.record("manifest", self.config_version, "confirmed")

    def route(self, name, service="parts", **more):
        return dict({"name": name, "hostname": self.HOST, "path_prefix": f"/{name}/", "service": service,
                     "timeout_ms": 1500, "target_latency_ms": 60, "stretch": 1.6, "max_attempts": 3, "priority": 0},
                    **more)

    def daemon(self, name, zone, cores=0.25, link_mbps=1000.0):
        ports = [self.next_port() for _ in range(4)]
        made = Daemon(self, name, zone, ports, cores=cores, link_mbps=link_mbps)
        self.daemons.append(made)
        return made

    def begin(self):
        self.tasks.append(asyncio.create_task(self.tick()))

    async def tick(self):
        while True:
            await asyncio.sleep(0.004)
            for worker in self.workers:
                if not worker.up:
                    if now() - worker.registered_at > 3 * HEARTBEAT_S:
                        self.store.remove("servers", worker.id)
                    continue
                worker.tick()
                if now() >= worker.next_beat:
                    self.register(worker)

    async def wait_ready(self, seconds=15):
        until = now() + seconds
        while now() < until:
            if all([await d.ready() for d in self.daemons]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                for which in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        daemon.process.send_signal(which)
                    except ProcessLookupError:
                        pass
        for daemon in self.daemons:
            if daemon.process:
                await daemon.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, longest_s=112):
    """Runs `case(trouble)`, which returns 0, 1 or 2. It ends its processes also if it is itself ended."""

    async def run():
        for which in (signal.SIGTERM, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(which, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(os.environ.get("TROUBLE", "1") != "0"), longest_s)

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
