"""Shared parts of the experiments: fleets of processes and their accounting."""

from __future__ import annotations

import json
import os
import sys
import tempfile
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from helpers import Fleet, FleetPlan

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class VariantFleet(Fleet):
    """A fleet whose entries run a variant instead of the product."""

    def __init__(self, plan: FleetPlan, folder: Path, variant: str = "chosen"):
        super().__init__(plan, folder)
        self.variant = variant

    def run(self, name: str, *arguments: str) -> None:
        if self.variant == "chosen" or arguments[0] != "entry":
            return super().run(name, *arguments)
        self.run_script(
            name, "variant_entry.py", "--variant", self.variant, *arguments[1:]
        )

    def run_script(self, name: str, script: str, *arguments: str) -> None:
        import subprocess

        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, str(ROOT / "lab" / script), *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)


@contextmanager
def running_fleet(plan: FleetPlan, variant: str = "chosen"):
    """Yield a started fleet."""
    fleet = VariantFleet(plan, Path(tempfile.mkdtemp(prefix="lab-")), variant)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


def cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def start_load(url: str, rate: float, seconds: float, *arguments: str):
    """Start the load command and return the process."""
    import subprocess

    command = [sys.executable, "-m", "chivetray", "load", url, "--json"]
    command += ["--rate", str(rate), "--seconds", str(seconds), *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def finish_load(process) -> dict:
    """Return the report of a load command."""
    output, _ = process.communicate(timeout=180)
    return json.loads(output)


def print_rows(rows: list[dict]) -> None:
    """Print rows as a Markdown table."""
    names = list(rows[0])
    print("| " + " | ".join(names) + " |")
    print("| " + " | ".join("---" for _ in names) + " |")
    for row in rows:
        print("| " + " | ".join(str(row.get(name, "")) for name in names) + " |")
