"""One sanitized daemon with real upstreams: odd HTTP on its three HTTP ports, frames on the peers' port, hang-ups, beside jobs that wait."""
import asyncio, json, os, random, resource, signal, subprocess, sys, tempfile, time
D, S, seed, secs = sys.argv[1], sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
nofile = int(sys.argv[5]) if len(sys.argv) > 5 else 0
R = random.Random(seed); base = 17000 + (seed % 50) * 40
tmp = tempfile.mkdtemp(prefix="fuzz-")
conf = f"""[instance]
id = "one"
failure_domain = "north"
cores = 1
memory_mb = 64
[listen]
callers = "127.0.0.1:{base+20}"
balancer = "127.0.0.1:{base+21}"
peers = "127.0.0.1:{base+22}"
metrics = "127.0.0.1:{base+23}"
[store]
address = "127.0.0.1:{base}"
[upstreams]
longest_lease_ms = 1000
[stop]
grace_s = 6
"""
open(tmp + "/c.toml", "w").write(conf)
st = subprocess.Popen([S, "--store-port", str(base), "--first-worker-port", str(base + 1), "--workers", "4", "--zones", "north"], stdout=subprocess.DEVNULL)
time.sleep(0.5)
log = open(tmp + "/log", "wb")
def low():
    if nofile: resource.setrlimit(resource.RLIMIT_NOFILE, (nofile, nofile))
d = subprocess.Popen([D, "--platform"], env={"JASMINEDYKE_BOOT": tmp + "/c.toml", "ASAN_OPTIONS": "detect_leaks=1:quarantine_size_mb=32", "UBSAN_OPTIONS": "print_stacktrace=1"}, stdout=log, stderr=log, preexec_fn=low)
n = {"conn": 0, "jobs": 0, "ok": 0}
def body(ms=60, tasks=1): return json.dumps({"spec": str(ms), "best_effort": True, "steps": [{"task_count": tasks, "cpu": 1000, "mem_mb": 64, "estimated_ms": ms}]}).encode()
def job(extra=b"", ms=60, cut=False):
    b = body(ms, R.choice([1, 1, 3])); k = b"%016x" % R.getrandbits(64)
    return b"POST /parts/" + k + b" HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: " + R.choice([b"1500", b"1", b"-5", b"99999999999999999999", b"9223372036854775807", b"x"]) + b"\r\n" + extra + b"Content-Length: %d\r\n\r\n" % len(b) + b
def chunked(b, trailer=b"", ext=b""):
    out = b""; i = 0
    while i < len(b):
        m = R.randint(1, 40); p = b[i:i+m]; out += b"%x%s\r\n" % (len(p), ext) + p + b"\r\n"; i += m
    return out + b"0\r\n" + trailer + b"\r\n"
