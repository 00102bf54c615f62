#!/usr/bin/env python3
"""Print which kinds of trouble, and which variants, were played on which deployment.

Reads the days of this folder (kind and `how` words of every entry) and the journal (days that were
played, their deployment, broken rules and faults). Prints one Markdown table: a row for each kind
and variant, a column for each deployment and one for all variations
(deploy/sites/vary.py); a cell gives days played and days with a broken rule or a
fault. Hunted and standard days count for their kinds only, since the journal keeps no variants.

    deploy/days/coverage.py [--since 20261202T0430]
"""
import argparse
import glob
import json
import os
import tomllib
from collections import defaultdict

FOLDER = os.path.dirname(os.path.abspath(__file__))
VARIATIONS = "variations"
JOURNAL = os.path.join(FOLDER, "..", "..", "journal")


def variants_by_day():
    """Map the name of each day of our own to its set of (kind, variant word)."""
    found = {}
    for path in glob.glob(os.path.join(FOLDER, "*.toml")):
        with open(path, "rb") as file:
            day = tomllib.load(file)
        entries = day.get("plan", []) + day.get("faults", [])
        if "closing" in day:
            entries.append({**day["closing"], "kind": "closing " + day["closing"]["kind"]})
        rows = set()
        for entry in entries:
            rows.add((entry["kind"], ""))
            rows.update((entry["kind"], word) for word in entry.get("how", "").split())
        found[day["name"]] = rows
    return found


def played(since):
    """Yield (deployment, day) for each finished day of the journal that was no trial of a build."""
    for path in sorted(glob.glob(os.path.join(JOURNAL, "*.json"))):
        if os.path.basename(path) < since:
            continue
        with open(path) as file:
            entry = json.load(file)
        argv = entry.get("argv") or [""]
        own = "given/" not in argv[0]
        for day in entry.get("days") or []:
            if entry.get("site"):
                yield VARIATIONS if own else entry["site"], day


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--since", default="", help="first journal entry, by its time")
    since = arguments.parse_args().since
    variants = variants_by_day()
    table = defaultdict(lambda: defaultdict(lambda: [0, 0]))
    sites = set()
    for site, day in played(since):
        sites.add(site)
        rows = {(kind, "") for kind in day.get("troubles") or []}
        rows |= variants.get(day["name"], set())
        bad = bool(day.get("rules") or day.get("fault"))
        for row in rows:
            cell = table[row][site]
            cell[0] += 1
            cell[1] += bad
    for rows in variants.values():
        for row in rows:
            table[row]
    sites = sorted(sites)
    print("| kind | variant | " + " | ".join(sites) + " |")
    print("| --- | --- |" + " --- |" * len(sites))
    for (kind, word), cells in sorted(table.items()):
        told = [f"{cells[site][0]}, {cells[site][1]} bad" if cells[site][0] else "" for site in sites]
        print(f"| {kind} | {word} | " + " | ".join(told) + " |")


if __name__ == "__main__":
    main()
