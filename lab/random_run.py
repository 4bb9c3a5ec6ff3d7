"""A long random run with faults.

Run ``python lab/random_run.py --seed 7 --seconds 180``; exits 1 when a promise
was broken.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from helpers import Fleet
from random_run import PLAN, RandomRun


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=180.0)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="random-run-"))
    fleet = Fleet(PLAN, folder)
    try:
        fleet.start()
        outcome = RandomRun(fleet, arguments.seed).run(arguments.seconds)
    finally:
        fleet.close()
    print(f"seed {arguments.seed}: {len(outcome.sent)} requests")
    print(f"results: {dict(sorted(outcome.codes.items()))}")
    print(f"faults: {len(outcome.faults)}; over-admissions: {outcome.over_admissions}")
    for problem in outcome.problems:
        print(f"problem: {problem}")
    if arguments.keep or outcome.problems:
        print(f"logs: {folder}; faults: {outcome.faults}")
    return 1 if outcome.problems else 0


if __name__ == "__main__":
    sys.exit(main())
