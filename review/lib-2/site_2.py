"""A small installation on loopback: the platform's store, workers and clients
as stand-ins in this process, and the project's daemons as separate processes.

The stand-ins follow PROTOCOL.md. All that is sent, answered and run is written
to record.txt in the folder of the case.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "jasminedyked")

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count):
    """Ports below those that outgoing connections usually get."""
    sockets = []
    while len(sockets) < count:
        s = socket.socket()
        try:
            s.bind(("127.0.0.1", random.randrange(10000, 32000)))
            sockets.append(s)
        except OSError:
            s.close()
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, *words):
        self.file.write("%9.3f s  %s\n" % (self.now(), " ".join(str(w) for w in words)))
        self.file.flush()


# --- HTTP ---------------------------------------------------------------


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def message(first, headers, body):
    head = [first, "Content-Length: %d" % len(body)]
    head += ["%s: %s" % pair for pair in headers.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


# What runs beside; the loop itself holds tasks only weakly.
BESIDE = set()


def beside(coroutine):
    task = asyncio.ensure_future(coroutine)
    BESIDE.add(task)
    task.add_done_callback(BESIDE.discard)
    return task


class HttpServer:
    """Serves `handle(method, path, headers, body)`, which returns a status and
    an object, or None for no answer at all."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = None

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        BESIDE.add(asyncio.current_task())
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    # No answer, and nothing more on this connection.
                    await reader.read()
                    return
                status, value = answer
                writer.write(message(
                    "HTTP/1.1 %d %s" % (status, REASONS.get(status, "-")),
                    {"Content-Type": "application/json"},
                    json.dumps(value).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


async def call(port, method, path, headers=None, body=None, timeout=None):
    """One call on a connection of its own. Returns (status, body); the status
    is None if there was no answer or the connection broke."""

    async def go():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            all_headers = {"Host": "127.0.0.1", "Content-Type": "application/json"}
            all_headers.update(headers or {})
            writer.write(message("%s %s HTTP/1.1" % (method, path), all_headers, data))
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(go(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return None, b""


# --- The platform's store ------------------------------------------------


class Store:
    def __init__(self):
        self.version = 100
        self.rows = {}  # (table, part, key) -> [value, version]
        self.changes = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Condition()
        self.http = HttpServer(self._handle)
        self.began = time.monotonic()

    async def listen(self):
        return await self.http.listen()

    def _apply(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = [value, self.version]
        self.changes.append((self.version,) + name + (value,))

    async def put(self, table, key, value):
        """Written by the operator or a worker; on return it is acknowledged."""
        async with self.changed:
            self.version += 1
            text = None if value is None else base64.b64encode(
                json.dumps(value).encode()).decode()
            self._apply((table, "", key), text)
            self.changed.notify_all()

    def _row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2],
                "value": value, "row_version": version}

    def _about(self, more):
        more["row_version"] = self.version
        more["now_ms"] = int((time.monotonic() - self.began) * 1000)
        return more

    async def _handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        from urllib.parse import parse_qs
        q = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        if path == "/api/rows-tx":
            return await self._transaction(json.loads(body))
        if path == "/api/rows-get":
            table, part = q["table"], q.get("part", "")
            limit = int(q.get("limit", 500))
            names = sorted(n for n in self.rows
                           if n[0] == table and n[1] == part
                           and n[2] >= q.get("from", "")
                           and ("to" not in q or n[2] < q["to"]))
            return 200, self._about({"rows": [self._row(n) for n in names[:limit]],
                                     "has_more": len(names) > limit})
        if path == "/api/rows-feed":
            return await self._feed(q["table"], int(q["after"]), int(q["wait_ms"]))
        return 404, {}

    async def _transaction(self, tx):
        await asyncio.sleep(0.004)
        name = lambda r: (r["table"], r.get("part", ""), r["key"])
        async with self.changed:
            wrong = [r for r in tx.get("expected_revision", [])
                     if self.rows.get(name(r), [None, 0])[1] != r["row_version"]]
            if wrong:
                return 412, {"rows": [self._row(name(r)) for r in wrong
                                      if name(r) in self.rows]}
            self.version += 1
            for r in tx.get("writes", []):
                self._apply(name(r), r["value"])
            for r in tx.get("remove", []):
                self._apply(name(r), None)
            self.changed.notify_all()
            return 200, self._about({})

    async def _feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                newest = {}
                for version, t, part, key, value in self.changes:
                    if t == table and version > after:
                        newest[(t, part, key)] = (version, value)
                left = until - time.monotonic()
                if newest or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            rows = []
            for (t, part, key), (version, value) in sorted(
                    newest.items(), key=lambda e: e[1][0]):
                row = {"table": t, "part": part, "key": key, "row_version": version}
                if value is None:
                    row["deleted"] = True
                else:
                    row["value"] = value
                rows.append(row)
            return 200, self._about({"rows": rows})


# --- Workers -------------------------------------------------------------


class Worker:
    """A run takes as many milliseconds as its spec begins with."""

    def __init__(self, site, name, service, zone, cpu=32000, labels=(), guards=True):
        self.site = site
        self.id = name
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.labels = list(labels)
        self.guards = guards
        self.state = "ready"
        self.sequence = 0
        self.began = time.monotonic() - 1000
        self.running = {}  # task -> dict
        self.refused = {}  # task -> highest run that was stopped or has ended
        self.ended = []
        self.last_end = 0
        self.token = 0
        self.lease_end = 0
        self.new_end = asyncio.Event()
        self.http = HttpServer(self._handle)
        # Up to 2 % slow.
        self.rate = 1.0
        # Set by cases: given path and order, returns None, or the seconds after
        # which an order that gets no answer is carried out.
        self.impair = lambda path, order: None

    def clock(self):
        return int((time.monotonic() - self.began) * self.rate * 1000)

    async def listen(self):
        await self.http.listen()
        beside(self._tick())
        beside(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(self.site.heartbeat_s)
            await self.register()

    async def register(self):
        self.sequence += 1
        await self.site.store.put("servers", self.id, {
            "service": self.service, "address": "127.0.0.1:%d" % self.http.port,
            "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpus": 0},
            "labels": self.labels, "clock_ms": self.clock(),
            "sequence": self.sequence})

    def _end(self, task, how):
        run = self.running.pop(task)
        run["timer"].cancel()
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.refused[task] = max(self.refused.get(task, 0), run["run"])
        self.site.on_end(self, task, run["run"], how)
        self.new_end.set()

    async def _tick(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock() > self.lease_end:
                for task in list(self.running):
                    self._end(task, "lapsed")

    def _extend(self, deadline):
        # At most max_hold_ms from now; it never shortens.
        self.lease_end = max(self.lease_end,
                             min(deadline, self.clock() + self.site.max_hold_ms))

    async def _handle(self, method, path, headers, body):
        if path == "/healthz":
            return 200, {}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        order = json.loads(body)
        late = self.impair(path, order)
        if late is not None:
            self.site.record("worker", self.id, "leaves unanswered", path,
                             order.get("task", ""))
            beside(self._carry_out_late(late, path, order))
            return None
        return await self._carry_out(path, order)

    async def _carry_out_late(self, seconds, path, order):
        await asyncio.sleep(seconds)
        order.pop("wait_ms", None)
        status, answer = await self._carry_out(path, order)
        self.site.record("worker", self.id, "carries out late", path,
                         order.get("task", ""), status, answer.get("reason", ""))

    async def _carry_out(self, path, order):
        if order.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = order.get("fencing_token", 0)
        if path == "/api/run-start":
            return self._start(order)
        if path == "/api/run-stop":
            return self._stop(order)
        if path == "/api/hold":
            return await self._hold(order)
        return 404, {}

    def _start(self, order):
        task, run = order["task"], order["run_id"]
        there = self.running.get(task)
        if there and there["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if self.clock() > order["deadline_ms"]:
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self._extend(order["deadline_ms"])
        if run <= self.refused.get(task, 0) or (there and run < there["run"]):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        need = self.site.need_of(task)
        used = sum(r["need"] for r in self.running.values())
        if self.guards and used + need > self.cpu:
            return 409, {"clock_ms": self.clock(), "reason": "room"}
        seconds = int(order["spec"].split()[0]) / 1000
        loop = asyncio.get_running_loop()
        self.running[task] = {
            "run": run, "need": need, "began": time.monotonic(), "takes": seconds,
            "timer": loop.call_later(seconds, lambda: self._end(task, "done"))}
        self.site.on_begin(self, task, run, order["spec"])
        return 200, {"clock_ms": self.clock()}

    def _stop(self, order):
        task, run = order["task"], order["run_id"]
        self.refused[task] = max(self.refused.get(task, 0), run)
        there = self.running.get(task)
        if there and there["run"] <= run:
            asyncio.get_running_loop().call_later(
                0.02, lambda: task in self.running and
                self.running[task] is there and self._end(task, "stopped"))
        return 200, {"clock_ms": self.clock()}

    async def _hold(self, order):
        if "deadline_ms" in order:
            self._extend(order["deadline_ms"])
        through = order.get("acked_through", 0)
        self.ended = [e for e in self.ended if e[0] > through]
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.new_end.clear()
            try:
                await asyncio.wait_for(self.new_end.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        running = [[t, r["run"], "",
                    min(99, int(100 * (now - r["began"]) / max(r["takes"], 0.001))),
                    r["need"]] for t, r in self.running.items()]
        return 200, {"clock_ms": self.clock(), "running": running,
                     "ended": self.ended[:500]}


# --- A proxy whose open connections can go silent -------------------------


class Proxy:
    def __init__(self, to_port):
        self.to_port = to_port
        self.port = None
        self.open = []

    async def listen(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    def silence(self):
        """Nothing passes any more on the connections that are open now, and
        neither side is told. New ones work."""
        count = len([c for c in self.open if not c["silent"]])
        for connection in self.open:
            connection["silent"] = True
        return count

    async def _serve(self, reader, writer):
        BESIDE.add(asyncio.current_task())
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.to_port)
        except OSError:
            writer.close()
            return
        connection = {"silent": False}
        self.open.append(connection)

        async def copy(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if connection["silent"]:
                        if not data:
                            return
                        continue
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            if not connection["silent"]:
                sink.close()

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        writer.close()
        far_writer.close()
        self.open = [c for c in self.open if c is not connection]


# --- The whole -------------------------------------------------------------


class Daemon:
    def __init__(self, site, name, zone, cores, store_port):
        self.site = site
        self.name = name
        self.zone = zone
        self.callers, self.balancer, self.peers, self.metrics = free_ports(4)
        self.settings = os.path.join(site.temp, name + ".toml")
        self.log = os.path.join(site.temp, name + ".log")
        zones = ", ".join('"%s"' % z for z in site.zones)
        with open(self.settings, "w") as f:
            f.write('[instance]\nid = "%s"\nfailure_domain = "%s"\n'
                    'failure_domains = [%s]\ncores = %s\nlink_mbps = %s\n\n'
                    '[listen]\ncallers = "127.0.0.1:%d"\nbalancer = "127.0.0.1:%d"\n'
                    'peers = "127.0.0.1:%d"\nmetrics = "127.0.0.1:%d"\n\n'
                    '[store]\naddress = "127.0.0.1:%d"\n\n'
                    '[upstreams]\nlongest_lease_ms = %d\n\n'
                    '[callers]\nresend_after_ms = 1300\n\n[stop]\ngrace_s = 6\n'
                    % (name, zone, zones, cores, site.link_mbps, self.callers, self.balancer,
                       self.peers, self.metrics, store_port, site.max_hold_ms))
        self.process = None

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["JASMINEDYKE_BOOT"] = self.settings
        self.process = subprocess.Popen(
            [DAEMON, "--platform"], cwd=ROOT, env=environment,
            stdout=open(self.log, "a"), stderr=subprocess.STDOUT)
        self.site.record("daemon", self.name, "starts")

    def signal(self, number):
        self.process.send_signal(number)
        self.site.record("daemon", self.name, "gets", signal.Signals(number).name)

    def alive(self):
        return self.process.poll() is None


class Site:
    def __init__(self, folder, zones=("north",)):
        self.folder = folder
        self.record = Record(folder)
        self.zones = list(zones)
        self.max_hold_ms = 1000
        self.heartbeat_s = 1.5
        self.link_mbps = 1000.0
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.store_port = None
        self.workers = []
        self.daemons = []
        self.begun = []  # (time, worker, task, run, spec)
        self.ends = []  # (time, worker, task, run, how)
        self.needs = {}  # (job, step) -> cpu

    async def listen(self):
        self.store_port = await self.store.listen()

    def need_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.needs.get((job, int(step)), 0)

    def on_begin(self, worker, task, run, spec):
        self.begun.append((self.record.now(), worker, task, run, spec))
        self.record("worker", worker.id, "begins", task, "run", run)

    def on_end(self, worker, task, run, how):
        self.ends.append((self.record.now(), worker, task, run, how))
        self.record("worker", worker.id, "ends", task, "run", run, how)

    async def add_workers(self, zone, count, service="parts", **more):
        for i in range(count):
            worker = Worker(self, "%s-worker-%d" % (zone, i), service, zone, **more)
            await worker.listen()
            await worker.register()
            self.workers.append(worker)

    async def put_manifest(self, version, routes, services=("parts",),
                           admission_check=True):
        manifest = {
            "version": version,
            "routes": [dict({"name": "r-" + prefix.strip("/"),
                             "hostname": "desk.example", "path_prefix": prefix,
                             "kind": "non_idempotent", "timeout_ms": 1500,
                             "target_latency_ms": 60, "priority": 0,
                             "service": service, "max_attempts": 2,
                             "stretch": 1.6}) for prefix, service in routes],
            "services": [{"name": s, "health_path": "/healthz",
                          "max_connections": 64, "admission_check": admission_check}
                         for s in services],
            "limits": {}}
        await self.store.put("op", "config", manifest)
        self.record("manifest", version, "confirmed:", json.dumps(routes))

    def add_daemon(self, name, zone, cores=0.25, store_port=None):
        daemon = Daemon(self, name, zone, cores, store_port or self.store_port)
        self.daemons.append(daemon)
        return daemon

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        for daemon in self.daemons:
            while True:
                status, _ = await call(daemon.balancer, "GET", "/api/ready", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > until or not daemon.alive():
                    raise CannotRun("%s does not become ready" % daemon.name)
                await asyncio.sleep(0.1)

    async def submit(self, daemon, prefix, job, body, deadline_ms=1500):
        for number, step in enumerate(body["steps"]):
            self.needs[(job, number)] = step.get("cpu", 0)
        self.record("client sends", job, "to", daemon.name, prefix)
        sent = self.record.now()
        status, answer = await call(
            daemon.callers, "POST", prefix + job,
            {"Host": "desk.example", "Deadline-Ms": str(deadline_ms)}, body,
            timeout=deadline_ms / 1000)
        self.record("client of", job, "gets", status, answer.decode("latin-1")[:200])
        return sent, status, answer

    async def close(self):
        for daemon in self.daemons:
            if daemon.process and daemon.alive():
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process:
                daemon.process.wait()

    def keep_logs(self):
        if os.environ.get("KEEP"):
            print("logs in", self.temp)
            return
        for name in os.listdir(self.temp):
            os.unlink(os.path.join(self.temp, name))
        os.rmdir(self.temp)


def job_id(number):
    return "%016x" % (0x5c0e7a2100000000 + number)


def main(folder, case, trouble):
    """Runs `case(site, trouble)`; it returns True if the rule was broken."""
    if not os.access(DAEMON, os.X_OK):
        print("target/jasminedyked is not built")
        sys.exit(CANNOT_RUN)

    async def go():
        site = Site(folder)
        code = CANNOT_RUN
        played = asyncio.ensure_future(asyncio.wait_for(case(site, trouble), 110))
        loop = asyncio.get_running_loop()
        # The daemons end also if the script is ended from outside.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, played.cancel)
        try:
            broken = await played
            code = BROKEN if broken else HELD
            print("the rule was broken" if broken else "the rule held")
        except (CannotRun, asyncio.TimeoutError) as problem:
            print("the case could not run:", problem or "it took too long")
        except asyncio.CancelledError:
            print("ended from outside")
        except Exception:
            traceback.print_exc()
        finally:
            await site.close()
            site.keep_logs()
        # What still serves in this process is of no more use.
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(go())
