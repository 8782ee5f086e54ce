"""A home that was replaced goes on as if it had not been.

The home of a zone is cut off from all other instances and from the zone's workers
for 5 s; the store is down for the first 4.2 s of them. Another instance becomes
home meanwhile, without the store, and starts tasks of new jobs. Up to four
rounds are played, until the rule is broken.
"""

import asyncio
import base64
import json
import os
import random
import signal
import sys
import time
import weakref

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import standins  # noqa: E402

STORE_DOWN_S = 4.2
CUT_S = 5.0
TASK_SECONDS = 4.0
JOBS = 12
ROUNDS = 4
LOAD_S = 2
LOAD_CALLERS = 16
ZONE = "north"
# The zone has a fifth of all workers: no more may lose the path to a machine.
WORKERS = {ZONE: 8, "south": 16, "west": 16}


class Network:
    """Cuts one instance off from the workers and from all other instances.

    What is sent meanwhile is held, as by TCP, and arrives when the cut is over.
    """

    def __init__(self):
        self.instances = []
        self.cut_off = None
        self.healed = asyncio.Event()
        self.healed.set()
        self.senders = weakref.WeakKeyDictionary()

    def cut(self, instance):
        self.cut_off = instance
        self.healed.clear()

    def heal(self):
        self.cut_off = None
        self.healed.set()

    async def passable(self, *ends):
        while self.cut_off is not None and self.cut_off in ends:
            await self.healed.wait()

    def sender(self, writer):
        """Which instance has opened a connection, by the sockets of its process."""
        if writer not in self.senders:
            self.senders[writer] = self.find_sender(writer)
        return self.senders[writer]

    def find_sender(self, writer):
        port = writer.get_extra_info("peername")[1]
        here = f" 0100007F:{port:04X} "
        with open("/proc/net/tcp", encoding="ascii") as table:
            inodes = [line.split()[9] for line in table if here in line[:24]]
        links = {f"socket:[{inode}]" for inode in inodes if inode != "0"}
        for instance in self.instances:
            if instance.process and links & instance.descriptors():
                return instance
        return None


class PeerProxy:
    """Stands before an instance's port for its peers."""

    def __init__(self, network, instance):
        self.network = network
        self.instance = instance
        self.port = None
        self.server = None

    async def listen(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.forward, standins.IP, port)

    async def forward(self, reader, writer):
        ends = (self.network.sender(writer), self.instance)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    await self.network.passable(*ends)
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            await self.network.passable(*ends)
            sink.close()

        try:
            await self.network.passable(*ends)
            to_reader, to_writer = await asyncio.open_connection(
                standins.IP, self.instance.peers)
            await asyncio.gather(pump(reader, to_writer), pump(to_reader, writer))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()


class CutWorker(standins.Worker):
    """A worker that can't be reached by the instance that is cut off."""

    network = None
    # The homes of the zone by their tokens, in the order of their first calls.
    tokens = []

    async def handle_from(self, writer, method, target, headers, body):
        sender = self.network.sender(writer)
        await self.network.passable(sender)
        token = json.loads(body).get("fencing_token", 0)
        if self.zone == ZONE and token not in CutWorker.tokens:
            CutWorker.tokens.append(token)
        answer = await self.handle(method, target, headers, body)
        await self.network.passable(sender)
        return answer


class PausingStore(standins.Store):
    """While it is down, calls wait. They are carried out when it is back."""

    def __init__(self):
        super().__init__()
        self.up = asyncio.Event()
        self.up.set()
        # Of an instance's own port for its peers: the port of its proxy.
        self.proxies = {}

    def is_up(self):
        return self.up.is_set()

    async def handle(self, method, target, headers, body):
        await self.up.wait()
        if target.startswith("/api/rows-tx"):
            body = self.with_proxies(body)
        answer = await super().handle(method, target, headers, body)
        await self.up.wait()
        return answer

    def with_proxies(self, body):
        """Instances find each other at the addresses of their proxies."""
        call = json.loads(body)
        for row in call.get("writes", []):
            if row["table"] != "instances":
                continue
            value = json.loads(base64.b64decode(row["value"]))
            ip, port = value["peers"].split(":")
            value["peers"] = f"{ip}:{self.proxies[int(port)]}"
            row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        return json.dumps(call).encode()


def home_of(deployment):
    row = deployment.store.get("homes", f"{ZONE}/0")
    return next((i for i in deployment.instances if row and i.name == row["holder"]), None)


