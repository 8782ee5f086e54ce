"""Whether jobs are served again, as bench/starts_and_ends.py checks it.

After all disturbances each instance must serve one within the recovery time, and be
ready for the balancer. After a start of the whole system each failure domain must: counted from when the store
answers and no kind in force holds an instance of the domain down.
"""

import asyncio
import collections
import contextlib
import random
import time

from disturbances import BALANCER_PORT, KINDS

# What operators expect of a deployment.
RECOVER_S = 12.0
PAUSE_S = (0.5, 3.0)


async def serves(series, number, job):
    # ValueError and LookupError: the answer can't be read.
    with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError, ValueError, LookupError):
        return await series.post(number, f"{series.seed % 2**32:08x}{job}") == "succeeded"
    return False


async def is_ready(series, number):
    """By what the balancer is told."""
    with contextlib.suppress(OSError, asyncio.TimeoutError, EOFError):
        reader, writer = await asyncio.open_connection("127.0.0.1", series.port(number, BALANCER_PORT))
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
        finally:
            writer.transport.abort()
    return False


async def check_instance(series, number):
    end, attempt, served = time.monotonic() + RECOVER_S, 0, False
    while time.monotonic() < end:
        attempt += 1
        served = served or await serves(series, number, f"f{number:03x}{attempt:04x}")
        if served and await is_ready(series, number):
            return
        await asyncio.sleep(0.3)
    if life := series.lives[number]:
        series.tell(life, "isn't ready" if served else "serves no job")
    else:
        series.told.append("not up")
        series.note("not up", number)


class WholeStarts:
    """Ends and starts of all instances, one after the other, beside the other kinds."""

    def __init__(self, series):
        self.series, self.count = series, 0
        self.names = [name for name in series.args.kinds if KINDS[name].whole]
        # The longest of each domain: counted as above, and from the last start and the store's return on.
        self.served_s, self.since_start_s = collections.Counter(), collections.Counter()

    async def play(self, end):
        """With luck of its own: what a seed plays besides stays the same."""
        luck = random.Random(f"whole starts {self.series.seed}")
        while self.names and time.monotonic() < end:
            await asyncio.sleep(luck.uniform(*PAUSE_S))
            await self.series.disturb(luck.choice(self.names), 0)
            await asyncio.gather(*(self.check_domain(i) for i in range(len(self.series.domains))))
            self.count += 1

    def held_down(self, numbers):
        proxy = self.series.proxy
        return proxy.mode != "pass" or not proxy.server or any(map(self.series.held_down, numbers))

    async def check_domain(self, domain):
        numbers = [number for number in self.series.lives if number % len(self.series.domains) == domain]
        began = since = time.monotonic()
        trials = [asyncio.create_task(self.try_until_served(number)) for number in numbers]
        try:
            while not (served := [trial.result() for trial in trials if trial.done()]):
                await asyncio.wait(trials, timeout=0.02, return_when=asyncio.FIRST_COMPLETED)
                if self.held_down(numbers):
                    since = time.monotonic()
                if time.monotonic() - since > RECOVER_S:
                    break
        finally:
            for trial in trials:
                trial.cancel()
        name, now = self.series.domains[domain], time.monotonic()
        self.served_s[name] = max(self.served_s[name], round(now - since, 2))
        self.since_start_s[name] = max(self.since_start_s[name], round(now - began, 2))
        self.series.note("served again" if served else "not served", name, f"after {now - since:.3f} s,",
                         f"{now - began:.3f} s since the start")
        if not served:
            self.tell(numbers, name)

    async def try_until_served(self, number):
        for attempt in range(2**28):
            if await serves(self.series, number, f"e{self.count % 256:02x}{number:02x}{attempt % 4096:03x}"):
                return number
            await asyncio.sleep(0.05)

    def tell(self, numbers, name):
        lives = [life for life in map(self.series.lives.get, numbers) if life]
        for life in lives:
            self.series.tell(life, "no request is served", domain=name)
        if not lives:
            self.series.told.append("no request is served")
            self.series.note("no request is served", name, "no instance is up")

    def missed(self):
        """Without a check nothing can be told."""
        return ["no start of the whole system was checked"] if self.names and not self.count else []

    def figures(self):
        if not self.names:
            return ""
        return (f"whole_starts={self.count} served_again_s={dict(sorted(self.served_s.items()))} "
                f"since_start_s={dict(sorted(self.since_start_s.items()))} ")
