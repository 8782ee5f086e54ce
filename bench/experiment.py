#!/usr/bin/env python3
"""Runs named experiments on real processes and says whether the promises held.

    experiment.py list
    experiment.py run NAME... [--deployment FILE] [--build DIR] [--seconds N]
                              [--load X] [--results DIR]
    experiment.py compare RESULT_A RESULT_B
    experiment.py plot RESULT...        (SVG beside each result, by gnuplot)

Each run writes one JSON result. Exit status 0: every promise held.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402


class Experiment:
    """A load on a fleet, and faults at their times."""

    def __init__(self, about, faults=(), spread="even", load=None, may_lose=False):
        self.about = about
        self.faults = faults  # (share of the run, function of the fleet)
        self.spread = spread
        self.load = load
        # Jobs of an entry instance that dies get no answer.
        self.may_lose = may_lose


def black_hole(fleet):
    fleet.set_faults(0, upstreams=[0], mode="fail_all")


def straggler(fleet):
    fleet.set_faults(0, upstreams=[0], mode="ok", slowness=4)


def heal(fleet):
    for domain in range(len(fleet.groups)):
        fleet.set_faults(domain, mode="ok")


def upstreams_die(fleet):
    """All upstreams of the last failure domain."""
    process, _ = fleet.groups[-1]
    process.signal(signal.SIGKILL)


def entry_dies(fleet):
    fleet.entries[0].process.signal(signal.SIGKILL)


def entry_pauses(fleet):
    fleet.entries[0].process.signal(signal.SIGSTOP)


def entry_continues(fleet):
    fleet.entries[0].process.signal(signal.SIGCONT)


def store_down(fleet):
    fleet.set_platform_faults(outage=True)


def store_back(fleet):
    fleet.set_platform_faults(outage=False)


def rolling_stop(fleet):
    """Replaces each entry instance in turn."""
    for entry in fleet.entries:
        status = entry.process.stop(60)
        fleet.exit_statuses.append(status)
        entry.start()
        entry.wait_ready()


def target_change(fleet):
    name = fleet.deployment["classes"][1]["class"]
    fleets.fetch(fleet.entries[0].operators, f"/admin/v1/classes/{name}", "PUT",
                 {"target_ms": 50, "idempotent": True}, fleets.ADMIN_TOKEN)


EXPERIMENTS = {
    "steady": Experiment("no faults"),
    "burst": Experiment("three times the capacity", load=3.0),
    "uneven": Experiment("all callers at one entry instance", spread="one"),
    "black-hole": Experiment("an upstream fails every task for a while",
                             ((0.3, black_hole), (0.7, heal))),
    "straggler": Experiment("an upstream runs four times slower", ((0.3, straggler),)),
    "upstreams-die": Experiment("all upstreams of one failure domain die",
                                ((0.4, upstreams_die),)),
    "entry-dies": Experiment("an entry instance is killed", ((0.4, entry_dies),), may_lose=True),
    "entry-pauses": Experiment("an entry instance is stopped and continued",
                               ((0.3, entry_pauses), (0.6, entry_continues))),
    "store-down": Experiment("the platform is away for most of the run",
                             ((0.2, store_down), (0.9, store_back))),
    "rolling-stop": Experiment("every entry instance is replaced in turn",
                               ((0.2, rolling_stop),)),
    "target-change": Experiment("one class's target is cut", ((0.4, target_change),)),
    "two-at-once": Experiment("the store goes away as an upstream turns into a black hole",
                              ((0.3, store_down), (0.3, black_hole), (0.7, heal),
                               (0.8, store_back))),
}


def run_faults(fleet, experiment, seconds, started):
    for share, act in experiment.faults:
        wait = started + share * seconds - time.time()
        time.sleep(max(0, wait))
        act(fleet)


def wasted(metrics):
    kinds = {}
    for values in metrics:
        for name, value in values.items():
            if name.startswith("jasminedyke_wasted_messages_total"):
                kind = name.split('"')[1]
                kinds[kind] = kinds.get(kind, 0) + value
    return kinds


def total(metrics, prefix):
    return sum(value for values in metrics for name, value in values.items()
               if name.startswith(prefix))


def collect(fleet):
    metrics, cpu, memory = [], 0, []
    for entry in fleet.entries:
        if entry.process.child.poll() is None:
            metrics.append(entry.metrics())
            cpu += entry.process.cpu_seconds()
            memory.append(entry.process.memory_kib())
    return metrics, cpu, memory


def run(name, options):
    experiment = EXPERIMENTS[name]
    with open(options.deployment) as file:
        deployment = json.load(file)
    fleet = fleets.Fleet(deployment, build=options.build)
    fleet.exit_statuses = []
    result_file = os.path.join(options.results, f"{deployment['name']}-{name}.json")
    os.makedirs(options.results, exist_ok=True)
    try:
        load = experiment.load or options.load
        command = [fleet.binary("jasminedyke_load"), "--deployment", options.deployment,
                   "--load", str(load), "--seconds", str(options.seconds),
                   "--spread", experiment.spread, "--result", result_file,
                   "--seed", str(options.seed)] + fleet.load_arguments()
        child = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        faults = threading.Thread(target=run_faults,
                                  args=(fleet, experiment, options.seconds, time.time()))
        faults.start()
        status = child.wait()
        faults.join()
        metrics, cpu, memory = collect(fleet)
        counters = fleet.upstream_counters() if name != "upstreams-die" else {}
    finally:
        fleet.exit_statuses += fleet.stop()
    with open(result_file) as file:
        result = json.load(file)
    tasks = max(1, result["tasks_complete"])
    result.update(
        experiment=name, deployment=deployment["name"], load=load,
        wasted_per_1000=1000 * sum(wasted(metrics).values()) / tasks, wasted=wasted(metrics),
        cpu_ms_per_1000_tasks=1e6 * cpu / tasks, memory_kib=max(memory),
        control_bytes_per_second=total(metrics, "jasminedyke_peer_control_bytes_total") / 2
        / result["seconds"] / max(1, len(metrics)),
        upstreams=counters, exit_statuses=fleet.exit_statuses)
    result["broken"] = broken_promises(experiment, result, status)
    with open(result_file, "w") as file:
        json.dump(result, file)
    report(result)
    return not result["broken"]


def broken_promises(experiment, result, status):
    broken = []
    if status != 0 or result["wrong_answers"]:
        broken.append("a caller got a wrong answer")
    if result["upstreams"].get("doubled"):
        broken.append("a task was started more than once")
    if result["no_answer"] and not experiment.may_lose:
        broken.append(f"{result['no_answer']} requests got no answer")
    dead = 1 if experiment.may_lose else 0
    if sum(1 for s in result["exit_statuses"] if s != 0) > dead:
        broken.append(f"exit statuses {result['exit_statuses']}")
    return broken


def report(result):
    everything = result["groups"].get("all", {})
    stretch = everything.get("stretch", {})
    print(f"{result['deployment']} {result['experiment']} load {result['load']}: "
          f"response/ideal p50 {stretch.get('p50', 0):.2f} p90 {stretch.get('p90', 0):.2f} "
          f"p99 {stretch.get('p99', 0):.2f} max {stretch.get('max', 0):.1f}; "
          f"{everything.get('complete', 0)} of {result['jobs']} complete, "
          f"refused {sum(result['refused'].values())}, failed {result['failed']}, "
          f"no answer {result['no_answer']}")
    print(f"  wasted/1000 {result['wasted_per_1000']:.2f} {result['wasted']}, "
          f"cpu {result['cpu_ms_per_1000_tasks']:.0f} ms/1000 tasks, "
          f"memory {result['memory_kib']} KiB, "
          f"control {result['control_bytes_per_second']:.0f} B/s a daemon, "
          f"doubled {result['upstreams'].get('doubled', '-')}")
    for line in result["broken"]:
        print("  BROKEN:", line)
    sys.stdout.flush()


def compare(first, second):
    results = [json.load(open(name)) for name in (first, second)]
    rows = [("stretch " + q, *(r["groups"]["all"]["stretch"][q] for r in results))
            for q in ("p50", "p90", "p99", "max")]
    for key in ("wasted_per_1000", "cpu_ms_per_1000_tasks", "memory_kib",
                "control_bytes_per_second"):
        rows.append((key, *(r[key] for r in results)))
    print(f"{'':28}{'A':>12}{'B':>12}{'B/A':>8}")
    for name, a, b in rows:
        print(f"{name:28}{a:12.2f}{b:12.2f}{b / a if a else 0:8.2f}")


def plot(name):
    with open(name) as file:
        result = json.load(file)
    data = name + ".tsv"
    with open(data, "w") as out:
        for at_ms, response_ms, stretch in result["timeline"]:
            out.write(f"{at_ms / 1000}\t{response_ms}\t{stretch}\n")
    script = (f"set terminal svg size 900,400; set output '{name}.svg'; set logscale y; "
              f"set xlabel 'arrival, s'; set ylabel 'response / ideal'; set key off; "
              f"set title '{result['deployment']} {result['experiment']}'; "
              f"plot '{data}' using 1:3 with points pt 7 ps 0.3")
    subprocess.run(["gnuplot", "-e", script], check=True)
    os.remove(data)
    print(name + ".svg")


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("action", choices=["list", "run", "compare", "plot"])
    parser.add_argument("names", nargs="*")
    parser.add_argument("--deployment", default="conf/railway.json")
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--load", type=float, default=0.6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--results", default="results")
    options = parser.parse_args()
    if options.action == "list":
        for name, experiment in EXPERIMENTS.items():
            print(f"{name:16}{experiment.about}")
        return 0
    if options.action == "compare":
        compare(*options.names)
        return 0
    if options.action == "plot":
        for name in options.names:
            plot(name)
        return 0
    held = [run(name, options) for name in options.names or EXPERIMENTS]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
