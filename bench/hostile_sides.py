#!/usr/bin/env python3
"""Hostile upstreams, store and callers beside signals; scratch, seeded by --seeds."""
import asyncio, contextlib, os, random, re, sys, signal, shutil, pathlib, json, collections

import soak, starts_and_ends as sae
from disturbances import KINDS, CALLERS_PORT, BALANCER_PORT, METRICS_PORT

RATE = float(os.environ.get("HOSTILE_RATE", "0.12"))
STORE_RATE = float(os.environ.get("HOSTILE_STORE_RATE", "0.08"))
DONE = collections.Counter()

def split_reply(data):
    head, sep, body = data.partition(b"\r\n\r\n")
    return (head, body) if sep else (data, None)

def chunked(body, luck, bad=None):
    out, at = b"", 0
    while at < len(body):
        n = min(len(body) - at, luck.choice([1, 2, 7, 100, 5000]))
        size = b"%x" % n
        if bad == "size" and luck.random() < 0.3:
            size = luck.choice([b"-1", b"ffffffffffffffff", b"zz", b"", b"0x10", b"7fffffff", b"%x;ext=1" % n, b" %x" % n, b"0" * 300 + b"%x" % n, b"8000000000000000"])
        out += size + b"\r\n" + body[at:at + n] + (b"" if bad == "crlf" and luck.random() < 0.3 else b"\r\n")
        at += n
    end = b"0\r\n\r\n"
    if bad == "trailer":
        end = b"0\r\n" + luck.choice([b"X: y\r\n" * 3, b" folded\r\n", b"X" * 40000 + b": y\r\n", b"Content-Length: 5\r\n", b"\r\n\r\n"]) + b"\r\n"
    return out + end

HEADS = [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 102 Processing\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
         b"HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello", b"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
         b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"]
FIRST = [b"HTTP/1.1 204 No Content", b"HTTP/1.1 304 Not Modified", b"HTTP/1.0 200 OK", b"HTTP/0.9 200 OK", b"HTTP/2.0 200 OK", b"HTTP/1.1 0 x",
         b"HTTP/1.1 999 x", b"HTTP/1.1 abc x", b"HTTP/1.1 200", b"HTTP/1.1", b"", b"HTTP/1.1 -5 x", b"ICY 200 OK", b"HTTP/1.1 200 " + b"x" * 70000,
         b"HTTP/1.1 503 Service Unavailable", b"HTTP/1.1 429 Too Many", b"HTTP/1.1 307 x\r\nLocation: /y", b"\x00\x01\x02"]
EXTRA = [b" folded first", b"no colon", b": empty", b"X: " + b"y" * 30000, b"Connection: close", b"Connection: keep-alive, close", b"Content-Length: 7",
         b"Content-Length: -1", b"Content-Length: 99999999999999999999", b"Content-Length: 18446744073709551615", b"Transfer-Encoding: chunked", b"X: a\r\n b\r\n\tc", b"\x00: \x00", b"Connection: upgrade"]
EARLY = [b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", b"HTTP/1.1 503 Service",
         b"HTTP/1.1 429 x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", b"HTTP/1.1 100 Continue\r\n\r\n" * 40, b"\r\n", b"x"]

def mangle(data, luck):
    """(bytes, name)."""
    head, body = split_reply(data)
    first, _, rest = head.partition(b"\r\n")
    nolen = re.sub(rb"(?i)\r\ncontent-length:[^\r]*", b"", head)
    body_ = body if body is not None else b""
    kind = luck.choice(["informational", "many_informational", "twice", "extra_bytes", "chunked", "chunk_size", "chunk_crlf", "chunk_trailer", "first_line", "header",
                        "length_more", "length_less", "no_length", "lf", "garbage", "pipelined", "empty_lines", "both_lengths"])
    te = nolen + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    return {
        "informational": lambda: luck.choice(HEADS) + data,
        "many_informational": lambda: luck.choice(HEADS[:3]) * luck.choice([2, 10, 400]) + data,
        "twice": lambda: data + data,
        "extra_bytes": lambda: data + luck.choice([b"x", b"\r\n", b"\r\n\r\n", bytes(50000), b"HTTP/1.1 200"]),
        "chunked": lambda: te + chunked(body_, luck),
        "chunk_size": lambda: te + chunked(body_, luck, "size"),
        "chunk_crlf": lambda: te + chunked(body_, luck, "crlf"),
        "chunk_trailer": lambda: te + chunked(body_, luck, "trailer"),
        "first_line": lambda: luck.choice(FIRST) + b"\r\n" + rest + b"\r\n\r\n" + body_,
        "header": lambda: first + b"\r\n" + luck.choice(EXTRA) + b"\r\n" + rest + b"\r\n\r\n" + body_,
        "length_more": lambda: nolen + b"\r\nContent-Length: %d\r\n\r\n" % (len(body_) + luck.choice([1, 100, 10**7, 2**31, 2**63 - 1])) + body_,
        "length_less": lambda: nolen + b"\r\nContent-Length: %d\r\n\r\n" % luck.choice([0, 1, max(0, len(body_) - 1)]) + body_,
        "no_length": lambda: nolen + b"\r\n\r\n" + body_,
        "lf": lambda: data.replace(b"\r\n", b"\n"),
        "garbage": lambda: bytes(luck.randrange(256) for _ in range(luck.choice([1, 30, 3000]))),
        "pipelined": lambda: data + luck.choice(EARLY),
        "empty_lines": lambda: b"\r\n" * luck.choice([1, 2, 50]) + data,
        "both_lengths": lambda: head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body_, luck),
    }[kind](), kind