async def wait_for(condition, seconds):
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.02)
    return True


async def restart(instance):
    """As operators do: SIGTERM, and another start when the process has ended."""
    instance.send_signal(signal.SIGTERM)
    if not await wait_for(lambda: instance.process.poll() is not None, 8):
        return False
    instance.log.close()
    instance.start()
    return True


async def usual_load(record, deployment, host, entries, round_number):
    """Short jobs, so that the workers are as they are in use."""
    until = time.monotonic() + LOAD_S

    async def caller(number):
        jobs = 0
        while time.monotonic() < until:
            jobs += 1
            key = f"{0xc000 + number:04x}{round_number:04x}{jobs:08x}"
            seconds = random.choice([0.06, 0.2, 0.9])
            entry = random.choice(entries)
            record.write("post", job=key, to=entry.name)
            status, body = await standins.http(
                entry.callers, "POST", deployment.PREFIX + key, host,
                standins.job([(random.randint(1, 4), [])], seconds))
            record.write("answer", job=key, status=status, body=body)

    await asyncio.gather(*(caller(n) for n in range(LOAD_CALLERS)))


def begin_trouble(record, network, deployment, home):
    """The home is cut off, and the store is down for the first part of that."""
    record.write("cut-and-store-down", home=home.name)
    network.cut(home)
    deployment.store.up.clear()

    def store_is_back():
        record.write("store-back")
        deployment.store.up.set()

    def cut_is_over():
        record.write("cut-over")
        network.heal()

    loop = asyncio.get_running_loop()
    loop.call_later(STORE_DOWN_S, store_is_back)
    loop.call_later(CUT_S, cut_is_over)


async def restart_in_turn(deployment, instances):
    """As for a release; the home is the last."""
    await asyncio.sleep(4)
    first = home_of(deployment)
    for instance in sorted(instances, key=lambda i: i is first):
        if not await restart(instance) or not await deployment.ready():
            return False
    return True


async def play_round(record, network, deployment, number):
    host = {"Host": deployment.HOST, "Deadline-Ms": "15000"}
    in_zone = [i for i in deployment.instances if i.zone == ZONE]
    if not await restart_in_turn(deployment, in_zone):
        record.write("not-ready")
        return 2
    await usual_load(record, deployment, host, in_zone, number)
    record.write("round", number=number + 1)
    home = home_of(deployment)
    others = [i for i in in_zone if i is not home]
    seen = len(CutWorker.tokens)
    if standins.TROUBLE:
        begin_trouble(record, network, deployment, home)
        if not await wait_for(lambda: len(CutWorker.tokens) > seen, STORE_DOWN_S):
            record.write("no-other-home")
        else:
            record.write("other-home", token=CutWorker.tokens[-1])
        await asyncio.sleep(0.3)

    async def caller(job):
        key = f"{number:04x}{0xa0 + job:012x}"
        entry = others[job % len(others)]
        record.write("post", job=key, to=entry.name)
        status, body = await standins.http(
            entry.callers, "POST", deployment.PREFIX + key, host,
            standins.job([(1, [])], TASK_SECONDS))
        record.write("answer", job=key, status=status, body=body)
        return status

    answers = await asyncio.gather(*(caller(n) for n in range(JOBS)))
    if not standins.TROUBLE and any(status != 200 for status in answers):
        return 2
    return standins.check_twice(record, deployment.runs())


async def play(record):
    network = Network()
    CutWorker.network = network
    deployment = standins.Deployment(record, list(WORKERS), 3, WORKERS)
    network.instances = deployment.instances
    deployment.store = PausingStore()
    deployment.workers = [CutWorker(record, w.identity, w.zone, w.service)
                          for w in deployment.workers]
    proxies = []
    for instance in deployment.instances:
        proxy = PeerProxy(network, instance)
        await proxy.listen(deployment.ports.take())
        deployment.store.proxies[instance.peers] = proxy.port
        proxies.append(proxy)
    try:
        await deployment.start()
        if not await deployment.ready():
            return 2
        for number in range(ROUNDS):
            code = await play_round(record, network, deployment, number)
            if code != 0:
                return code
        return 0
    finally:
        network.heal()
        deployment.store.up.set()
        for proxy in proxies:
            proxy.server.close()
        await deployment.end()


if __name__ == "__main__":
    standins.main(HERE, play)
