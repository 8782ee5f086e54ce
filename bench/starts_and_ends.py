#!/usr/bin/env python3
"""Starts, ends and signals of real processes in seeded, overlapping series.

Runs daemons and a stand-in of the platform on loopback as bench/soak.py does, at the
size of a deployment under load, and disturbs them by the kinds in bench/disturbances.py.
As operators' platforms do, it starts a process again once it has ended. It tells, at
any time and for each process, with the kinds in force and the log's last lines:

- an end by itself: one that no signal asked for, or with another status than asked;
- no end within the grace period after SIGTERM;
- no answer on the balancer's or the metrics' port, or an address that is awaited, for longer than the contact time,
  while the process is not paused, stopping or waiting for a processor;
- memory over the limit;
- after all that: an instance that serves no job or isn't ready within the recovery time, or
  uses its processor's share while it has nothing to do;
- with --also restart_all restart_all_no_store, which end all instances and start them
  at once or in a short time, the latter while the store refuses or resets connections,
  holds bytes back or is silent: a failure domain that serves no job within the recovery
  time once the store is back and no kind in force holds an instance of it down.

Exit status 1 if anything was told. Only processes that it started are ended, by id.
"""

import argparse
import asyncio
import collections
import contextlib
import fcntl
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import served_again
import soak
from disturbances import BALANCER_PORT, KINDS, METRICS_PORT, RESTART_S, Start
from process_life import Life, holders

# Bounds: what operators expect of a deployment.
GRACE_S = 6.0
GRACE_SLACK_S = 1.0
CONTACT_S = 3.0
CPU_SHARE = 0.25

# The callers' jobs: milliseconds of a task, and how often.
JOBS = {60: 34.4, 200: 100.0, 900: 6.25}
LOADED = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}


# Those of outgoing connections are 32768 to 60999 by default; the kernel gives odd ones first.
PORTS = {"below": lambda: random.randrange(10000, 32000),
         "outgoing": lambda: random.randrange(32768, 61000),
         "kernel": lambda: 0}


def take_ports(given, source, count=1):
    """In a row; free now and not among those given before."""
    while True:
        first, sockets = PORTS[source](), []
        with contextlib.suppress(OSError), contextlib.ExitStack() as open_sockets:
            for i in range(count):
                sockets.append(open_sockets.enter_context(socket.socket()))
                sockets[-1].bind(("127.0.0.1", first + i))
            found = [each.getsockname()[1] for each in sockets]
            if given.isdisjoint(found):
                given.update(found)
                return found