class Hostile:
    def __init__(self, port, target, name, rate, seed):
        self.port, self.target, self.rate, self.on = port, target, rate, True
        self.luck, self.writers, self.server = random.Random(f"{name} {seed}"), set(), None

    def set_mode(self, mode):
        if mode == "reset":
            for w in list(self.writers): w.transport.abort()

    def refuse(self):
        if self.server: self.server.close()
        self.server = None

    async def start(self):
        self.server = self.server or await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def end(self, writer, luck):
        how = luck.choice(["abort", "close", "eof", "nothing", "late_abort", "late_eof"])
        DONE[how] += 1
        if how.startswith("late"): await asyncio.sleep(luck.choice([0.0005, 0.002, 0.05]))
        with contextlib.suppress(OSError, RuntimeError):
            {"abort": writer.transport.abort, "close": writer.close, "eof": writer.write_eof, "nothing": lambda: None,
             "late_abort": writer.transport.abort, "late_eof": writer.write_eof}[how]()

    async def slowly(self, writer, data, luck):
        way = luck.choice(["whole", "whole", "two", "bytes", "pieces"])
        if way == "whole" or len(data) < 2: cuts = []
        elif way == "two": cuts = [luck.randrange(1, len(data))]
        elif way == "bytes": cuts = list(range(1, min(len(data), 40)))
        else: cuts = sorted({luck.randrange(1, len(data)) for _ in range(6)})
        at = 0
        for cut in [*cuts, len(data)]:
            writer.write(data[at:cut]); at = cut
            if cut != len(data): await asyncio.sleep(luck.choice([0, 0, 0.0005, 0.003, 0.02]))

    async def serve(self, reader, writer):
        luck = random.Random(self.luck.random())
        if self.on and luck.random() < self.rate / 3:
            what = luck.choice(["abort", "early", "eof", "mute"])
            DONE["accept_" + what] += 1
            if what == "early": writer.write(luck.choice(EARLY))
            if what == "mute": await asyncio.sleep(luck.uniform(0, 2))
            if what == "eof":
                with contextlib.suppress(OSError): writer.write_eof()
                await asyncio.sleep(luck.uniform(0, 0.1))
            if what != "early" or luck.random() < 0.7:
                if what != "early" : writer.transport.abort()
                else: await self.end(writer, luck)
                if what != "early": return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort(); return
        self.writers |= {writer, up_writer}

        async def requests():
            with contextlib.suppress(OSError, RuntimeError):
                while data := await reader.read(luck.choice([100, 4096, 65536])):
                    if self.on and luck.random() < self.rate / 2:
                        what = luck.choice(["early", "early_end", "abort", "wait", "drop"])
                        DONE["request_" + what] += 1
                        if what.startswith("early"):
                            writer.write(luck.choice(EARLY))
                            if what == "early_end": await self.end(writer, luck)
                        if what == "abort": writer.transport.abort(); break
                        if what == "wait": await asyncio.sleep(luck.choice([0.001, 0.05, 1.0]))
                        if what == "drop": continue
                    up_writer.write(data); await up_writer.drain()
            up_writer.close()

        async def replies():
            with contextlib.suppress(OSError, RuntimeError):
                while data := await up_reader.read(luck.choice([4096, 65536, 1 << 20])):
                    if self.on and luck.random() < self.rate:
                        if luck.random() < 0.35:
                            DONE["cut"] += 1
                            await self.slowly(writer, data[:luck.randrange(len(data) + 1)], luck)
                            await self.end(writer, luck)
                            continue
                        data, kind = mangle(data, luck)
                        DONE[kind] += 1
                        await self.slowly(writer, data, luck)
                        if luck.random() < 0.3: await self.end(writer, luck)
                        continue
                    writer.write(data); await writer.drain()
            writer.close()
        await asyncio.gather(requests(), replies(), return_exceptions=True)
        self.writers -= {writer, up_writer}

