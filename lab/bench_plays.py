"""Plays days on the users' bench, in several checkouts side by side."""

from __future__ import annotations

import json
import statistics
import subprocess
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

# Two-sided 95% quantile of the normal distribution.
NORMAL_QUANTILE_95 = 1.96


@dataclass(frozen=True)
class Day:
    """A day to play.

    :ivar day: name of a standard day, or the path of a day file
    """

    label: str
    site: Path
    day: str
    seed: int | None = None


@dataclass(frozen=True)
class Play:
    """Result of one play; without a report the day was not played to its end."""

    version: str
    label: str
    report: dict | None
    output: str

    @property
    def worth(self) -> float | None:
        return None if self.report is None else self.report["G"]

    @property
    def broken_rules(self) -> list[str]:
        return [] if self.report is None else sorted(self.report["breaks"])


def play_all(
    bench: Path,
    checkouts: dict[str, Path],
    days: Iterable[Day],
    jobs: int,
    why: str,
    options: tuple[str, ...] = ("--no-cpu",),
) -> list[Play]:
    """Play each day in each checkout; plays of one day follow each other closely."""
    work = [(name, path, day) for day in days for name, path in checkouts.items()]
    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(lambda item: _play(bench, *item, why, options), work))


def _play(
    bench: Path,
    version: str,
    checkout: Path,
    day: Day,
    why: str,
    options: tuple[str, ...],
) -> Play:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        seed = [] if day.seed is None else ["--seed", str(day.seed)]
        command = [bench, "run", day.site, day.day, *seed, *options]
        command += ["--report", report, "--why", f"{why} ({version}, {day.label})"]
        ended = subprocess.run(
            [str(part) for part in command],
            cwd=checkout,
            capture_output=True,
            text=True,
            check=False,
        )
        found = json.loads(report.read_text()) if report.exists() else None
    result = Play(version, day.label, found, ended.stdout + ended.stderr)
    worth = "no report" if result.worth is None else f"{result.worth:.3f}"
    print(day.label, version, worth, *result.broken_rules, flush=True)
    return result


def print_summary(plays: list[Play], versions: list[str]) -> None:
    """Print the mean worth of each version and its differences from the first."""
    worth = {(p.version, p.label): p.worth for p in plays}
    labels = list(dict.fromkeys(p.label for p in plays))
    labels = [x for x in labels if all(worth[v, x] is not None for v in versions)]
    for version in versions:
        values = [worth[version, label] for label in labels]
        line = f"{version}: mean {statistics.mean(values):.4f} of {len(values)} days"
        differences = [worth[version, x] - worth[versions[0], x] for x in labels]
        if version != versions[0] and len(differences) > 1:
            error = statistics.stdev(differences) / len(differences) ** 0.5
            mean = statistics.mean(differences)
            line += f", {mean:+.4f} +- {NORMAL_QUANTILE_95 * error:.4f} (95%)"
        print(line)
