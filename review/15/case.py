"""After a queue has moved to another service, what waits from before is not counted."""

from __future__ import annotations

import asyncio
import base64
import json
import sys
import urllib.request
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib3"))

from fleet import CannotRunError, Fleet, run_case, service_name
from worker import Work

MANAGERS = 4
WORKERS = 2
CPU = 32000
JOBS = 20

# A work unit takes a whole worker for longer than the test looks.
STEP = {"Count": 2, "Cpu": CPU, "MemMb": 1000, "EstimateMs": 60000}
BODY = {"TaskSpec": "work", "Steps": [STEP]}
VISIBLE_S = 3.0
CONFIG_S = 2.0
CONTACT_S = 3.0
WATCH_S = 8.0


def find_work(_task: str) -> Work:
    """Return the work of every work unit of the test."""
    return Work(cpu=CPU, mem_mb=1000, work_s=90.0)


def move_queue(fleet: Fleet) -> None:
    """Change the configuration: the queue's work units run elsewhere from now on."""
    _, value = fleet.store.rows["op", "", "config"]
    config = json.loads(base64.b64decode(value or ""))
    config["Version"] += 4
    config["Routes"][0]["Service"] = service_name(1)
    fleet.store.put("op", "config", config)
    fleet.note("configuration", version=config["Version"], service=service_name(1))


def find_owner(fleet: Fleet, cell: str) -> str:
    """Return the manager whose metrics show a cell."""
    for name, ports in fleet.ports.items():
        url = f"http://127.0.0.1:{ports['metrics']}/metrics"
        with urllib.request.urlopen(url, timeout=2.0) as answer:
            lines = answer.read().decode().splitlines()
        if any(
            line.startswith("chivetray_cell_jobs") and cell in line for line in lines
        ):
            return name
    raise CannotRunError("no manager owns the cell")


async def play(fleet: Fleet) -> list[str]:
    """Fill a queue, move it, lose the owner of what waits, and ask for the count."""
    await fleet.start(MANAGERS, WORKERS, CPU, services=2)
    await asyncio.sleep(3.0)
    for number in range(JOBS):
        status, _ = await fleet.ask("front-0", "POST", f"{number:016x}", BODY)
        if status != 200:
            raise CannotRunError("a submission was not accepted")
    await asyncio.sleep(VISIBLE_S + 2.0)
    move_queue(fleet)
    await asyncio.sleep(CONFIG_S + CONTACT_S)
    owner = await asyncio.to_thread(find_owner, fleet, service_name(0))
    if fleet.trouble:
        fleet.processes[owner].kill()
        fleet.note("killed", name=owner)
    asked = [name for name in fleet.ports if name != owner]
    until_s = fleet.now_s + WATCH_S
    breaks = []
    while fleet.now_s < until_s:
        for name in asked:
            sent_s = fleet.now_s
            begun = {e["task"].split(".")[0] for e in fleet.events
                     if e["event"] == "start"}  # fmt: skip
            status, answer = await fleet.ask(name, "GET", "", quiet=True)
            waiting = JOBS - len(begun)
            count = answer.get("Pending") if status == 200 else None
            fleet.note("count", manager=name, status=status, pending=count)
            if count is not None and count < waiting / 2:
                breaks.append(
                    f"MIXED: {name} gives {count} as Pending at {sent_s:.1f} s, "
                    f"and {waiting} accepted submissions have not begun"
                )
        await asyncio.sleep(0.05)
    return breaks


run_case(__file__, find_work, play)
