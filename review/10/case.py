"""Orders are left unanswered and carried out late; some workers crash behind a cut and are back under their
ids. Does a task start whose job was refused as not run?"""

import asyncio
import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from fleet import Fleet, Record, Runs, Worker, main, now, random, request  # noqa: E402

LATE_SHARE = 0.5  # kinds: "applied_late: a share x (.5) of the orders"
LATE_S = (2.0, 12.0)  # "... carried out 2 to 12 s later"
LATE_FOR_S = 5.0
CUT_FOR_S = 5.0  # the site's node_cut: 5.5, share 0.17
TASK_MS = 200


async def case(trouble):
    record = Record("record.txt")
    fleet, runs, luck = Fleet(record), Runs(record, {"cpu": 14000, "mem_mb": 64}), random.Random()
    answers = collections.defaultdict(list)
    try:
        await fleet.start_store()
        fleet.configure([fleet.route("parts")],
                        [{"name": "parts", "admission_check": True, "max_connections": 64, "health_path": "/health"}])
        # Four of 24 workers are of kind x.
        for zone in fleet.zones:
            for i in range(8):
                kind = "x" if zone == fleet.zones[0] and i < 4 else "a"
                await fleet.add_worker(Worker(f"w-{zone}-{i}", zone, "parts", runs.watch, cpu=14000, born=True,
                                              labels=(kind, "r1-1")), True)
        few = [worker for worker in fleet.workers if "x" in worker.labels]
        for zone in fleet.zones:
            for i in range(2):
                await fleet.daemon(f"edge-{zone}-{i}", zone).start()
        fleet.begin()
        if not await fleet.wait_ready():
            print("the daemons don't get ready")
            return 2
        await asyncio.sleep(1)

        async def late(path, order):
            if path != "/api/run-start" or luck.random() >= LATE_SHARE:
                return None
            seconds = luck.uniform(*LATE_S)
            record(f"the start of {order['task']} run {order['run_id']} gets no answer and is carried out "
                   f"{seconds:.2f} s later")
            return seconds

        async def submit(i):
            """As clients do: again after no answer, a 502 or a 504, to any daemon."""
            key = f"{i:016x}"
            body = {"spec": f"{TASK_MS} text", "best_effort": True, "steps": [
                {"task_count": 1, "cpu": 14000, "mem_mb": 64, "estimated_ms": TASK_MS, "required_label": "x"}]}
            for _ in range(5):
                daemon = luck.choice(fleet.daemons)
                record("sent", key, daemon.name)
                try:
                    answer = await request(daemon.ports[0], "POST", f"/parts/{key}", body,
                                           {"Host": fleet.HOST, "Deadline-Ms": "1500"}, timeout=1.5)
                except (OSError, EOFError, asyncio.TimeoutError) as error:
                    answer = (0, repr(error))
                record("answered", key, answer)
                answers[key].append(answer[0])
                if answer[0] not in (0, 502, 504):
                    return
                await asyncio.sleep(1.3)

        async def reborn(worker):
            """Crashes behind a cut and starts again there, under its id."""
            worker.proxy.set_mode("silent")
            worker.state = "cut"
            record("cut off", worker.id)
            await asyncio.sleep(0.2)
            worker.crash()
            record("crashed", worker.id)
            await asyncio.sleep(0.5)
            worker.live()
            worker.up = True
            await worker.http.start(worker.port)
            record("back behind the cut", worker.id)
            await asyncio.sleep(CUT_FOR_S - 0.7)
            worker.proxy.set_mode("pass")
            worker.state = "ready"
            fleet.register(worker)
            record("the cut is over", worker.id)

        if trouble:
            for worker in fleet.workers:
                worker.meddle = late
        late_until = now() + LATE_FOR_S
        jobs, i = [], 0
        while now() < late_until:
            i += 1
            jobs.append(asyncio.create_task(submit(i)))
            await asyncio.sleep(0.025)
        for worker in fleet.workers:
            worker.meddle = None
        if trouble:
            await asyncio.gather(*[reborn(worker) for worker in few])
        await asyncio.gather(*jobs)
        await asyncio.sleep(3)
        begun = {task.split(".")[0]: at for at, task, _ in runs.starts}
        refused = [key for key, statuses in answers.items() if all(s in (429, 503) for s in statuses)]
        broken = [key for key in refused if key in begun]
        served = sum(1 for statuses in answers.values() if statuses[-1] == 200)
        print(f"{len(jobs)} jobs: {served} served, {len(refused)} refused at every attempt, of which {len(broken)} "
              "started")
        for key in broken[:5]:
            print(f"  {key}: {answers[key]}, starts: "
                  f"{[(round(at - record.begun, 2), task, worker) for at, task, worker in runs.starts if key in task]}")
        if not trouble and served == 0:
            return 2
        return 1 if broken else 0
    finally:
        await fleet.end()


main(case)
