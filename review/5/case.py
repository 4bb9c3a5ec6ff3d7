"""LOST: a submission with many work units that run at the same time."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from deployment import CannotRunError, Deployment, run_case
from idle import IdleWatch

CPU, DURATION_S, UNITS = 20, 5.0, 1500
MANAGERS = ["m1", "m2"]


async def play(deployment: Deployment) -> str:
    """Play the case; return how the rule was broken."""
    await deployment.start_platform()
    for number in range(4):
        await deployment.add_worker(
            f"i-000000d{number}", "burl", 16_000, lambda _task: (CPU, DURATION_S)
        )
    deployment.put_config(1, {"/burl/": "burl"}, ["burl"])
    for name in MANAGERS:
        await deployment.start_manager(name)
    for name in MANAGERS:
        await deployment.await_ready(name)
    await asyncio.sleep(2.0)
    # The same work as one large submission, or as 15 of 100 work units.
    count = UNITS if deployment.trouble else 100
    jobs = {}
    step = {"Count": count, "Cpu": CPU, "MemMb": 16, "EstimateMs": 5000}
    for number in range(UNITS // count):
        job = f"d{number:015x}"
        body = {"TaskSpec": "sample", "Steps": [step]}
        if not await deployment.submit(MANAGERS, f"/burl/{job}", body):
            raise CannotRunError("a submission was not accepted")
        jobs[job] = count
    await asyncio.sleep(1.0)
    small = {**step, "Count": 4}
    for number in range(5):
        job = f"d{0xF0 + number:015x}"
        body = {"TaskSpec": "reserve", "Steps": [small]}
        if await deployment.submit(MANAGERS, f"/burl/{job}", body):
            jobs[job] = 4
        await asyncio.sleep(0.5)
    watch = IdleWatch(deployment, deployment.workers, jobs)
    await watch.await_end()
    await watch.watch(15.0)
    for job in jobs:
        await deployment.state(MANAGERS, f"/burl/{job}")
    for refusal in sorted(set(deployment.store.refusals)):
        times = deployment.store.refusals.count(refusal)
        deployment.record("refused by the store", times, "times:", refusal)
    return watch.verdict()


# With TROUBLE=0 the case is played without its disruption.
run_case(Path(__file__).parent, play, trouble=os.environ.get("TROUBLE") != "0")
