"""A requester gives up a submission without an answer, cancels it, and it runs."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib3"))

from fleet import CannotRunError, Fleet, run_case
from store import RowName
from worker import Work

JOB = "5c0e7a21d94b36f8"
STEPS = [
    {"Count": 4, "Cpu": 2000, "MemMb": 512, "EstimateMs": 5000},
    {"Count": 4, "Cpu": 2000, "MemMb": 512, "EstimateMs": 5000, "DependsOn": [0]},
]
WORK_S = 5.0

# The answers to writes are lost for this time (the sheets: up to 4.5 s), and those
# writes are carried out this much later (the page of kinds: 1 to 6 s).
LOST_FOR_S = 1.8
LATE_S = 6.0
MAX_LOST_SHARE = 0.35

DEADLINE_S = 3.0
CANCEL_S = 3.0
CONTACT_S = 3.0
WATCH_S = 24.0


def find_work(_task: str) -> Work:
    """Return the work of every work unit of the test."""
    return Work(cpu=2000, mem_mb=512, work_s=WORK_S)


async def play(fleet: Fleet) -> list[str]:
    """Submit, give up, cancel; return how the rule was broken."""
    await fleet.start(managers=3, workers=4)
    await asyncio.sleep(4.0)
    store = fleet.store
    began_s = fleet.now_s
    writes_before = store.writes

    def lose(names: list[RowName]) -> float | None:
        is_lossy = fleet.trouble and fleet.now_s - began_s < LOST_FOR_S
        if is_lossy and any(n[0] == "jobs" and n[2] == JOB for n in names):
            fleet.note("write lost", rows=[list(n) for n in names], late_s=LATE_S)
            return LATE_S
        return None

    store.lose = lose
    body = {"TaskSpec": "work", "Steps": STEPS}
    status, _ = await fleet.ask("front-0", "POST", JOB, body, DEADLINE_S)
    lost_end_s = began_s + LOST_FOR_S
    share = store.lost / max(1, store.writes - writes_before)
    fleet.note("lost writes", count=store.lost, share=round(share, 3))
    if share > MAX_LOST_SHARE:
        raise CannotRunError("too many writes would be lost")
    # Without an answer the requester does not want it any more.
    for _ in range(3):
        status, _ = await fleet.ask("front-1", "DELETE", JOB, None, DEADLINE_S)
        if 200 <= status < 300 or status == 410:
            break
    acknowledged_s = fleet.now_s
    fleet.note("cancelling acknowledged", status=status)
    await asyncio.sleep(WATCH_S)
    await fleet.ask("front-2", "GET", JOB)
    breaks = []
    stable_s = lost_end_s + CONTACT_S
    for event in fleet.events:
        if event["event"] == "start" and event["at_s"] > max(
            acknowledged_s + CANCEL_S, stable_s
        ):
            late_s = event["at_s"] - acknowledged_s
            breaks.append(
                f"UNASKED: {event['task']} was started {late_s:.1f} s after its "
                f"submission's cancelling was acknowledged with {status}"
            )
    return breaks


run_case(__file__, find_work, play)
