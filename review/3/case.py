"""LOST: all processes are killed right after a route got another service."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path

from deployment import CannotRunError, Deployment, run_case
from idle import IdleWatch

CPU, DURATION_S, COUNT = 2000, 3.0, 96
MANAGERS = ["m1", "m2"]
RESTART_S = 1.5


async def play(deployment: Deployment) -> str:
    """Play the case; return how the rule was broken."""
    await deployment.start_platform()
    for service in ("noce", "rovere"):
        for number in range(2):
            await deployment.add_worker(
                f"i-{service}-{number}", service, 16_000, lambda _t: (CPU, DURATION_S)
            )
    noce = [worker for worker in deployment.workers if worker.service == "noce"]
    services = ["noce", "rovere"]
    deployment.put_config(1, {"/a/": "noce", "/b/": "rovere"}, services)
    for name in MANAGERS:
        await deployment.start_manager(name)
    for name in MANAGERS:
        await deployment.await_ready(name)
    await asyncio.sleep(2.0)
    # 96 work units of 3 s, of which 16 run at a time: some 18 s.
    job = "c000000000000001"
    step = {"Count": COUNT, "Cpu": CPU, "MemMb": 64, "EstimateMs": 3000}
    body = {"TaskSpec": "reserve", "Steps": [step]}
    if not await deployment.submit(MANAGERS, f"/a/{job}", body):
        raise CannotRunError("the submission was not accepted")
    # One occurrence that is due in 20 s.
    timed = "c000000000000002"
    due_s = 20.0
    due_at_s = time.monotonic() + due_s
    body = {
        "TaskSpec": "reconcile",
        "Steps": [{**step, "Count": 4}],
        "RepeatCount": 1,
        "IntervalMs": 1000,
        "StartAtMs": int((time.time() + due_s) * 1000),
    }
    if not await deployment.submit(MANAGERS, f"/a/{timed}", body):
        raise CannotRunError("the timed submission was not accepted")
    await asyncio.sleep(5.0)
    if not any(worker.running for worker in noce):
        raise CannotRunError("the submission does not run")
    deployment.put_config(2, {"/a/": "rovere", "/b/": "rovere"}, services)
    if deployment.trouble:
        for name in MANAGERS:
            await deployment.stop_manager(name, signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for name in MANAGERS:
            await deployment.start_manager(name)
        for name in MANAGERS:
            await deployment.await_ready(name)
    # The work takes some 18 s, and one occurrence is due now.
    await asyncio.sleep(max(0.0, due_at_s - time.monotonic()))
    watch = IdleWatch(deployment, deployment.workers, {job: COUNT, timed: 4})
    await watch.await_end()
    await watch.watch(15.0)
    for name in MANAGERS:
        for each in (job, timed):
            await deployment.state([name], f"/a/{each}")
    return watch.verdict()


# With TROUBLE=0 the case is played without its disruption.
run_case(Path(__file__).parent, play, trouble=os.environ.get("TROUBLE") != "0")
