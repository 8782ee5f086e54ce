"""Open connections to the store go silent, while new ones work; right after, the operator adds a queue and
removes another one. Do all daemons know it in time?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from fleet import BOUNDS, Fleet, Record, Runs, Worker, main, now, request  # noqa: E402

CONTACT_S = BOUNDS["contact_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000
# The daemons' moments in touch count from so much after the bound, to be on the safe side.
SLACK_S = 0.1


async def case(trouble):
    record = Record("record.txt")
    fleet, runs = Fleet(record), Runs(record)
    services = [{"name": "parts", "admission_check": True, "max_connections": 64, "health_path": "/health"}]
    refused, run_on = [], []
    try:
        await fleet.start_store(proxy=True)
        fleet.configure([fleet.route("parts")], services)
        for zone in fleet.zones:
            for i in range(3):
                await fleet.add_worker(Worker(f"w-{zone}-{i}", zone, "parts", runs.watch))
        for zone in fleet.zones:
            for i in range(2):
                await fleet.daemon(f"edge-{zone}-{i}", zone).start()
        fleet.begin()
        if not await fleet.wait_ready():
            print("the daemons don't get ready")
            return 2
        await asyncio.sleep(5)
        served = 0
        for i in range(3):
            # One change, and another one 0.2 s later.
            old, new = f"old-{i}", f"new-{i}"
            fleet.configure([fleet.route("parts"), fleet.route(old)], services, fleet.config_version + 3)
            await asyncio.sleep(0.1)
            silent_at = now()
            if trouble:
                fleet.store_proxy.hush()
                record("the open connections to the store are silent from now on; new ones work")
            await asyncio.sleep(0.1)
            fleet.configure([fleet.route("parts"), fleet.route(new)], services, fleet.config_version + 2)
            record("queue", new, "is new, queue", old, "is removed")
            confirmed_at = now()
            # From here on all daemons are in touch again.
            from_s = max(silent_at + CONTACT_S, confirmed_at + APPLY_S) + SLACK_S

            async def submit(daemon, name, number):
                nonlocal served
                key = f"{i:04x}{number:03x}{name == new:01x}{daemon.ports[0]:08x}"
                body = {"spec": "20 text", "best_effort": True, "steps": [
                    {"task_count": 1, "cpu": 1000, "mem_mb": 64, "estimated_ms": 20}]}
                at = now()
                status, answer = await request(daemon.ports[0], "POST", f"/{name}/{key}", body,
                                               {"Host": fleet.HOST, "Deadline-Ms": "1500"}, timeout=3)
                record(f"job {key} on queue {name} at {daemon.name}, sent {at - confirmed_at:.2f} s after the "
                       f"confirmation and {at - silent_at:.2f} s after the silence began: {status} {answer}")
                seen = (at - confirmed_at, at - silent_at, daemon.name)
                if name == new and status == 404:
                    refused.append(seen)
                if name == old and f"{key}.0.0.0" in runs.done:
                    run_on.append(seen)
                served += name == new and status == 200

            await asyncio.sleep(from_s - now())
            for number in range(20):
                await asyncio.gather(*[submit(daemon, name, number) for daemon in fleet.daemons for name in (old, new)])
                await asyncio.sleep(0.05)
            await asyncio.sleep(4)
        print(f"{served} jobs served; later than {APPLY_S} s after the confirmation, by daemons in touch: "
              f"{len(refused)} refused with 404 on a queue that is there, {len(run_on)} run on a queue that is not")
        for after_confirmation, after_silence, name in refused[:3] + run_on[:3]:
            print(f"  {name}: {after_confirmation:.2f} s after the confirmation, {after_silence:.2f} s after the "
                  "silence began")
        if not trouble and served < 360:
            return 2
        return 1 if refused or run_on else 0
    finally:
        await fleet.end()


main(case)
