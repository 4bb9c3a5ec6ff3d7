"""One submission that can never be done stops every manager in turn."""

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
    Worker,
    request,
    route,
    run_case,
)

HOST, SERVICE = "radica.example", "campioni-radica"

# Work units of the submission that can never be done, and `finish_s` of the site.
UNITS = 20_000 if TROUBLE else 20
FINISH_S = 14.0
WATCHED_S = 50.0


async def case(fleet: Fleet) -> int:
    """Show whether a confirmed submission is completed beside a hopeless one."""
    note = fleet.record.note
    loop = asyncio.get_running_loop()
    fleet.put_config(
        [route("prenota-radica", HOST, "/radica/", SERVICE)],
        [{"Name": SERVICE, "AdmissionCheck": True}],
    )
    for number in range(8):
        worker = Worker(fleet.store, fleet.record, f"w{number}", SERVICE)
        await fleet.add_worker(worker)
    await fleet.start(managers=3)
    if not await fleet.wait_ready():
        return COULD_NOT_RUN
    await asyncio.sleep(3.0)

    async def call(method: str, name: str, body: object = None) -> tuple[int, object]:
        """Call one manager after the other, as a requester with retries does."""
        status, plain = 0, {}
        for manager in fleet.managers:
            path = f"/radica/{name}"
            status, plain = await request(manager.front, method, path, body, HOST)
            note(method, name, "at", manager.name, "->", status or "no answer", plain)
            if status and status < 500:
                break
        return status, plain.get("State")

    # An ordinary submission: two steps of 8 work units of 2.1 s.
    step = {"Count": 8, "Cpu": 1900, "MemMb": 3900, "EstimateMs": 2100}
    steps = [step, {**step, "DependsOn": [0]}]
    ordinary = "00000000000b0001"
    if (await call("POST", ordinary, {"TaskSpec": "run 2.1", "Steps": steps}))[
        0
    ] != 200:
        return COULD_NOT_RUN
    # One that can never be done: its work units need more than all workers have.
    gang = {"Count": UNITS, "AllOrNothing": True, "Cpu": 16000}
    await call("POST", "00000000000a0001", {"TaskSpec": "run 2.1", "Steps": [gang]})
    began_s = answered_s = idle_s = loop.time()
    longest_silence_s = longest_idle_s = 0.0
    state = None
    while loop.time() - began_s < WATCHED_S and state != "completed":
        await asyncio.sleep(0.5)
        status, state = await call("GET", ordinary)
        now_s = loop.time()
        if status == 200:
            answered_s = now_s
        if any(ordinary in task for w in fleet.workers for task in w.running):
            idle_s = now_s
        longest_silence_s = max(longest_silence_s, now_s - answered_s)
        longest_idle_s = max(longest_idle_s, now_s - idle_s)
    note(f"no answer about the ordinary submission for {longest_silence_s:.1f} s")
    note(f"nothing of it ran on the idle workers for {longest_idle_s:.1f} s")
    note("its state:", state)
    if longest_silence_s > FINISH_S or state != "completed":
        return BROKEN
    return HELD


if __name__ == "__main__":
    run_case(case, FOLDER)
