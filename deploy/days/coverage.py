#!/usr/bin/env python3
"""Prints which kinds and variants of trouble were played on which deployment.

Reads the days in this folder (the kind and the `how` words of every entry) and the journal (the
days that were played, with their deployment, broken rules and faults). Prints one Markdown table
with a row for each kind and variant, and a column for each deployment and one for all variations
(deploy/sites/vary.py). A cell has the number of days played, and of those with a broken rule or a
fault. Hunted and standard days count for their kinds only, since the journal records no variants.

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
    """Maps the name of each day in this folder to its set of pairs of a kind and a variant word."""
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
    """Yields deployment and day for each finished day in the journal, except trials of a build."""
    for path in sorted(glob.glob(os.path.join(JOURNAL, "*.json"))):
        if os.path.basename(path) < since:
            continue
        with open(path) as file:
            entry = json.load(file)
        argv = entry.get("argv") or [""]
        is_variation = "given/" not in argv[0]
        for day in entry.get("days") or []:
            if entry.get("site"):
                yield VARIATIONS if is_variation else entry["site"], day


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
        is_bad = bool(day.get("rules") or day.get("fault"))
        for row in rows:
            cell = table[row][site]
            cell[0] += 1
            cell[1] += is_bad
    for rows in variants.values():
        for row in rows:
            table[row]
    sites = sorted(sites)
    print("| kind | variant | " + " | ".join(sites) + " |")
    print("| --- | --- |" + " --- |" * len(sites))
    for (kind, word), cells in sorted(table.items()):
        texts = [f"{cells[site][0]}, {cells[site][1]} bad" if cells[site][0] else "" for site in sites]
        print(f"| {kind} | {word} | " + " | ".join(texts) + " |")


if __name__ == "__main__":
    main()