def odd():
    k = b"%016x" % R.getrandbits(64); b = body()
    H = b"Host: desk.example\r\n"
    P = b"POST /parts/" + k + b" HTTP/1.1\r\n" + H
    return R.choice([
        lambda: job(), lambda: job(ms=800), lambda: job(ms=300) * R.randint(2, 6), lambda: job(ms=200) + os.urandom(R.choice([3, 300, 20000, 70000])),
        lambda: job(b"Expect: 100-continue\r\n"), lambda: P + b"Expect: 100-continue\r\nContent-Length: 50\r\n\r\n",
        lambda: P + b"Expect: nonsense\r\nContent-Length: 5\r\n\r\nhello", lambda: P + b"Content-Length: -5\r\n\r\n", lambda: P + b"Content-Length: 99999999999999999999\r\n\r\n",
        lambda: P + b"Content-Length: 9223372036854775807\r\n\r\n" + b"x" * 5000,
        lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b), lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b, b"A: b\r\nC: d\r\n"), lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b, b"bad trailer\r\n"),
        lambda: P + b"Transfer-Encoding: chunked\r\nContent-Length: 7\r\n\r\n" + chunked(b), lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + b"-1\r\n", lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + b"7fffffffffffffff\r\nabc", lambda: P + b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n", lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + b"\r\n" * 9,
        lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b, b"T: " + b"x" * 70000 + b"\r\n"),
        lambda: P + b"Transfer-Encoding: chunked\r\n\r\n" + b"8000\r\n" + b"y" * 0x8000 + b"\r\n" + b"100000\r\n" + b"z" * 0x100000,
        lambda: b"HEAD /parts/ HTTP/1.1\r\n" + H + b"\r\n", lambda: (b"HEAD /api/ready HTTP/1.1\r\n" + H + b"\r\n") * 5, lambda: b"CONNECT desk.example:80 HTTP/1.1\r\n" + H + b"\r\n", lambda: b"OPTIONS * HTTP/1.1\r\n" + H + b"\r\n", lambda: b"GET * HTTP/1.1\r\n" + H + b"\r\n",
        lambda: b"GET http://desk.example/parts/ HTTP/1.1\r\n" + H + b"\r\n", lambda: b"POST http://desk.example/parts/" + k + b" HTTP/1.1\r\n" + H + b"Content-Length: %d\r\n\r\n" % len(b) + b, lambda: b"GET http:///// HTTP/1.1\r\n\r\n", lambda: b"GET //////a HTTP/1.1\r\nHost:\r\n\r\n", lambda: b"GET  HTTP/1.1\r\n\r\n", lambda: b"GET HTTP/1.1\r\n\r\n", lambda: b"GET / HTTP/9.9\r\n\r\n", lambda: b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" * 3, lambda: b"GET /\r\n\r\n", lambda: b"\r\n\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        lambda: b"GET /parts/ HTTP/1.1\r\nHost: a\r\n b\r\n c\r\nX\r\n: y\r\n\r\n", lambda: b"GET / HTTP/1.1\r\n folded\r\n\r\n", lambda: b"GET /%00%ff\xff\xfe?\xff HTTP/1.1\r\nHost: \xff\xfe:1\r\n\r\n", lambda: b"GET / HTTP/1.1\r\nHost: " + b"h" * 17000 + b"\r\n\r\n", lambda: b"GET /" + b"p" * 17000 + b" HTTP/1.1\r\n\r\n", lambda: b"GET /" + b"/" * 15000 + b" HTTP/1.1\r\nHost: desk.example\r\n\r\n",
        lambda: b"GET / HTTP/1.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n" + os.urandom(200), lambda: b"DELETE /parts/" + k + b" HTTP/1.1\r\n" + H + b"Content-Length: 3\r\n\r\nabc", lambda: b"PUT /parts/" + k + b" HTTP/1.1\r\n" + H + b"Content-Length: 3\r\n\r\nabc", lambda: b"TRACE / HTTP/1.1\r\n\r\n", lambda: b"PATCH / HTTP/1.1\r\nContent-Length: 1\r\n\r\na", lambda: os.urandom(R.randint(1, 3000)),
        lambda: P + b"Content-Length: 700000\r\n\r\n" + b"{" * 700000, lambda: P + b"Content-Length: 400000\r\n\r\n" + b"[" * 400000, lambda: P + b"Content-Length: %d\r\n\r\n" % 40000 + b'{"steps":' + b'[' * 39991,
        lambda: job(b"Connection: close\r\n"), lambda: job(b"Connection: Upgrade\r\n"), lambda: job(b"Content-Length: 3\r\n"), lambda: b"GET /metrics HTTP/1.1\r\n\r\n" * R.randint(1, 30),
        lambda: P + b"Content-Length: 90\r\n\r\n" + json.dumps({"spec": "5", "best_effort": True, "steps": [{"task_count": 1e300, "cpu": -1e300}]}).encode().ljust(90),
        lambda: (lambda t: P + b"Content-Length: %d\r\n\r\n" % len(t) + t)(json.dumps({"spec": "5", "best_effort": True, "steps": [{"task_count": R.choice([3, 3, 3, 10000]), "cpu": 1000000000, "mem_mb": 1000000000, "gpus": 1000000000, "estimated_ms": 9e17, "anti_affinity": 2**63 - 1}] * R.choice([1, 1, 1, 1, 1, 1, 1, 1, 1, 2])}).encode()),
    ])()
