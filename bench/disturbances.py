"""What bench/starts_and_ends.py does to its daemons: a row in KINDS for each kind.

Each is played as (series, luck, instance); all of its choices come from `luck`. A
kind that ends a process tells in `series.next` how the next one is started. Kinds that
start the whole system are played by bench/served_again.py, which checks what follows.
"""

import asyncio
import contextlib
import dataclasses
import os
import signal
import socket
import struct
import time

ROUTES = 350
# A process that is still being loaded can't hold signals.
LOADING_S = 0.02
RESTART_S = 0.3
CALLERS_PORT, BALANCER_PORT, PEERS_PORT, METRICS_PORT = range(4)


@dataclasses.dataclass
class Start:
    """How an instance's next process is started."""

    descriptors: int = 0
    sink: str = "file"
    signals: list = dataclasses.field(default_factory=list)  # (seconds, signal)
    while_loading: bool = False
    wait_s: float = RESTART_S


def restart(series, number, luck, **how):
    """At once or a little later, by either signal."""
    series.next[number] = Start(wait_s=luck.choice([0, 0, 0.05, RESTART_S]), **how)
    series.send(number, signal.SIGCONT)
    series.send(number, luck.choice([signal.SIGKILL, signal.SIGTERM]))


async def kill(series, luck, number):
    series.next[number] = Start(wait_s=luck.choice([0, 0, RESTART_S]))
    series.send(number, signal.SIGKILL)


async def term(series, luck, number):
    series.next[number] = Start(wait_s=luck.choice([0, 0, RESTART_S]))
    series.send(number, luck.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGINT]))


async def hup(series, luck, number):
    for _ in range(luck.choice([1, 1, 5, 50])):
        series.send(number, signal.SIGHUP)
        await asyncio.sleep(luck.choice([0, 0.001, 0.02]))


async def burst(series, luck, number):
    """Within milliseconds of each other, sometimes during a stop."""
    for _ in range(luck.randint(2, 8)):
        series.send(number, luck.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGSTOP, signal.SIGTERM]))
        await asyncio.sleep(luck.choice([0, 0.001, 0.005]))
        series.send(number, signal.SIGCONT)


def started_with_signals(series, luck, number, first_s, last_s, while_loading=False):
    which = [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM]
    signals = [(luck.uniform(first_s, last_s), luck.choice(which)) for _ in range(luck.randint(1, 4))]
    restart(series, number, luck, signals=signals, while_loading=while_loading)


async def early(series, luck, number):
    started_with_signals(series, luck, number, 0, 0.3)


async def loading(series, luck, number):
    started_with_signals(series, luck, number, 0, LOADING_S, while_loading=True)


async def freeze(series, luck, number):
    series.send(number, signal.SIGSTOP)
    await asyncio.sleep(luck.uniform(0.2, 4.0))
    series.send(number, signal.SIGCONT)


async def herd(series, luck, _):
    which = luck.choice([signal.SIGKILL, signal.SIGTERM])
    for number in series.lives:
        series.next[number] = Start(wait_s=luck.uniform(0, RESTART_S))
        series.send(number, signal.SIGCONT)
        series.send(number, which)


def restart_or_reload(series, number, luck):
    if luck.random() < 0.5:
        restart(series, number, luck)
    else:
        series.send(number, signal.SIGHUP)


async def settings_in_place(series, luck, number):
    """Written in two steps while it is read."""
    text = series.texts[number]
    cut = luck.randrange(len(text))
    restart_or_reload(series, number, luck)
    for _ in range(5):
        with open(series.paths[number], "w") as file:
            file.write(text[:cut])
            file.flush()
            await asyncio.sleep(luck.choice([0, 0.002, 0.02]))
            file.write(text[cut:])
        await asyncio.sleep(0.02)


async def settings_replaced(series, luck, number):
    restart_or_reload(series, number, luck)
    for _ in range(20):
        with open(series.paths[number] + ".new", "w") as file:
            file.write(series.texts[number])
        os.replace(series.paths[number] + ".new", series.paths[number])
        await asyncio.sleep(0.005)


async def storm(series, luck, _):
    for _ in range(12):
        await series.configure(ROUTES)
        await asyncio.sleep(0.33)


def take_store(series, mode):
    if mode == "refuse":
        series.proxy.refuse()
        series.proxy.set_mode("reset")
    else:
        series.proxy.set_mode(mode)


async def bring_store_back(series):
    series.proxy.set_mode("pass")
    await series.proxy.start()


async def store(series, luck, _):
    take_store(series, luck.choice(["refuse", "silent", "reset", "delay", "one_way", "held"]))
    await asyncio.sleep(luck.uniform(0.5, 4.5))
    await bring_store_back(series)


async def restart_all(series, luck, _):
    await end_all(series, luck)
    await start_all(series, luck)


async def restart_all_no_store(series, luck, _):
    """Back once the instances are up; away since their ends or since before."""
    mode, away_s = luck.choice(["refuse", "reset", "held", "silent"]), luck.uniform(2, 6)
    if luck.random() < 0.5:
        take_store(series, mode)
    await end_all(series, luck)
    take_store(series, mode)
    series.note("store", mode)
    await start_all(series, luck)
    end = time.monotonic() + away_s
    while time.monotonic() < end:
        # Another kind may have brought it back.
        if series.proxy.mode == "pass":
            take_store(series, mode)
        await asyncio.sleep(0.02)
    await bring_store_back(series)


