#!/usr/bin/env python3
"""Writes a variation of a deployment's site file, to search for faults on deployments that
were not played before.

    deploy/sites/vary.py SITE OUT --name NAME [--every-trouble] [--zones N] [--core N] [--losses N]
        [--sync-ms X] [--core-cpu X] [--link-mbps X] [--twice] [--drawn-days N] [--seed S] [--troubles T]
        [--kinds FILE]

SITE is a site file as the bench reads it. OUT is written beside a copy of the wire.json in SITE's
folder.
--every-trouble: lets drawn days draw from every kind and variant that the contracts allow.
--zones, --core: the number of zones, and of core machines in each zone; the other machines are
distributed over the new zones.
--losses: the number of core machines that may be lost at once.
--twice: doubles the machines that are not core machines, the targets and the traffic.
--drawn-days: replaces the standard days by N days, each with T troubles that are drawn with seed S
from every kind and variant, at any time, and a drawn closing fault.
--kinds: a file with the output of `fleetbench kinds SITE`; only kinds that it names are drawn,
because a bench plays no others on that deployment.
"""
import argparse
import copy
import os
import random
import shutil
import tomllib

# Every kind of trouble, with its variants. PARAMETERS has the other parameters of each kind.
TROUBLES = {
    "after_ack_kill": ["", "kill", "timed", "taken", "taken gone", "kill timed"],
    "after_ack_wipe": ["", "timed", "taken", "oldest", "oldest taken"],
    "answer_lost": ["", "reset"],
    "bad_config": ["", "cut_short", "unknown_service", "same_place", "no_weight", "old_version", "same_version"],
    "big_config": [""],
    "burst": [""],
    "clock_step": ["", "back", "ahead", "leader"],
    "config_change": ["route", "weights", "timeout", "idle"],
    "config_race": [""],
    "core_cut": ["", "leader", "leader race", "leader meet drain", "one_way leader", "near leader race", "all reader drain",
                 "oldest race", "seeds race", "both leader hard", "lure hard", "reset race"],
    "disk_full": ["", "leader"],
    "disk_slow": ["", "leader"],
    "disk_stall": ["", "leader"],
    "garble": ["", "extra", "extra late", "unframed", "early"],
    "give_up": [""],
    "herd_kill": ["", "power", "taken", "meet drain"],
    "hup": [""],
    "node_cut": ["", "all", "servers", "reset", "refuse"],
    "node_freeze": ["", "leader meet", "leader race", "reader drain"],
    "node_kill": ["", "power", "leader race drain", "meet drain", "power leader race", "seed hard"],
    "node_slow": [""],
    "release": [""],
    "replace_core": ["", "planned", "seed", "oldest", "planned oldest", "leader race"],
    "replace_with_reuse": ["", "drain", "dark"],
    "reset_conns": [""],
    "ack_lost": [""],
    "retry_abuse": [""],
    "roll_term": ["", "busy", "remove"],
    "scale_in": ["", "spot"],
    "scale_out": [""],
    "seed_turnover": [""],
    "srv_crash": ["", "dark", "across", "gone"],
    "srv_slow": [""],
}
HEALTH_TROUBLES = {
    "srv_grey": ["errors", "shed", "busy", "hang", "reset", "mute", "slow"],
    "srv_lying_health": ["errors", "hang", "reset", "bad"],
    "srv_flap": [""],
}
POOL_TROUBLES = {"idle_race": [""]}
CORE_WORDS = ("leader", "reader", "seed", "meet", "race", "hard")
PARAMETERS = {
    "after_ack_kill": {"for_s": 2.0},
    "after_ack_wipe": {"for_s": 2.0},
    "answer_lost": {"share": 0.5, "x": 0.05, "for_s": 5.0},
    "ack_lost": {"x": 0.7, "for_s": 8.0},
    "bad_config": {"count": 2, "gap_s": 0.8},
    "big_config": {"count": 300},
    "burst": {"x": 1.6, "for_s": 4.0},
    "clock_step": {"share": 0.4, "x": 3000.0, "for_s": 5.0},
    "config_race": {"count": 4, "gap_s": 1.0},
    "core_cut": {"count": 1, "for_s": 6.0},
    "disk_full": {"count": 1, "for_s": 5.0},
    "disk_slow": {"count": 1, "x": 30.0, "for_s": 5.0},
    "disk_stall": {"count": 1, "for_s": 5.0},
    "garble": {"share": 0.6, "x": 0.05, "for_s": 5.0},
    "give_up": {"share": 0.3, "x": 200.0, "for_s": 5.0},
    "herd_kill": {"share": 0.6, "for_s": 1.5},
    "hup": {"share": 0.5, "gap_s": 0.3},
    "idle_race": {"share": 0.5, "for_s": 5.0},
    "node_cut": {"share": 0.2, "for_s": 5.0},
    "node_freeze": {"share": 0.15, "for_s": 4.0},
    "node_kill": {"share": 0.15, "for_s": 2.0},
    "node_slow": {"share": 0.15, "x": 5.0, "for_s": 4.0},
    "release": {"share": 0.5, "x": 1.0, "gap_s": 0.8},
    "replace_core": {"x": 1.0},
    "replace_with_reuse": {"share": 0.2},
    "reset_conns": {"share": 0.4, "x": 0.7},
    "retry_abuse": {"share": 0.3, "x": 3.0, "for_s": 5.0},
    "roll_term": {"share": 0.5, "x": 1.0, "gap_s": 1.0},
    "scale_in": {"share": 0.15},
    "scale_out": {"share": 0.3, "gap_s": 3.0},
    "srv_crash": {"share": 0.2, "for_s": 4.0},
    "srv_flap": {"share": 0.15, "for_s": 5.0},
    "srv_grey": {"share": 0.15, "for_s": 4.0},
    "srv_lying_health": {"share": 0.12, "for_s": 4.0},
    "srv_slow": {"share": 0.2, "x": 4.0, "for_s": 4.0},
}


