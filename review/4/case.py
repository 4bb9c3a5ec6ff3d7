"""LOST: an entry of another writer among the workers' entries."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from deployment import CannotRunError, Deployment, run_case
from idle import IdleWatch

CPU, DURATION_S = 1000, 1.0
MANAGERS = ["m1", "m2"]

# Slots, Zone, SeqNo, ColdLeftMs and born are missing. The writer has put the missing
# zone into the address, too: it should read worker-3.ZONE.localhost.
FOREIGN = {
    "Service": "oak",
    "Address": "worker-3..localhost:8080",
    "Version": "v1",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 65536, "Gpu": 0},
    "Labels": ["a", "r1"],
}


async def play(deployment: Deployment) -> str:
    """Play the case; return how the rule was broken."""
    await deployment.start_platform()
    for number in range(4):
        await deployment.add_worker(
            f"i-000000b{number}", "oak", 16_000, lambda _task: (CPU, DURATION_S)
        )
    deployment.put_config(1, {"/oak/": "oak"}, ["oak"])
    for name in MANAGERS:
        await deployment.start_manager(name)
    for name in MANAGERS:
        await deployment.await_ready(name)
    await asyncio.sleep(2.0)
    step = {"Count": 6, "Cpu": CPU, "MemMb": 64, "EstimateMs": 1000}
    first = "b000000000000000"
    body = {"TaskSpec": "quote", "Steps": [step]}
    if not await deployment.submit(MANAGERS, f"/oak/{first}", body):
        raise CannotRunError("the first submission was not accepted")
    watch = IdleWatch(deployment, deployment.workers, {first: 6})
    await watch.await_end(20.0)
    if watch.unfinished():
        raise CannotRunError("the first submission does not end")
    if deployment.trouble:
        deployment.store.put("servers", "worker-3", FOREIGN)
        deployment.record("entry of another writer", FOREIGN["Address"])
    await asyncio.sleep(3.0)
    jobs = {}
    for number in range(1, 6):
        job = f"b{number:015x}"
        if await deployment.submit(MANAGERS, f"/oak/{job}", body):
            jobs[job] = 6
        await asyncio.sleep(0.5)
    if not jobs:
        raise CannotRunError("no submission was accepted")
    watch = IdleWatch(deployment, deployment.workers, jobs)
    await watch.await_end()
    await watch.watch(12.0)
    for job in jobs:
        await deployment.state(MANAGERS, f"/oak/{job}")
    for name in MANAGERS:
        failures = deployment.log_lines(name, "CELL_FAILED")
        deployment.record("log", name, f"CELL_FAILED={len(failures)}")
        for line in failures[:1]:
            deployment.record("log", name, line[:600])
    return watch.verdict()


# With TROUBLE=0 the case is played without its disruption.
run_case(Path(__file__).parent, play, trouble=os.environ.get("TROUBLE") != "0")
