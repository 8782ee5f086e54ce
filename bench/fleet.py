"""Starts a whole deployment of real processes on loopback, for experiments.

The processes are ours; each one is ended by its id.
"""

import hashlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

KEY = "5d" * 32
ADMIN_TOKEN = "token-of-admin"


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def free_ports(count):
    """Ports that nobody listens on at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def fetch(port, path, method="GET", body=None, token=None, timeout=5):
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method=method)
    if token:
        request.add_header("Authorization", "Bearer " + token)
    data = json.dumps(body).encode() if body is not None else None
    with urllib.request.urlopen(request, data, timeout=timeout) as reply:
        return reply.read().decode()


class Process:
    """One child process and what the kernel says of it."""

    def __init__(self, arguments, log):
        self.child = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=open(log, "a"))

    def first_line(self):
        return self.child.stdout.readline().decode().strip()

    def cpu_seconds(self):
        with open(f"/proc/{self.child.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_kib(self):
        with open(f"/proc/{self.child.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, timeout=30):
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()


class Entry:
    """An entry instance: its settings, its ports and its present process."""

    def __init__(self, fleet, number, domain):
        self.fleet = fleet
        self.id = f"entry-{number}"
        self.domain = domain
        self.callers, self.operators, self.peers = free_ports(3)
        self.process = None

    def settings(self):
        return f"""
[instance]
id = "{self.id}"
failure_domain = "{self.domain}"
[listen]
callers = "127.0.0.1:{self.callers}"
operators = "127.0.0.1:{self.operators}"
peers = "127.0.0.1:{self.peers}"
[platform]
address = "127.0.0.1:{self.fleet.platform_port}"
[peers]
key = "{KEY}"
[stop]
ready_delay_ms = {self.fleet.ready_delay_ms}
[log]
level = "info"
"""

    def start(self):
        file = os.path.join(self.fleet.directory, self.id + ".toml")
        with open(file, "w") as out:
            out.write(self.settings())
        self.process = Process(
            [self.fleet.binary("jasminedyked"), "--settings", file],
            os.path.join(self.fleet.directory, self.id + ".log"))

    def wait_ready(self, timeout=20):
        end = time.time() + timeout
        while time.time() < end:
            try:
                fetch(self.operators, "/readyz")
                return
            except OSError:
                time.sleep(0.02)
        raise RuntimeError(self.id + " did not become ready")

    def metrics(self):
        values = {}
        for line in fetch(self.operators, "/metrics").splitlines():
            if not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values


class Fleet:
    """Platform, upstreams and entry instances of a described deployment."""

    def __init__(self, deployment, build="build", domains=None, entries=None, upstreams=None,
                 ready_delay_ms=300):
        self.deployment = deployment
        self.build = build
        self.ready_delay_ms = ready_delay_ms
        self.directory = tempfile.mkdtemp(prefix="fleet-")
        domains = domains or deployment["failure_domains"]
        entries = entries or deployment["entries"]
        upstreams = upstreams or deployment["upstreams"]
        self.platform_port = free_ports(1)[0]
        self.entries = [Entry(self, i, f"domain-{i % domains}") for i in range(entries)]
        self.groups = []  # (process, control port) of each failure domain
        self.instances = []
        self.start_upstreams(domains, upstreams)
        for entry in self.entries:
            self.instances.append({
                "id": entry.id, "address": f"127.0.0.1:{entry.peers}", "role": "entry",
                "failure_domain": entry.domain, "rack": "r0", "state": "live"})
        self.start_platform()
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            entry.wait_ready()

    def binary(self, name):
        return os.path.join(self.build, name)

    def start_upstreams(self, domains, upstreams):
        d = self.deployment
        for domain in range(domains):
            count = upstreams // domains + (1 if domain < upstreams % domains else 0)
            first = 21000 + domain * 1000 + os.getpid() % 500
            control = free_ports(1)[0]
            process = Process(
                [self.binary("upstream_standin"), "--control", f"127.0.0.1:{control}",
                 "--listen", f"127.0.0.1:{first}", "--count", str(count),
                 "--slots", str(d["slots"]), "--connections", str(d["connections"]),
                 "--delay-ms", str(d["upstream_delay_ms"])],
                os.path.join(self.directory, f"upstreams-{domain}.log"))
            process.first_line()
            self.groups.append((process, control))
            for number in range(count):
                self.instances.append({
                    "id": f"upstream-{domain}-{number}", "address": f"127.0.0.1:{first + number}",
                    "role": "upstream", "failure_domain": f"domain-{domain}",
                    "rack": f"r{number // 8}", "state": "live", "slots": d["slots"],
                    "connections": d["connections"], "memory_mb": d["memory_mb"], "cores": 32})

    def configuration(self):
        classes = {c["class"]: {"target_ms": c["target_ms"], "idempotent": c.get("idempotent", False)}
                   for c in self.deployment["classes"]}
        teams = {c["team"]: {"token_sha256": [digest("token-of-" + c["team"])], "quota_slots": 0}
                 for c in self.deployment["classes"]}
        return {"classes": classes, "teams": teams,
                "administrators": {"token_sha256": [digest(ADMIN_TOKEN)]}}

    def start_platform(self):
        paths = {}
        for name, document in (("instances", self.instances),
                               ("configuration", self.configuration())):
            paths[name] = os.path.join(self.directory, name + ".json")
            with open(paths[name], "w") as out:
                json.dump(document, out)
        self.platform = Process(
            [self.binary("platform_standin"), "--listen", f"127.0.0.1:{self.platform_port}",
             "--instances", paths["instances"], "--configuration", paths["configuration"]],
            os.path.join(self.directory, "platform.log"))
        self.platform.first_line()

    def set_faults(self, domain, **faults):
        fetch(self.groups[domain][1], "/standin/faults", "PUT", faults)

    def set_platform_faults(self, **faults):
        fetch(self.platform_port, "/standin/faults", "PUT", faults)

    def publish_instances(self):
        fetch(self.platform_port, "/standin/instances", "PUT", self.instances)

    def upstream_counters(self):
        total = {}
        for _, control in self.groups:
            for name, value in json.loads(fetch(control, "/standin/counters")).items():
                total[name] = max(total.get(name, 0), value) if name == "most_running" \
                    else total.get(name, 0) + value
        return total

    def load_arguments(self):
        arguments = []
        for entry in self.entries:
            arguments += ["--callers", f"127.0.0.1:{entry.callers}",
                          "--operators", f"127.0.0.1:{entry.operators}"]
        return arguments

    def stop(self):
        statuses = [entry.process.stop() for entry in self.entries]
        for process, _ in self.groups:
            process.stop()
        self.platform.stop()
        return statuses