class Series(soak.Soak):
    def __init__(self, args, seed, folder):
        super().__init__(args, seed, folder)
        self.luck = random.Random(f"series {seed}")
        self.lives = {number: None for number in range(args.instances)}
        self.next = collections.defaultdict(Start)
        # Instances that may not be started now.
        self.gates = collections.Counter()
        # Callers' connections that are kept.
        self.idle = collections.defaultdict(list)
        self.in_force, self.told, self.counts = [], [], collections.Counter()
        self.ends, self.by_kind = collections.Counter(), collections.Counter()
        self.peak_kib, self.idle_share, self.ending = 0, 0.0, False
        self.whole_starts = served_again.WholeStarts(self)
        given = set()
        args.port = take_ports(given, "below", 1 + soak.ADVERTISE_OFFSET)[0]
        self.ports = [sum((take_ports(given, args.ports) for _ in range(4)), []) for _ in self.lives]
        if "shared_metrics" in args.kinds and args.instances > 1:
            self.ports[1][METRICS_PORT] = self.ports[0][METRICS_PORT]

    def port(self, number, offset):
        return self.ports[number][offset]

    @contextlib.contextmanager
    def kind(self, name, number=None):
        """In force for all instances, or for one."""
        entry = [name, number, None]
        self.in_force.append(entry)
        self.counts[name] += 1
        self.note("begin", name, "all" if number is None else f"entry-{number}")
        try:
            yield
        finally:
            entry[2] = time.monotonic()

    def kinds_of(self, number):
        """Those of the last second too, as their effects come later."""
        since = time.monotonic() - 1
        now = [entry for entry in self.in_force if entry[2] is None or entry[2] > since]
        of_it = {name for name, whose, _ in now if whose == number}
        return sorted(of_it), sorted({name for name, whose, _ in now if whose != number})

    def tell(self, life, what, **details):
        """Once for each process."""
        if what in life.told:
            return
        life.told.add(what)
        its, beside = self.kinds_of(life.number)
        for name in its or ["none"]:
            self.by_kind[f"{what} / {name}"] += 1
        lines = life.text().strip().splitlines()[-3:]
        words = " ".join(f"{key}={value}" for key, value in details.items())
        asked = ",".join(f"{which.name}@{at * 1000:.0f}ms" for which, at in life.asked[-6:])
        line = (f"seed={self.seed} instance=entry-{life.number} what='{what}' {words} "
                f"age_s={time.monotonic() - life.began:.2f} asked={asked} kinds={','.join(its)} "
                f"beside={','.join(beside)} ports={self.ports[life.number]} "
                f"held={holders(life.text())} log={' | '.join(lines)!r}")
        self.told.append(what)
        self.note(line)
        print(line, flush=True)

    # Processes.

    def start_instance(self, number):
        how = self.next.pop(number, Start())
        log, reader = os.path.join(self.folder, f"entry-{number}.log"), None
        sink, log_begin = open(log, "ab"), os.path.getsize(log)
        if how.sink != "file":
            sink.close()
            reader, sink = (os.fdopen(end, mode, buffering=0) for end, mode in zip(os.pipe(), ("rb", "wb")))
            os.set_blocking(reader.fileno(), False)
            fcntl.fcntl(sink, fcntl.F_SETPIPE_SZ, 4096)
        limit = (how.descriptors, how.descriptors)
        child = subprocess.Popen(
            [f"{self.folder}/jasminedyked", "--platform"], stdin=subprocess.DEVNULL, stdout=sink,
            stderr=subprocess.STDOUT, env=dict(os.environ, JASMINEDYKE_BOOT=self.paths[number]),
            preexec_fn=(lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit))
            if how.descriptors else None)
        sink.close()
        self.lives[number] = life = Life(number, child, log, log_begin, reader)
        self.counts["starts"] += 1
        self.note("start", f"entry-{number}", f"pid={child.pid}", how)
        if reader is not None:
            self.begin(self.read_log(life, how.sink))
        for seconds, which in how.signals:
            asyncio.get_running_loop().call_later(seconds, self.send_to, life, which, how.while_loading)

    async def read_log(self, life, how):
        """Slowly, not at all, or not any more."""
        await asyncio.sleep(0.1)
        if how == "gone":
            life.reader.close()
        while how == "slow" and life.child.returncode is None:
            life.read_log(256)
            await asyncio.sleep(0.2)

    async def again(self, number, wait_s):
        await asyncio.sleep(wait_s)
        while self.gates[number]:
            await asyncio.sleep(0.005)
        if not self.ending:
            self.start_instance(number)

    def on_end(self, life):
        life.read_log(65536)
        reason = life.end_reason()
        self.lives[life.number] = None
        self.note("ended", f"entry-{life.number}", life.child.returncode, reason or "as asked")
        if reason:
            self.ends[reason] += 1
            self.tell(life, f"end: {reason}", status=life.child.returncode)
        if not self.ending:
            wait_s = RESTART_S if reason else self.next[life.number].wait_s
            self.begin(self.again(life.number, wait_s))

    async def supervise(self):
        while not self.ending or any(self.lives.values()):
            for life in [life for life in self.lives.values() if life]:
                if life.child.poll() is not None:
                    self.on_end(life)
                    continue
                stops_for = time.monotonic() - max(life.stop_at or time.monotonic(), life.free_since)
                if stops_for > GRACE_S + GRACE_SLACK_S and not life.paused:
                    self.tell(life, "no end after SIGTERM")
                    life.send(signal.SIGKILL)
            await asyncio.sleep(0.01)

    async def look(self):
        while not self.ending:
            await asyncio.sleep(0.25)
            for life in [life for life in self.lives.values() if life]:
                # Without a line of its memory once it has ended.
                with contextlib.suppress(OSError, IndexError):
                    life.look()
                self.peak_kib = max(self.peak_kib, life.peak_kib)
                if life.peak_kib > self.args.memory_mb * 1024:
                    self.tell(life, "memory", kib=life.peak_kib)

    async def probe(self, number, offset, path):
        """How long it's unanswered, or an address awaited, less what the process waits for a processor."""
        what = f"no answer: {path}"
        while not self.ending:
            life = self.lives[number]
            with contextlib.suppress(OSError, EOFError, asyncio.TimeoutError):
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self.port(number, offset)), 1)
                try:
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n".encode())
                    answer = await asyncio.wait_for(reader.read(), 1)
                    if answer and b"_address_awaited{" not in answer and life:
                        life.answered[what] = time.monotonic(), life.waited_s()
                finally:
                    writer.transport.abort()
            if life and life is self.lives[number] and not (life.paused or life.stop_at):
                with contextlib.suppress(OSError):
                    since, waited = life.answered.get(what, (life.began, 0))
                    if since < life.free_since:
                        since, waited = life.answered[what] = life.free_since, life.waited_s()
                    silent = time.monotonic() - since - (life.waited_s() - waited)
                    if silent > CONTACT_S and not self.gates[number]:
                        self.tell(life, what, silent_s=f"{silent:.2f}")
            await asyncio.sleep(0.3)

    def send(self, number, which, while_loading=False):
        """Once the process is loaded, unless asked otherwise: before that it can't hold signals."""
        if life := self.lives[number]:
            self.send_to(life, which, while_loading)

    def send_to(self, life, which, while_loading):
        if which in LOADED and not while_loading and not life.handles(which):
            asyncio.get_running_loop().call_later(0.002, self.send_to, life, which, False)
            return
        self.note(which.name, f"entry-{life.number}")
        life.send(which)

    def held_down(self, number):
        """By a kind: it is about to end or to be started, or may not be, or is paused."""
        life = self.lives[number]
        return bool(self.gates[number] or number in self.next or life and (life.paused or life.stop_at))

    # The series.

    async def start(self):
        for program in ("jasminedyked", "fleet_standin"):
            shutil.copy(f"{self.args.build}/{program}", self.folder)
        self.platform = await asyncio.create_subprocess_exec(
            f"{self.folder}/fleet_standin", "--store-port", str(self.args.port),
            "--first-worker-port", str(self.args.port + 1),
            "--workers", str(self.args.upstreams // self.args.domains), "--zones", *self.domains,
            stdout=asyncio.subprocess.PIPE)
        self.proxy = soak.Proxy(self.args.port + soak.ADVERTISE_OFFSET, self.args.port)
        await self.proxy.start()
        self.watcher = asyncio.create_task(self.watch())
        self.paths = [self.settings(number) for number in self.lives]
        self.texts = [pathlib.Path(path).read_text() for path in self.paths]
        for number in self.lives:
            self.begin(self.again(number, self.luck.uniform(0, RESTART_S)))

    async def callers(self):
        for i in range(2**28):
            await asyncio.sleep(random.expovariate(self.args.per_s))
            luck = random.Random(f"caller {i} {self.seed}")
            run_ms = luck.choices(list(JOBS), JOBS.values())[0]
            whose = i % self.args.callers
            self.jobs += 1
            # A fifth of the callers close each connection.
            self.begin(self.submit(
                f"{self.seed % 2**32:08x}{i:08x}", luck,
                lambda n, ms=run_ms, c=whose: {"run_ms": ms, "idle": self.idle[c, n] if c % 5 else None}))

    async def disturb(self, name, number):
        row = KINDS[name]
        luck = random.Random(f"{name} {self.counts[name]} {self.seed}")
        with self.kind(name, None if row.of_all else number):
            await row.play(self, luck, number)

    async def disturbances(self):
        names = [name for name in self.args.kinds if KINDS[name].weight]
        weights = [KINDS[name].weight for name in names]
        end = time.monotonic() + self.args.seconds
        begun = [asyncio.create_task(self.whole_starts.play(end))]
        while names and time.monotonic() < end:
            name = self.luck.choices(names, weights)[0]
            begun.append(asyncio.create_task(self.disturb(name, self.luck.randrange(len(self.lives)))))
            await asyncio.sleep(self.luck.expovariate(self.args.kinds_per_s))
        for each in await asyncio.gather(*begun, return_exceptions=True):
            if isinstance(each, Exception):
                self.note("disturbance failed", repr(each))
                self.counts["failed"] += 1
        self.told += self.whole_starts.missed()

    async def check_idle(self):
        await asyncio.sleep(2)
        before = {life: life.processor_s() for life in self.lives.values() if life}
        await asyncio.sleep(3)
        for life, processor_s in before.items():
            share = (life.processor_s() - processor_s) / 3 if life is self.lives[life.number] else 0
            self.idle_share = max(self.idle_share, share)
            if share > CPU_SHARE:
                self.tell(life, "uses the processor while idle", share=f"{share:.2f}")

    async def run(self):
        await self.start()
        paths = {BALANCER_PORT: "/api/ready", METRICS_PORT: "/metrics"}
        beside = [asyncio.create_task(each) for each in (
            self.supervise(), self.look(),
            *(self.probe(n, offset, path) for n in self.lives for offset, path in paths.items()))]
        callers = asyncio.create_task(self.callers())
        await self.disturbances()
        for number in self.lives:
            self.send(number, signal.SIGCONT)
        callers.cancel()
        await asyncio.gather(*(served_again.check_instance(self, number) for number in self.lives))
        await self.check_idle()
        self.ending = True
        for number in self.lives:
            self.send(number, signal.SIGTERM)
        await asyncio.gather(*beside, *self.tasks)
        self.promises.check_answers(self.answers)

    async def stop(self):
        self.ending = True
        for process in [*(life.child for life in self.lives.values() if life), self.platform]:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for _, writer in sum(self.idle.values(), []):
            writer.transport.abort()
        await self.platform.wait()
        self.watcher.cancel()
        self.proxy.refuse()


async def play(args, seed, total):
    run = Series(args, seed, tempfile.mkdtemp(prefix=f"ends-{seed}-"))
    try:
        await run.run()
    finally:
        await run.stop()
    for counter, of_run in zip(total, (run.counts, run.ends, run.by_kind, collections.Counter(run.told))):
        counter.update(of_run)
    answers = collections.Counter(outcomes[-1] for outcomes in run.answers.values() if outcomes)
    print(f"seed={seed} starts={run.counts['starts']} own_ends={dict(run.ends)} told={len(run.told)} "
          f"jobs={run.jobs} answers={dict(answers)} {run.whole_starts.figures()}idle_share={run.idle_share:.3f} "
          f"peak_mb={run.peak_kib / 1024:.0f} promises={run.promises.broken[:2]} logs={run.folder}", flush=True)
    return not run.told and not run.promises.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="1", help="N, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--upstreams", type=int, default=48)
    parser.add_argument("--callers", type=int, default=31)
    parser.add_argument("--per-s", type=float, default=140, help="jobs")
    parser.add_argument("--kinds-per-s", type=float, default=4, help="disturbances")
    parser.add_argument("--memory-mb", type=int, default=260, help="limit of a process")
    parser.add_argument("--ports", choices=PORTS, default="below",
                        help="of instances: below outgoing connections', among them, or as the kernel gives")
    parser.add_argument("--without", nargs="*", default=[], metavar="KIND", help=f"of {', '.join(KINDS)}")
    parser.add_argument("--also", nargs="*", default=[], metavar="KIND", help="those that are left out otherwise: "
                        + ", ".join(name for name, row in KINDS.items() if not row.on))
    parser.add_argument("--only", nargs="*", default=[], metavar="KIND")
    parser.add_argument("--build", default="build")
    args = parser.parse_args()
    args.kinds = args.only or [name for name, row in KINDS.items()
                               if (row.on or name in args.also) and name not in args.without]
    if unknown := {*args.kinds, *args.without} - set(KINDS):
        parser.error(f"no such kinds: {unknown}")
    first, _, last = args.seeds.partition("-")
    total = [collections.Counter() for _ in range(4)]
    # Asked to end, it ends what it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    good = [asyncio.run(play(args, seed, total)) for seed in range(int(first), int(last or first) + 1)]
    for name, counter in zip(("played", "own ends", "told by kind in force", "told"), total):
        print(f"{name}:", ", ".join(f"{key} {count}" for key, count in counter.most_common()) or "none")
    print(f"{sum(good)} passed, {len(good) - sum(good)} failed")
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