def request(luck, job):
    body = json.dumps({"spec": "60", "best_effort": luck.random() < 0.8, "steps": [{"task_count": 4, "cpu": 10000, "mem_mb": 64, "estimated_ms": 60}]}).encode()
    if luck.random() < 0.1: body = body[:luck.randrange(len(body))]
    if luck.random() < 0.03: body += b" " * luck.choice([20000, 300000, 3000000])
    method = luck.choice([b"POST"] * 8 + [b"GET", b"GET", b"DELETE", b"PUT", b"HEAD", b"OPTIONS", b"PATCH", b"CONNECT", b"TRACE", b"FOO", b"MOVE"])
    path = luck.choice([b"/parts/" + job] * 8 + [b"/parts/", b"/api/ready", b"/metrics", b"*", b"http://desk.example/parts/" + job, b"/parts/" + b"a" * 30000, b"/%zz", b"//", b"", b"/parts/" + job + b"?a=b#c"])
    version = luck.choice([b"HTTP/1.1"] * 12 + [b"HTTP/1.0", b"HTTP/0.9", b"HTTP/2.0", b"", b"HTTP/1.1 x"])
    headers = [b"Host: desk.example", b"Deadline-Ms: " + luck.choice([b"1500", b"200", b"0", b"-1", b"x", b"99999999999999999999"])]
    if luck.random() < 0.15: headers.append(luck.choice(EXTRA + [b"Expect: 100-continue", b"Expect: x", b"Connection: close", b"Connection: keep-alive"]))
    if luck.random() < 0.15:
        headers.append(b"Transfer-Encoding: chunked"); body = chunked(body, luck, luck.choice([None, None, "size", "crlf", "trailer"]))
    else:
        headers.append(b"Content-Length: %d" % (len(body) + luck.choice([0] * 12 + [-1, 1, 1000])))
    luck.shuffle(headers)
    return method + b" " + path + b" " + version + b"\r\n" + b"\r\n".join(headers) + b"\r\n\r\n" + body

class HostileSeries(sae.Series):
    def __init__(self, args, seed, folder):
        super().__init__(args, seed, folder)
        given = set(sum(self.ports, []))
        args.port = sae.take_ports(given, "below", 2 + soak.ADVERTISE_OFFSET + args.upstreams)[0]

    async def start(self):
        a = self.args
        for program in ("jasminedyked", "fleet_standin"):
            shutil.copy(f"{a.build}/{program}", self.folder)
        self.platform = await asyncio.create_subprocess_exec(
            f"{self.folder}/fleet_standin", "--store-port", str(a.port), "--first-worker-port", str(a.port + 1),
            "--workers", str(a.upstreams // a.domains), "--advertise-offset", str(soak.ADVERTISE_OFFSET), "--zones", *self.domains, stdout=asyncio.subprocess.PIPE)
        self.hostiles = [Hostile(a.port + soak.ADVERTISE_OFFSET + i, a.port + i, i, STORE_RATE if i == 0 else RATE, self.seed) for i in range(1 + a.upstreams)]
        self.proxy = self.hostiles[0]
        for each in self.hostiles: await each.start()
        self.watcher = asyncio.create_task(self.watch())
        self.paths = [self.settings(n) for n in self.lives]
        self.texts = [pathlib.Path(p).read_text() for p in self.paths]
        for n in self.lives: self.begin(self.again(n, self.luck.uniform(0, 0.3)))
        self.bad = [asyncio.create_task(self.bad_caller(i)) for i in range(int(os.environ.get("BAD", "12")))]

    async def bad_caller(self, i):
        luck = random.Random(f"bad {i} {self.seed}")
        n = 0
        while not self.ending and self.hostiles[0].on:
            n += 1
            await asyncio.sleep(luck.expovariate(float(os.environ.get("BADRATE", "8"))))
            job = b"%08x%08x" % (0xbad00000 + i, n)
            port = self.port(luck.randrange(len(self.lives)), luck.choice([CALLERS_PORT] * 8 + [BALANCER_PORT, METRICS_PORT]))
            with contextlib.suppress(OSError, RuntimeError, asyncio.TimeoutError):
                reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
                data = b"".join(request(luck, job) for _ in range(luck.choice([1, 1, 1, 2, 5, 30])))
                if luck.random() < 0.4: data = data[:luck.randrange(len(data) + 1)]
                await self.hostiles[0].slowly(writer, data, luck)
                how = luck.choice(["read", "read", "abort", "eof", "eof_read", "sleep_abort", "sleep_more", "sleep_eof"])
                DONE["caller_" + how] += 1
                if how.startswith("sleep"): await asyncio.sleep(luck.choice([0.001, 0.02, 0.06, 0.1, 0.4]))
                if how.startswith("eof") or how == "sleep_eof": writer.write_eof()
                if how == "sleep_more": writer.write(request(luck, job) * luck.choice([1, 3]))
                if how in ("read", "eof_read", "sleep_more", "sleep_eof"): await asyncio.wait_for(reader.read(1 << 16), luck.choice([0.05, 0.5, 2]))
                writer.transport.abort()

    async def disturbances(self):
        await super().disturbances()
        for each in self.hostiles:
            each.on = False; each.set_mode("reset")
        await asyncio.sleep(1.5)

    async def check_idle(self):
        await super().check_idle()
        reports = {}
        for path in pathlib.Path(self.folder).glob("entry-*.log"):
            text = path.read_text(errors="replace")
            for mark in ("Sanitizer", "runtime error:", "event=terminating", "event=ended signal", "assert", "event=libevent"):
                if mark in text: reports[f"{path.name}:{mark}"] = [l for l in text.splitlines() if mark in l][:2]
        print(f"seed={self.seed} hostile={sum(DONE.values())} reports={reports}", flush=True)

sae.Series = HostileSeries
if __name__ == "__main__":
    try:
        sae.main()
    finally:
        print("hostile:", dict(DONE.most_common()))
