"""Draws days of other rhythms and plays them in several checkouts side by side.

Run ``python lab/draw_days.py --bench BENCH --site SITE.toml --seeds 1-20
--checkout old=DIR --checkout new=DIR``. A seed always draws the same day of a site:
turns of other length, order, height and overlap, a steady load, one to three faults
of the kinds that the site file lists. ``--standard`` plays the site's own days too, ``--file`` a
day file with several seeds.

Seeds below 1000 are for rounds; others are played only for published tables.
"""

from __future__ import annotations

import argparse
import random
import tempfile
import tomllib
from pathlib import Path

from bench_plays import Day, play_all, print_summary

LENGTH_S = 34.0
TURN_S = (2.0, 10.0)
TURNS = (2, 3, 4, 6)
TROUGH = (0.02, 0.5)
LOAD = (0.6, 1.1)
STEADY_SHARE = 0.15
WAVE_SHARE = 0.5
CALM_SHARE = 0.2
MOST_FAULTS = 3


def draw_day(site: dict, seed: int) -> dict:
    """Draw a day of a site."""
    rng = random.Random(seed)
    queues = list(dict.fromkeys(next(iter(t["mix"])) for t in site["traffic"]))
    turns = rng.choice(TURNS)
    turn_s = round(rng.uniform(*TURN_S), 1)
    trough = 1.0 if rng.random() < STEADY_SHARE else round(rng.uniform(*TROUGH), 2)
    phases = {queue: float(rng.randrange(turns)) for queue in queues}
    # Queues whose turns coincide share the load that one of them would have.
    loads = {
        queue: rng.uniform(*LOAD) / list(phases.values()).count(phases[queue])
        for queue in queues
    }
    traffic = []
    for entry in site["traffic"]:
        queue = next(iter(entry["mix"]))
        shape = {
            "kind": "turns",
            "to": float(turns),
            "phase": phases[queue],
            "swing": trough,
            "period_s": turn_s,
        }
        # A queue with fewer turns peaks more often; the peaks keep their height.
        rate = entry["per_s"] * loads[queue] * min(1.0, 4 / turns)
        traffic.append({**entry, "per_s": round(rate, 3), "shape": shape})
    kinds = [t for t in site["troubles"] if t["kind"] != "wave"]
    count = 0 if rng.random() < CALM_SHARE else rng.randint(1, MOST_FAULTS)
    faults = [
        {"at": round(rng.uniform(1.0, LENGTH_S - 6.0), 1), **rng.choice(kinds)}
        for _ in range(count)
    ]
    plan = []
    if rng.random() < WAVE_SHARE:
        share = round(rng.uniform(0.25, 0.55), 2)
        plan.append(
            {"at": 2.0, "kind": "wave", "share": share, "for_s": 28.0, "how": ""}
        )
    return {
        "name": f"drawn-{seed}",
        "slot": "trouble" if faults else "quiet",
        "length_s": LENGTH_S,
        "plan": plan,
        "faults": faults,
        "traffic": traffic,
    }


def write_day(day: dict, path: Path) -> None:
    """Write a day file."""
    lines = [f"{name} = {_to_toml(value)}" for name, value in day.items()]
    path.write_text("\n".join(lines) + "\n")


def _to_toml(value: object) -> str:
    if isinstance(value, dict):
        pairs = (f'"{name}" = {_to_toml(item)}' for name, item in value.items())
        return "{ " + ", ".join(pairs) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_to_toml(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, required=True, action="append")
    parser.add_argument("--seeds", default="", help="first and last seed: 1-20")
    parser.add_argument("--standard", action="store_true")
    parser.add_argument("--file", type=Path, action="append", default=[])
    parser.add_argument("--plays", type=int, default=3, help="seeds of each file")
    parser.add_argument("--checkout", action="append", required=True)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--calm", action="store_true", help="leave faults out")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--why", default="drawn days side by side")
    arguments = parser.parse_args()
    checkouts = {
        name: Path(path)
        for name, path in (item.split("=", 1) for item in arguments.checkout)
    }
    days = []
    with tempfile.TemporaryDirectory(dir=Path.home()) as folder:
        for path in arguments.site:
            site = tomllib.loads(path.read_text())
            if arguments.standard:
                names = [day["name"] for day in site["day"]]
                days += [Day(f"{site['name']}/{n}", path, n) for n in names]
            for file in arguments.file:
                for seed in range(1, arguments.plays + 1):
                    label = f"{site['name']}/{file.stem}-{seed}"
                    days.append(Day(label, path, str(file.resolve()), seed))
            if arguments.seeds:
                first, last = map(int, arguments.seeds.split("-"))
                for seed in range(first, last + 1):
                    file = Path(folder) / f"{site['name']}-{seed}.toml"
                    day = draw_day(site, seed)
                    label = f"{site['name']}/drawn-{seed}"
                    if arguments.calm:
                        day, label = {**day, "faults": []}, f"{label}-calm"
                    write_day(day, file)
                    days.append(Day(label, path, str(file), seed))
        options = () if arguments.cpu else ("--no-cpu",)
        plays = play_all(
            arguments.bench, checkouts, days, arguments.jobs, arguments.why, options
        )
    print_summary(plays, list(checkouts))


if __name__ == "__main__":
    main()