def listed_kinds(path):
    """Returns the kinds that a bench lists, each at the start of a line; None without a list."""
    if path is None:
        return None
    with open(path) as file:
        return {line.split(":")[0] for line in file if ":" in line and " " not in line.split(":")[0]}


def every_trouble(contracts, listed):
    """Returns every kind and variant that these contracts allow, as entries of a site's list."""
    kinds = dict(TROUBLES)
    kinds.update(HEALTH_TROUBLES if "health" in contracts else {})
    kinds.update(POOL_TROUBLES if "pool" in contracts else {})
    kinds = {kind: variants for kind, variants in kinds.items() if listed is None or kind in listed}
    entries = []
    for kind, variants in kinds.items():
        for how in variants:
            entry = {"kind": kind, **PARAMETERS.get(kind, {})}
            if kind in ("node_kill", "node_freeze") and any(word in how.split() for word in CORE_WORDS):
                del entry["share"]
                entry.update(on="core", count=1)
            if how:
                entry["how"] = how
            entries.append(entry)
    return entries


def count_at(count, places, at):
    """Returns how many of `count` items, distributed evenly over `places`, place number `at` gets."""
    return count // places + (at < count % places)


def distribute_over_zones(site, zones, core):
    """Distributes the machines, targets and clients over `zones`, with `core` disk machines in each."""
    names = [f"zone-{chr(ord('a') + at)}" for at in range(zones)]
    region = site["zones"][0]["region"]
    site["zones"] = [{"name": name, "region": region} for name in names]
    disk = next(row for row in site["machines"] if row.get("counted"))
    plain = next(row for row in site["machines"] if not row.get("counted"))
    count = sum(row["count"] for row in site["machines"] if not row.get("counted"))
    site["machines"] = []
    for at, name in enumerate(names):
        site["machines"].append({**disk, "zone": name, "count": core, "spare": 1})
        site["machines"].append({**plain, "zone": name, "count": max(1, count_at(count, zones, at)), "spare": 2})
    for service in site["services"]:
        targets = sum(row["count"] for row in service["servers"])
        counts = [count_at(targets, zones, at) for at in range(zones)]
        service["servers"] = [{"zone": name, "count": count} for name, count in zip(names, counts) if count]
    for table in [site, *site["day"]]:
        table["traffic"] = distribute_traffic(table["traffic"], names)
    site["cloud"]["zone"] = names[0]


