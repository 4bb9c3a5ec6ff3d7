"""Workers whose capacity shrinks and grows, and the check of what begins there.

Simulated workers take every start, so only the manager keeps them within capacity. A
capacity that has shrunk counts once it may be known: the time within which managers
are in touch, and one heartbeat of the worker.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from run_once_helpers import Run, Sender, SimulatedWorker, World

CONTACT_S = 3.0
HEARTBEAT_S = 1.5
SMALLEST_SHARE = 0.3


def check_capacity(world: World, run: Run, sender: Sender) -> None:
    """Report a start that brings a worker over its capacity."""
    worker = run.worker
    if sender.late or not worker.capacity_changes:
        return
    tasks = world.ledger.tasks
    used = sum(tasks[name].step.cpu_milli for name in worker.runs)
    since_s = world.now_s() - CONTACT_S - HEARTBEAT_S
    before = [cpu for at_s, cpu in worker.capacity_changes if at_s <= since_s]
    within = [cpu for at_s, cpu in worker.capacity_changes if at_s > since_s]
    allowed = max([*before[-1:], *within])
    if used > allowed:
        text = f"{worker.worker_id} runs {used} of {allowed}, sent {sender.sent_s:.3f}"
        world.ledger.problem("LIMIT", run.task, text)


def _set_capacity(world: World, worker: SimulatedWorker, cpu_milli: int) -> None:
    world.ledger.say(f"{worker.worker_id} has {cpu_milli} thousandths of a core")
    worker.cpu_milli = cpu_milli
    worker.capacity_changes.append((world.now_s(), cpu_milli))
    world.publish(worker)


async def capacity_changes(world: World, rng: random.Random) -> None:
    """The capacity of workers shrinks, and grows again after a while."""
    full_milli = {name: worker.cpu_milli for name, worker in world.workers.items()}
    for worker in world.workers.values():
        worker.capacity_changes.append((0.0, worker.cpu_milli))
    while True:
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        up = [w for w in world.workers.values() if w.up and w.worker_id in full_milli]
        if not up:
            continue
        worker = rng.choice(up)
        share = rng.choice((1.0, 1.0, rng.uniform(SMALLEST_SHARE, 1.0)))
        _set_capacity(world, worker, int(full_milli[worker.worker_id] * share))
