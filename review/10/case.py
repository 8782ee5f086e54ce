"""Orders are left unanswered and carried out late; then some workers crash and are back under their ids. Does a
task start whose job was refused as not run?"""

import asyncio
import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from fleet import Fleet, Record, Runs, Worker, main, now, random  # noqa: E402

LATE_SHARE = 0.5  # kinds: "applied_late: a share x (.5) of the orders"
LATE_S = (2.0, 12.0)  # "... carried out 2 to 12 s later"
LATE_FOR_S = 5.0  # the site's: 5.5
CRASHED = 3  # of 24 workers; the site's srv_crash: 0.14
AWAY_S = 1.0  # the site's: up to 4.5
CRASHES, PAUSE_S = 4, 1.5
ROUNDS = 3
TASK_MS = 300


async def case(trouble):
    record = Record("record.txt")
    fleet, runs = Fleet(record), Runs(record, {"cpu": 2000, "mem_mb": 64})
    try:
        await fleet.start_store()
        fleet.configure([fleet.route("parts")],
                        [{"name": "parts", "admission_check": True, "max_connections": 64, "health_path": "/health"}])
        # Three of 24 workers are of kind x, which the jobs ask for.
        few = []
        for zone in fleet.zones:
            for i in range(8):
                is_x = zone == fleet.zones[0] and i < CRASHED
                worker = await fleet.add_worker(
                    Worker(f"w-{zone}-{i}", zone, "parts", runs.watch, cpu=16000, born=True,
                           labels=("x" if is_x else "a", "r1-1")), True)
                few += [worker] if is_x else []
        for zone in fleet.zones:
            for i in range(2):
                await fleet.daemon(f"edge-{zone}-{i}", zone).start()
        fleet.begin()
        if not await fleet.wait_ready():
            print("the daemons don't get ready")
            return 2
        await asyncio.sleep(1)

        late_orders = collections.Counter()

        def hold_back_for(worker):
            def hold_back(path, order):
                if path != "/api/run-start" or random.random() >= LATE_SHARE:
                    return None
                late_orders[worker.id] += 1
                seconds = random.uniform(*LATE_S)
                record(f"held back for {seconds:.2f} s: the start of {order['task']} run {order['run_id']} on "
                       f"{worker.id}")
                return seconds
            return hold_back

        body = {"spec": f"{TASK_MS} text", "best_effort": True, "steps": [
            {"task_count": 1, "cpu": 2000, "mem_mb": 64, "estimated_ms": TASK_MS, "required_label": "x"}]}
        jobs, number = {}, 0
        for _ in range(ROUNDS):
            for worker in fleet.workers:
                worker.way.hold_back = hold_back_for(worker) if trouble else None
            late_until = now() + LATE_FOR_S
            while now() < late_until:
                number += 1
                key, daemon = f"{number:016x}", fleet.daemons[number % len(fleet.daemons)]
                jobs[key] = asyncio.create_task(fleet.submit(key, body, daemon, 1500))
                await asyncio.sleep(0.01)
            for worker in fleet.workers:
                worker.way.hold_back = None
            for _ in range(CRASHES if trouble else 0):
                await asyncio.gather(*[fleet.crash(worker, AWAY_S) for worker in few])
                await asyncio.sleep(PAUSE_S)
            # Until the last order has arrived.
            await asyncio.sleep(max(0.0, late_until + LATE_S[1] + 1 - now()))
        await asyncio.gather(*jobs.values())
        statuses = {key: job.result() for key, job in jobs.items()}
        started = {task.split(".")[0] for _, task, _ in runs.starts}
        refused = [key for key, each in statuses.items() if all(status in (429, 503) for status in each)]
        broken = [key for key in refused if key in started]
        served = sum(each[-1] == 200 for each in statuses.values())
        print(f"{len(jobs)} jobs, {sum(late_orders.values())} orders held back; {served} served, {len(refused)} refused "
              f"at every attempt, of which {len(broken)} started")
        for key in broken[:5]:
            starts = [(round(at - record.begun, 2), task, worker) for at, task, worker in runs.starts if key in task]
            print(f"  {key}: {statuses[key]}, starts: {starts}")
        if not trouble and (served == 0 or not refused):
            return 2
        return 1 if broken else 0
    finally:
        await fleet.end()


main(case)
