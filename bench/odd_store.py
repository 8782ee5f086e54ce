"""Trial: one daemon beside a store that answers oddly. usage: odd.py BINARY seconds [modes] [--memory MB]"""
import socket, threading, sys, time, subprocess, os, json, re, tempfile, base64, http.client
binary, secs = sys.argv[1], float(sys.argv[2])
modes = sys.argv[3].split(",")
memory = sys.argv[4] if len(sys.argv) > 4 else "260"
HEAD = b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
val = base64.b64encode(b"{}").decode()
big = ('{"row_version":5,"has_more":false,"rows":[' + ",".join(['{"key":"k%d","v":1}' % i for i in range(400001)]) + ']}').encode()
seven = ('{"row_version":5,"has_more":false,"rows":[' + ",".join(['{"key":"k%d"}' % i for i in range(300001)]) + ']}').encode()
rising = [0]
def body(mode, path):
    rising[0] += 1
    if mode == "rows": return 200, big
    if mode == "rows7": return 200, seven
    if mode == "nest[": return 200, b"[" * 400000
    if mode == "nesta": return 200, b'{"a":' * 100000
    if mode == "nestrow": return 200, b'{"row_version":5,"rows":' + b"["*200000 + b"]"*200000 + b"}"
    if mode == "nestvalue": return 200, ('{"row_version":%d,"rows":[{"key":"homes","row_version":%d,"value":"%s"}]}' % (rising[0], rising[0], base64.b64encode(b"["*300000).decode())).encode()
    if mode == "500": return 500, b"{}"
    if mode == "html": return 200, b"<html>no</html>"
    if mode == "null": return 200, b"null"
    if mode == "empty": return 200, b"{}"
    if mode == "emptyrows": return 200, b'{"row_version":5,"rows":[],"has_more":false}'
    if mode == "410": return (410 if "feed" in path else 200), b'{"row_version":5,"rows":[],"has_more":false}'
    if mode == "same": return 200, ('{"row_version":5,"has_more":true,"rows":[{"key":"k","row_version":5,"value":"%s"}]}' % val).encode()
    if mode == "rising": return 200, ('{"row_version":%d,"has_more":true,"rows":[{"key":"k%09d","row_version":5,"value":"%s"}]}' % (rising[0], rising[0], val)).encode()
    if mode == "412": return (412 if "tx" in path else 200), b'{"row_version":5,"rows":[],"has_more":false}'
    raise SystemExit(mode)
calls = {}
def serve(c, mode):
    f = c.makefile("rb")
    try:
        while True:
            line = f.readline()
            if not line: return
            n = 0
            while True:
                h = f.readline()
                if h in (b"\r\n", b""): break
                if h.lower().startswith(b"content-length:"): n = int(h.split(b":")[1])
            f.read(n)
            path = line.split()[1].decode()
            kind = path.split("?")[0] + ":" + "".join(re.findall(r"table=(\w+)", path))
            calls[kind] = calls.get(kind, 0) + 1
            s, b = body(mode, path)
            c.sendall(HEAD % (s, len(b)) + b)
    except OSError: pass
def accept(l, mode):
    while True:
        try: c, _ = l.accept()
        except OSError: return
        threading.Thread(target=serve, args=(c, mode), daemon=True).start()
def free():
    s = socket.socket(); s.bind(("127.0.0.1", 0)); p = s.getsockname()[1]; s.close(); return p
for mode in modes:
    calls.clear()
    l = socket.socket(); l.bind(("127.0.0.1", 0)); l.listen(50)
    threading.Thread(target=accept, args=(l, mode), daemon=True).start()
    ports = [free() for _ in range(4)]
    d = tempfile.mkdtemp()
    open(d + "/s.toml", "w").write(f'[instance]\nid = "one"\nfailure_domain = "north"\ncores = 1\nmemory_mb = {memory}\n[listen]\ncallers = "127.0.0.1:{ports[0]}"\nbalancer = "127.0.0.1:{ports[1]}"\npeers = "127.0.0.1:{ports[2]}"\nmetrics = "127.0.0.1:{ports[3]}"\n[store]\naddress = "127.0.0.1:{l.getsockname()[1]}"\n[upstreams]\nlongest_lease_ms = 1000\n[stop]\ngrace_s = 6\n')
    p = subprocess.Popen([binary, "--platform"], env={"JASMINEDYKE_BOOT": d + "/s.toml"}, stdout=open(d + "/log", "w"), stderr=subprocess.STDOUT)
    time.sleep(secs)
    st = open(f"/proc/{p.pid}/stat").read().rsplit(")", 1)[1].split()
    cpu = (int(st[11]) + int(st[12])) / 100 / secs
    hwm = int(re.search(r"VmHWM:\s+(\d+)", open(f"/proc/{p.pid}/status").read())[1]) / 1024
    seen = dict(calls)
    p.send_signal(9); p.wait(); l.close()
    log = open(d + "/log").read().splitlines()
    kinds = {}
    for x in log:
        e = re.search(r"event=(\w+)", x); e = e[1] if e else "?"; kinds[e] = kinds.get(e, 0) + 1
    print(f"{mode:10} core {cpu:.2f} peak {hwm:.0f} MB calls {sum(seen.values())} {seen}\n     log {kinds}", flush=True)
