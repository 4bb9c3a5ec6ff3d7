"""Checks that only the platform package knows the platform's names."""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "chivetray"

# Folders that speak the platform's protocol or are generated.
ADAPTER = (SOURCES / "platform", SOURCES / "generated")

# Names of the platform's messages that no other page of the project uses.
NAMES = (
    "AdmissionCheck Affinity AllOrNothing AllowConcurrent AntiAffinity ApiKeys "
    "Authorization Checkpointing ClockMs ColdLeftMs DeadlineMs DependsOn "
    "DurationS EstimateMs ExpectedRev FencingToken Fills HasMore IntervalMs "
    "LongRunning MayMiss MemMb NextToken NowMs PageToken PathPrefix "
    "RemainingMs RepeatCount SameRack SeqNo StartAtMs TargetLatencyMs "
    "Tenants TargetMs TaskSpec ValidityMs WaitMs rows-tx rows-get rows-feed rows-parts "
    "run-start run-stop machine-move machine-upkeep"
).split()

# Modules that show an example of the protocol to a person.
EXAMPLES = (SOURCES / "standins" / "jobs.py",)


def find_names(folder: Path = SOURCES) -> list[str]:
    """Return each place outside the adapter that names something of the platform."""
    pattern = re.compile(r"(?<![\w-])(" + "|".join(NAMES) + r")(?![\w-])")
    places = []
    for path in sorted(folder.rglob("*.py")):
        if any(path.is_relative_to(part) for part in ADAPTER) or path in EXAMPLES:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            for name in pattern.findall(line):
                places.append(f"{path.relative_to(ROOT)}:{number}: {name}")
    return places


def main() -> int:
    """Print the places and return 1 when there are any."""
    places = find_names()
    for place in places:
        print(f"{place} is a name of the platform")
    return int(bool(places))


if __name__ == "__main__":
    sys.exit(main())