async def end_all(series, luck):
    """None is started before all have ended."""
    which = luck.choice([signal.SIGKILL, signal.SIGTERM])
    for number in series.lives:
        series.gates[number] += 1
        series.next[number] = Start(wait_s=0)
        series.send(number, signal.SIGCONT)
        series.send(number, which)
    while any(series.lives.values()):
        await asyncio.sleep(0.01)


async def start_all(series, luck):
    """At once, or one after the other in a short time."""
    spread_s, begun = luck.choice([0, RESTART_S, 2]), time.monotonic()
    for wait_s, number in sorted((luck.uniform(0, spread_s), number) for number in series.lives):
        await asyncio.sleep(max(0, begun + wait_s - time.monotonic()))
        series.gates[number] -= 1


async def crash(series, luck, _):
    """Of a sixth of the upstreams."""
    for worker in luck.sample(range(series.args.upstreams), series.args.upstreams // 6):
        await series.call(series.args.port + 1 + worker, "/standin/crash", {"away_ms": luck.choice([0, 400, 2000])})


async def port_taken(series, luck, number, how=None):
    """For a second, while it starts: by a listener or an outgoing connection."""
    series.gates[number] += 1
    try:
        restart(series, number, luck)
        while series.lives[number]:
            await asyncio.sleep(0.01)
        holder = hold(series, luck.choice(series.ports[number]), how or luck.choice(["listener", "outgoing"]))
    finally:
        series.gates[number] -= 1
    await asyncio.sleep(1)
    for each in holder:
        each.close()


def hold(series, port, how):
    with contextlib.suppress(OSError):
        held = socket.socket()
        # Past what the instance's connections have left; the holder lets nobody share.
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", port))
        if how == "listener":
            held.listen()
            return [held]
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        held.connect(("127.0.0.1", series.args.port + 1))
        if how == "ended":
            held.close()
            return []
        # Leaves nothing behind.
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return [held]
    series.note("port not held", port, how)
    return []


async def port_ended(series, luck, number):
    """By an outgoing connection that has just ended, for a minute."""
    await port_taken(series, luck, number, "ended")


async def connections(series, luck, _):
    """Of another program; they end, and their ports stay in use."""
    held = []
    for i in range(400):
        held.append(socket.create_connection(("127.0.0.1", series.args.port + 1 + i % series.args.upstreams)))
        if i % 20 == 0:
            await asyncio.sleep(0.005)
    await asyncio.sleep(luck.uniform(0, 2))
    for each in held:
        each.close()


async def descriptors(series, luck, number):
    """Few, while callers hold as many idle connections."""
    limit = luck.choice([64, 64, 256, 1024, 4100])
    restart(series, number, luck, descriptors=limit)
    await asyncio.sleep(1)
    await hold_connections(series, number, min(limit + 20, 400), b"", luck.uniform(1, 4))


async def slow(series, luck, number):
    await hold_connections(series, number, 30, b"POST /parts/0000 HTTP/1.1\r\nHost: desk", luck.uniform(0.5, 3))


async def unread(series, luck, number):
    """Pipelined requests whose answers nobody reads."""
    request = b"GET /parts/ HTTP/1.1\r\nHost: desk.example\r\n\r\n"
    await hold_connections(series, number, 5, request * 2000, luck.uniform(0.5, 3))


async def huge(series, luck, number):
    head = b"POST /parts/00000000000000ff HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 62914560\r\n\r\n"
    await hold_connections(series, number, 4, head + bytes(60 << 20), luck.uniform(1, 3))


async def hold_connections(series, number, count, data, seconds):
    async def one():
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            _, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", series.port(number, CALLERS_PORT)), 1)
            writer.write(data)
            await asyncio.sleep(seconds)
            writer.transport.abort()

    await asyncio.gather(*(one() for _ in range(count)))


async def log_sink(series, luck, number):
    restart(series, number, luck, sink=luck.choice(["slow", "full", "gone"]))


@dataclasses.dataclass(frozen=True)
class Kind:
    play: object  # Plays it once: (series, luck, instance).
    weight: float
    of_all: bool = False
    # Whether it is played unless asked for; some take an instance away for long.
    on: bool = True
    # Starts the whole system: one at a time, each until jobs are served again.
    whole: bool = False


KINDS = {
    "kill": Kind(kill, 3),
    "term": Kind(term, 3),
    "hup": Kind(hup, 3),
    "burst": Kind(burst, 2),
    "early": Kind(early, 2),
    "loading": Kind(loading, 1),
    "freeze": Kind(freeze, 1),
    "herd": Kind(herd, 0.5, of_all=True),
    "settings_in_place": Kind(settings_in_place, 1),
    "settings_replaced": Kind(settings_replaced, 1),
    "storm": Kind(storm, 0.5, of_all=True),
    "store": Kind(store, 1, of_all=True),
    "crash": Kind(crash, 1, of_all=True),
    "connections": Kind(connections, 0.5, of_all=True),
    "port_taken": Kind(port_taken, 1),
    "port_ended": Kind(port_ended, 0.5, on=False),
    "descriptors": Kind(descriptors, 1),
    "slow": Kind(slow, 1),
    "unread": Kind(unread, 1),
    "huge": Kind(huge, 0.3),
    "log_sink": Kind(log_sink, 1),
    # Drawn apart from the others, so that these stay the same for a seed.
    "restart_all": Kind(restart_all, 0, of_all=True, on=False, whole=True),
    "restart_all_no_store": Kind(restart_all_no_store, 0, of_all=True, on=False, whole=True),
    # Of the whole run: the first two instances have one address of metrics.
    "shared_metrics": Kind(None, 0, of_all=True, on=False),
}
