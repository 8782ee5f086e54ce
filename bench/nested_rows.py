# nested_rows.py BUILD: which row of the store ends a daemon, at which depth; a fresh daemon each.
import asyncio, os, subprocess, sys, tempfile, pathlib, json, base64, time

import starts_and_ends as sae
build = sys.argv[1]
async def post(port, path, body):
    r, w = await asyncio.open_connection("127.0.0.1", port)
    w.write(f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    return (await asyncio.wait_for(r.read(300), 30))[9:12].decode()
async def one(table, key, value, what):
    folder = tempfile.mkdtemp(prefix="nrow-")
    given = set(); P = sae.take_ports(given, "below", 12)[0]; C, B, E, M = sae.take_ports(given, "below", 4)
    plat = subprocess.Popen([f"{build}/fleet_standin", "--store-port", str(P), "--first-worker-port", str(P+1), "--workers", "2", "--zones", "domain-0"], stdout=subprocess.DEVNULL)
    pathlib.Path(folder, "e.toml").write_text(f'[instance]\nid = "entry-0"\nfailure_domain = "domain-0"\ncores = 1\nmemory_mb = 260\n[listen]\ncallers = "127.0.0.1:{C}"\nbalancer = "127.0.0.1:{B}"\npeers = "127.0.0.1:{E}"\nmetrics = "127.0.0.1:{M}"\n[store]\naddress = "127.0.0.1:{P}"\n[upstreams]\nlongest_lease_ms = 1000\n[stop]\ngrace_s = 6\n')
    log = open(f"{folder}/log", "wb")
    await asyncio.sleep(0.3)
    polls = []
    d = subprocess.Popen([f"{build}/jasminedyked", "--platform"], env=dict(os.environ, JASMINEDYKE_BOOT=f"{folder}/e.toml"), stdout=log, stderr=log)
    await asyncio.sleep(1.0)
    row = {"table": table, "part": "", "key": key, "value": base64.b64encode(value).decode()}
    status = await post(P, "/api/rows-tx", json.dumps({"writes": [row]}).encode())
    await asyncio.sleep(1.2); polls.append(d.poll())
    for _ in range(2):
        if d.poll() is None: break
        d = subprocess.Popen([f"{build}/jasminedyked", "--platform"], env=dict(os.environ, JASMINEDYKE_BOOT=f"{folder}/e.toml"), stdout=log, stderr=log)
        await asyncio.sleep(1.5); polls.append(d.poll())
    print(what, table, key, "tx", status, "bytes", len(value), "ends", polls, flush=True)
    if d.poll() is None: d.terminate(); d.wait(10)
    plat.terminate(); plat.wait()
async def main():
    for depth in [int(x) for x in sys.argv[2:]]:
        nest = b"[" * depth + b"]" * depth
        for table, key, value, what in (("servers", "x1", nest, "array"), ("servers", "x1", b'{"service":' + nest + b',"address":"127.0.0.1:1"}', "field"),
              ("op", "config2", nest, "array"), ("op", "evacuate/domain-9", nest, "array"), ("op", "config", nest, "array"), ("op", "config", b'{"x":' + nest + b'}', "field")):
            await one(table, key, value, f"depth={depth} {what}")
asyncio.run(main())
