#!/usr/bin/env python3
"""Measures the slopes that docs/CAPACITY.md is worked out from, on loopback."""

import http.client
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402


def deployment(**changes):
    with open("conf/railway.json") as file:
        d = json.load(file)
    d.update(upstream_delay_ms=0, **changes)
    with open("/tmp/slopes-deployment.json", "w") as file:
        json.dump(d, file)
    return d


def plain_load(fleet, rate, tasks, seconds=5):
    cpu = [e.process.cpu_seconds() for e in fleet.entries]
    out = subprocess.run(
        [fleet.binary("jasminedyke_load"), "--quiet", "--deployment",
         "/tmp/slopes-deployment.json", "--starts-per-second", str(rate),
         "--tasks-per-job", str(tasks), "--seconds", str(seconds)] + fleet.load_arguments(),
        capture_output=True, text=True, check=True)
    result = json.loads(out.stdout)
    used = sum(e.process.cpu_seconds() for e in fleet.entries) - sum(cpu)
    return result, used


def cpu_per_task():
    fleet = fleets.Fleet(deployment(), domains=1, entries=1, upstreams=16)
    print(f"idle memory {fleet.entries[0].process.memory_kib()} KiB")
    for tasks in (1, 10, 50):
        for rate in (2500, 5000, 10000):
            if tasks == 1 and rate > 5000:
                continue
            result, used = plain_load(fleet, rate, tasks)
            added = result["groups"]["all"]["added_ms"]
            print(f"jobs of {tasks:2} tasks, {rate:5} starts/s: "
                  f"{used / result['seconds']:.3f} cores, "
                  f"{1e6 * used / result['tasks_complete']:.0f} us/task, "
                  f"added ms p50 {added['p50']:.2f} p99 {added['p99']:.2f}")
    fleet.stop()


def memory_per_waiting_task():
    fleet = fleets.Fleet(deployment(), domains=1, entries=1, upstreams=1)
    entry = fleet.entries[0]
    fleets.fetch(entry.operators, "/admin/v1/classes/long", "PUT",
                 {"target_ms": 3600000}, fleets.ADMIN_TOKEN)
    before = entry.process.memory_kib()
    body = {"class": "long", "timeout_ms": 20000,
            "tasks": [{"payload": '{"run_ms":60000}'}] * 450}
    waiting = 0
    for _ in range(100):
        connection = http.client.HTTPConnection("127.0.0.1", entry.callers)
        connection.request("POST", "/v1/jobs", json.dumps(body),
                           {"Authorization": "Bearer token-of-lahore"})
        connections.append(connection)
        waiting += 450
    time.sleep(3)
    waiting = entry.metrics()["jasminedyke_waiting_tasks"]
    grown = entry.process.memory_kib() - before
    print(f"waiting tasks {waiting:.0f}: {1024 * grown / waiting:.0f} bytes each "
          f"(payload {len(body['tasks'][0]['payload'])} bytes)")
    connections.clear()
    fleet.stop()


connections = []


def idle_cost(upstreams_listed, entries):
    """An idle domain whose platform lists many instances that are not there."""
    fleet = fleets.Fleet(deployment(), domains=1, entries=entries, upstreams=2)
    extra = [{"id": f"far-{i}", "address": f"127.0.0.1:{9}", "role": "upstream",
              "failure_domain": f"far-{i // 70}", "state": "live", "slots": 8,
              "connections": 60, "memory_mb": 65536} for i in range(upstreams_listed)]
    fleet.instances += extra
    fleet.publish_instances()
    time.sleep(3)
    names = ("jasminedyke_peer_control_bytes_total{direction=\"out\"}",
             "jasminedyke_peer_control_bytes_total{direction=\"in\"}")
    reads = json.loads(fleets.fetch(fleet.platform_port, "/standin/counters"))["reads"]
    cpu = [e.process.cpu_seconds() for e in fleet.entries]
    sent = [sum(e.metrics()[n] for n in names) for e in fleet.entries]
    time.sleep(10)
    used = (sum(e.process.cpu_seconds() for e in fleet.entries) - sum(cpu)) / entries / 10
    sent = (sum(sum(e.metrics()[n] for n in names) for e in fleet.entries) - sum(sent)) / entries / 10
    reads = json.loads(fleets.fetch(fleet.platform_port, "/standin/counters"))["reads"] - reads
    memory = max(e.process.memory_kib() for e in fleet.entries)
    print(f"idle, {entries} entry instances, {upstreams_listed + 2} upstreams listed: "
          f"{100 * used:.2f} % of a core, {memory} KiB, {sent:.0f} B/s in and out, "
          f"{reads / entries / 10:.1f} platform reads/s each")
    fleet.stop()


def cost_of_changes(entries):
    fleet = fleets.Fleet(deployment(), domains=1, entries=entries, upstreams=2)
    names = ("jasminedyke_peer_control_bytes_total{direction=\"out\"}",)
    time.sleep(2)
    before = sum(e.metrics()[n] for e in fleet.entries for n in names)
    started = time.time()
    for i in range(50):
        fleets.fetch(fleet.entries[i % entries].operators, "/admin/v1/classes/x", "PUT",
                     {"target_ms": 100 + i}, fleets.ADMIN_TOKEN)
    took = time.time() - started
    spent = sum(e.metrics()[n] for e in fleet.entries for n in names) - before
    print(f"50 changes through {entries} instances: {1000 * took / 50:.0f} ms each until in force "
          f"on all, {spent / 50 / entries:.0f} bytes sent by each daemon for each")
    fleet.stop()


if __name__ == "__main__":
    cpu_per_task()
    memory_per_waiting_task()
    for listed, entries in ((0, 1), (560, 1), (0, 9), (560, 9)):
        idle_cost(listed, entries)
    cost_of_changes(3)
    cost_of_changes(9)
