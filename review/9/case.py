"""Two queues, one identifier: cancelling one submission ends the other."""

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

HOST_A, HOST_B = "timber.example", "paint.example"
FIRST_ID = "00000000000a41c7"
SECOND_ID = FIRST_ID if TROUBLE else "00000000000a41c8"
SERVICES = ("timberdesk", "paintdesk")


async def case(fleet: Fleet) -> int:
    """Show whether a submission outlives the cancelling of another one."""
    note = fleet.record.note
    fleet.put_config(
        [
            route("cutlist", HOST_A, "/cut/", SERVICES[0]),
            route("paintest", HOST_B, "/est/", SERVICES[1]),
        ],
        [{"Name": name, "AdmissionCheck": True} for name in SERVICES],
    )
    for number in range(4):
        name = SERVICES[number % 2]
        await fleet.add_worker(Worker(fleet.store, fleet.record, f"w{number}", name))
    await fleet.start(managers=3)
    if not await fleet.wait_ready():
        return COULD_NOT_RUN
    front = fleet.managers[0].front
    await asyncio.sleep(3.0)

    async def call(method: str, host: str, path: str, body: object = None) -> object:
        status, plain = await request(front, method, path, body, host)
        note(method, host + path, "->", status, plain)
        return status, plain.get("State")

    work = {"TaskSpec": "run 8", "Steps": [{"Count": 4, "Cpu": 500, "MemMb": 64}]}
    work["Steps"][0]["EstimateMs"] = 8000
    # Both submissions are confirmed: one in each queue, for different services.
    first = await call("POST", HOST_A, f"/cut/{FIRST_ID}", work)
    second = await call("POST", HOST_B, f"/est/{SECOND_ID}", work)
    if first[0] != 200 or second[0] != 200:
        return COULD_NOT_RUN
    await asyncio.sleep(3.0)
    await call("GET", HOST_A, f"/cut/{FIRST_ID}")
    await call("GET", HOST_B, f"/est/{SECOND_ID}")
    # Only the first one is cancelled.
    await call("DELETE", HOST_A, f"/cut/{FIRST_ID}")
    result = HELD
    for _ in range(16):
        await asyncio.sleep(1.0)
        status, state = await call("GET", HOST_B, f"/est/{SECOND_ID}")
        if state in ("cancelled", "failed") or status == 410:
            note("the second submission, which nobody cancelled, is", state or status)
            result = BROKEN
        if state == "completed":
            break
    else:
        note("the second submission is not completed")
        result = BROKEN
    done = {
        task
        for worker in fleet.workers
        if worker.service == SERVICES[1]
        for task, _, how in worker.ended
        if how == "done"
    }
    note("work units of the second submission that ended done:", sorted(done))
    return result


if __name__ == "__main__":
    run_case(case, FOLDER)
