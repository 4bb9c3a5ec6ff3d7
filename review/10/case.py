"""A machine of two waves: the upkeep for one counts as that for the other, too."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from fleet import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    Fleet,
    route,
    run_case,
)
from machines import Machines  # noqa: E402

HOST, SERVICE = "timber.example", "timberdesk"
WAVES = {1: ["m1", "m2"], 2: ["m1", "m2", "m3", "m4"]}
SILENT_S = 3.0


async def case(fleet: Fleet) -> int:
    """Show whether each machine of a completed wave has had its upkeep."""
    note = fleet.record.note
    fleet.put_config(
        [route("cutlist", HOST, "/cut/", SERVICE)],
        [{"Name": SERVICE, "AdmissionCheck": True}],
    )
    await fleet.store.server.start(fleet.host(1))
    machines = Machines(fleet, WAVES)
    await machines.start()
    for number in range(1, 7):
        await machines.add(f"m{number}", SERVICE)
    await fleet.start(managers=3)
    if not await fleet.wait_ready():
        return COULD_NOT_RUN
    await asyncio.sleep(5.0)
    if TROUBLE:
        machines.silent_for_s = SILENT_S
    for number, names in WAVES.items():
        wave = {"Wave": number, "Machines": names, "DurationS": 30, "Cap": 2}
        note("the operator writes wave", number, names)
        fleet.store.put("op", f"wave/{number}", wave)
    shown: set[int] = set()
    result = HELD
    for _ in range(450):
        await asyncio.sleep(0.1)
        for number, names in WAVES.items():
            status = fleet.store.read("status", "", f"wave/{number}") or {}
            if status.get("State") != "completed" or number in shown:
                continue
            shown.add(number)
            left = [name for name in names if (number, name) not in machines.begun]
            note("wave", number, "is shown as completed; without upkeep:", left)
            if left:
                result = BROKEN
        if len(shown) == len(WAVES):
            break
    note("upkeeps that began:", sorted(machines.begun))
    if not shown:
        return COULD_NOT_RUN
    return result


if __name__ == "__main__":
    run_case(case, FOLDER)
