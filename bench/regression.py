#!/usr/bin/env python3
"""Scores deployments one after the other and compares them with a floor.

The quick tier plays the small twins and the light days of each deployment, the
full one all days. A deployment whose mean worth of the days with trouble and of
high load lies more than the noise below its floor fails, and so does a gate.

Player and deployments are arguments; both come from outside this repository.
Floors are a JSON file that an earlier run wrote with --json.
"""

import argparse
import json
import pathlib
import re
import subprocess
import sys

# Processor time is measured; a change below this says nothing.
NOISE = 0.03
DAY_ROW = re.compile(r"^((?:trouble|scale)-\S+)\s+\S+\s+\S+\s+(-?\d\.\d+)")


def score(args, site, small):
    """(mean worth of the days with trouble and of high load, what is wrong)"""
    command = [args.player, "score", site, "--jobs", str(args.jobs), "--why", args.why]
    if small:
        command.append("--small")
    elif not args.full:
        command.append("--quick")
    text = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False).stdout
    worths = [float(row[2]) for line in text.splitlines() if (row := DAY_ROW.match(line))]
    wrong = [line for line in text.splitlines() if "GATE failed" in line or "BROKEN" in line]
    if not worths:
        wrong.append("no day was played")
    return (sum(worths) / len(worths) if worths else 0.0), wrong


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("player", help="program that plays days")
    parser.add_argument("sites", nargs="*", help="files of the deployments")
    parser.add_argument("--twins", nargs="*", default=[], help="deployments whose small twins are played")
    parser.add_argument("--full", action="store_true", help="all days instead of the light ones")
    parser.add_argument("--floors", help="JSON file with the mean worth that each had")
    parser.add_argument("--json", help="write the mean worths to this file")
    parser.add_argument("--jobs", type=int, default=4, help="plays at one time")
    parser.add_argument("--why", required=True, help="line for the journal")
    args = parser.parse_args()
    floors = json.loads(pathlib.Path(args.floors).read_text()) if args.floors else {}
    plays = [(site, False) for site in args.sites] + [(site, True) for site in args.twins]
    worths, failed = {}, False
    for site, small in plays:
        name = pathlib.Path(site).stem + (" small" if small else "")
        worths[name], wrong = score(args, site, small)
        floor = floors.get(name)
        if floor is not None and worths[name] < floor - NOISE:
            wrong.append(f"below its floor of {floor:.3f}")
        failed = failed or bool(wrong)
        print(f"{name:32} {worths[name]:6.3f}  {'; '.join(wrong) or 'as it should be'}", flush=True)
    if args.json:
        pathlib.Path(args.json).write_text(json.dumps(worths, indent=2) + "\n")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