async def one(port, data):
    try:
        r, w = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 2)
    except Exception: return
    n["conn"] += 1
    try:
        how = R.random()
        if how < 0.5: w.write(data)
        else:
            i = 0
            while i < len(data):
                m = R.choice([1, 7, 100, 4000, 60000]); w.write(data[i:i+m]); i += m
                if R.random() < 0.3: await asyncio.sleep(R.choice([0, 0, 0.002]))
                if i > 300 and m < 100: w.write(data[i:]); break
        e = R.random()
        if e < 0.15: w.transport.abort(); return
        if e < 0.3: w.write_eof()
        if e < 0.5: await asyncio.sleep(R.choice([0, 0.01, 0.05, 0.2])); w.transport.abort(); return
        if e < 0.6:  await asyncio.sleep(0.03); w.write(odd())
        if e < 0.65: await asyncio.sleep(1.0); return   # never reads much
        try:
            got = await asyncio.wait_for(r.read(100000), 1.0)
            if b" 200 " in got[:20]: n["ok"] += 1
        except Exception: pass
    except Exception: pass
    finally:
        try: w.transport.abort()
        except Exception: pass
def frame():
    b = R.choice([os.urandom(R.randint(0, 1000)), b"", bytes(R.choice([0x1c, 0x19, 0xfc, 0xf9, 0x18, 0x7f, 0xff]) for _ in range(R.randint(1, 900))), b"\x1c" * 900])
    return len(b).to_bytes(4, "big") + b
async def main():
    end = time.monotonic() + secs
    async def worker():
        while time.monotonic() < end and d.poll() is None:
            p = R.choices([base+20, base+21, base+22, base+23], [10, 1, 1, 1])[0]
            await one(p, frame() * R.randint(1, 3) if p == base + 22 else odd())
    await asyncio.gather(*(worker() for _ in range(60)))
asyncio.run(main())
alive = d.poll() is None
try: status = open(f"/proc/{d.pid}/status").read() if alive else ""
except OSError: status = ""
rss = [l for l in status.splitlines() if l.startswith(("VmRSS", "VmHWM"))]
t = time.monotonic()
if alive:
    # still serves?
    import http.client
    c = http.client.HTTPConnection("127.0.0.1", base + 20, timeout=3); res = None
    try:
        time.sleep(1.5); c.request("POST", "/parts/%016x" % 77, body(), {"Host": "desk.example", "Deadline-Ms": "1500"}); res = c.getresponse().status
    except Exception as e: res = repr(e)
    cpu0 = sum(map(int, open(f"/proc/{d.pid}/stat").read().rsplit(")", 1)[1].split()[11:13])); time.sleep(2); cpu1 = sum(map(int, open(f"/proc/{d.pid}/stat").read().rsplit(")", 1)[1].split()[11:13]))
    print("serves", res, "idle cpu share", (cpu1 - cpu0) / 200)
    d.send_signal(signal.SIGTERM)
    try: d.wait(20)
    except subprocess.TimeoutExpired: print("DOES NOT END"); d.kill(); d.wait()
print("seed", seed, "alive", alive, "status", d.returncode, n, rss, tmp)
st.terminate(); st.wait()
log.close()
t = open(tmp + "/log", errors="replace").read()
i = max(t.find("ERROR: Add"), t.find("runtime error"), t.find("LeakSan"))
print(t[max(0, i-200):i+4000] if i >= 0 else "\n".join(t.splitlines()[-3:]))