def distribute_traffic(rows, names):
    rate = sum(row["per_s"] for row in rows)
    clients = sum(row["clients"] for row in rows)
    zone_row = {**rows[0], "per_s": rate / len(names), "clients": max(1, clients // len(names))}
    return [{**copy.deepcopy(zone_row), "zone": name} for name in names]


def double(site):
    for row in site["machines"]:
        row["count"] *= 1 if row.get("counted") else 2
    for service in site["services"]:
        for row in service["servers"]:
            row["count"] *= 2
    for table in [site, *site["day"]]:
        for row in table["traffic"]:
            row["per_s"] *= 2
            row["clients"] *= 2


PLANNED_KINDS = ("config_change", "config_race", "bad_config", "big_config", "release", "roll_term", "scale_in", "scale_out")
CLOSINGS = [("power_off_all", how) for how in ("", "timed", "taken")]
CLOSINGS += [("kill_all", how) for how in ("", "timed", "taken")]
CLOSINGS += [("wipe_after_ack", how) for how in ("", "timed", "taken", "oldest", "oldest timed", "aimed")]


def drawn_day(site, number, rng, troubles, listed):
    """Returns a day with drawn troubles, and otherwise the fields of the first standard day."""
    first = site["day"][0]
    end_s = site["length_s"] - 3.0
    entries = rng.sample(every_trouble(site["contracts"], listed), troubles)
    timed = [{"at": round(rng.uniform(1.0, end_s), 2), **entry} for entry in entries]
    timed += [{"at": round(rng.uniform(1.0, end_s), 2), "kind": "config_race", "count": 6, "gap_s": 1.5}]
    timed.sort(key=lambda entry: entry["at"])
    kind, how = rng.choice(CLOSINGS)
    planned = [entry for entry in timed if is_planned(entry)]
    return {
        **first,
        "name": f"drawn-{number}",
        "slot": "trouble",
        "seed": rng.randrange(1 << 30),
        "light": True,
        "wall": 6.0,
        "plan": planned,
        "faults": [entry for entry in timed if not is_planned(entry)],
        "closing": {"kind": kind, "down_s": round(rng.uniform(0.5, 1.5), 2), **({"how": how} if how else {})},
    }


def is_planned(entry):
    return entry["kind"] in PLANNED_KINDS or (entry["kind"] == "replace_core" and "planned" in entry.get("how", ""))


def inline(value):
    """Returns a value as TOML on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, list):
        return "[" + ", ".join(inline(item) for item in value) + "]"
    return "{ " + ", ".join(f"{key} = {inline(item)}" for key, item in value.items()) + " }"


def dump(site):
    tables = {key: value for key, value in site.items() if isinstance(value, dict)}
    lines = [f"{key} = {inline(value)}" for key, value in site.items() if key != "day" and key not in tables]
    for name, table in tables.items():
        lines += ["", f"[{name}]"] + [f"{key} = {inline(value)}" for key, value in table.items()]
    for day in site["day"]:
        lines += ["", "[[day]]"] + [f"{key} = {inline(value)}" for key, value in day.items()]
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("out")
    parser.add_argument("--name", required=True)
    parser.add_argument("--every-trouble", action="store_true")
    parser.add_argument("--zones", type=int)
    parser.add_argument("--core", type=int, default=1)
    parser.add_argument("--losses", type=int)
    parser.add_argument("--sync-ms", type=float)
    parser.add_argument("--core-cpu", type=float)
    parser.add_argument("--link-mbps", type=float)
    parser.add_argument("--twice", action="store_true")
    parser.add_argument("--drawn-days", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--troubles", type=int, default=9)
    parser.add_argument("--kinds")
    arguments = parser.parse_args()
    with open(arguments.site, "rb") as file:
        site = tomllib.load(file)
    site["name"] = arguments.name
    if arguments.zones:
        distribute_over_zones(site, arguments.zones, arguments.core)
    if arguments.twice:
        double(site)
    if arguments.losses is not None:
        site["tolerate"]["machines"] = arguments.losses
    for row in site["machines"]:
        if row.get("counted"):
            row["disk"]["sync_ms"] = arguments.sync_ms or row["disk"]["sync_ms"]
            row["cpu_share"] = arguments.core_cpu or row["cpu_share"]
        else:
            row["link_mbps"] = arguments.link_mbps or row["link_mbps"]
    listed = listed_kinds(arguments.kinds)
    if arguments.every_trouble:
        site["troubles"] = every_trouble(site["contracts"], listed)
    if arguments.drawn_days:
        rng = random.Random(arguments.seed)
        numbers = range(1, arguments.drawn_days + 1)
        site["day"] = [drawn_day(site, number, rng, arguments.troubles, listed) for number in numbers]
    folder = os.path.dirname(os.path.abspath(arguments.out))
    os.makedirs(folder, exist_ok=True)
    with open(arguments.out, "w") as file:
        file.write(dump(site))
    wire = os.path.join(folder, "wire.json")
    if not os.path.exists(wire):
        shutil.copy(os.path.join(os.path.dirname(arguments.site), "wire.json"), wire)


if __name__ == "__main__":
    main()
