#!/usr/bin/env python3
"""What each kind of fault costs: plays days with one fault each.

Each day file in deploy/days has one fault of some seconds. The cost is the time
of full service that the day loses, in seconds: its length times the share of
the owed work that was not earned, less the same of the calm day. `--seeds`
gives the mean over several plays, as one play differs by some 0.3 s.

Player and deployment are arguments; both come from outside this repository.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import tomllib

CALM = "calm"


def play(args, day, seed, report):
    """The report of one play of a day file."""
    command = [args.player, "run", args.site, str(day), "--seed", str(seed),
               "--report", report, "--why", args.why]
    subprocess.run(command, stdout=subprocess.DEVNULL, check=False)
    with open(report, encoding="utf-8") as file:
        return json.load(file)


def lost_seconds(day, reports):
    length = tomllib.loads(day.read_text())["length_s"]
    return sum((1 - r["served"]) * length for r in reports) / len(reports)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("player", help="program that plays a day")
    parser.add_argument("site", help="file of the deployment")
    parser.add_argument("--days", default="deploy/days", help="folder of day files")
    parser.add_argument("--seeds", type=int, default=2, help="plays of each day")
    parser.add_argument("--jobs", type=int, default=4, help="plays at one time")
    parser.add_argument("--why", required=True, help="line for the journal")
    parser.add_argument("--json", help="also write the figures to this file")
    args = parser.parse_args()
    days = sorted(pathlib.Path(args.days).glob("*.toml"))
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        plays = {
            day: [pool.submit(play, args, day, seed, os.path.join(folder, f"{day.stem}-{seed}"))
                  for seed in range(1, args.seeds + 1)]
            for day in days
        }
        reports = {day: [p.result() for p in each] for day, each in plays.items()}
    lost = {day.stem: lost_seconds(day, each) for day, each in reports.items()}
    calm = lost.get(CALM, 0.0)
    rows = []
    for day, each in reports.items():
        worth = sum(r["G"] for r in each) / len(each)
        broken = sorted({rule for r in each for rule in r["breaks"]})
        rows.append({"day": day.stem, "lost_s": round(lost[day.stem] - calm, 2),
                     "worth": round(worth, 3), "broken": broken})
    rows.sort(key=lambda row: -row["lost_s"])
    for row in rows:
        print(f"{row['day']:28} {row['lost_s']:6.2f} s  worth {row['worth']:.3f}  "
              f"{' '.join(row['broken'])}")
    if args.json:
        pathlib.Path(args.json).write_text(json.dumps(rows, indent=1) + "\n")
    return 1 if any(row["broken"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
