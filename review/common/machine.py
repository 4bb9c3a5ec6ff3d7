"""A machine whose workers follow each other under one Id, and a network that delays."""

from __future__ import annotations

import asyncio
import random

from deployment import Deployment
from standins import Answer, Request, Worker

# `applied_late`: a call gets no answer, and is carried out 2 to 12 s later.
LATE_S = (2.0, 12.0)

# Longer than any timeout of a caller.
NO_ANSWER_S = 20.0


class Machine:
    """Lives of a worker under one Id and address.

    :ivar late_share: share of the orders that get no answer and are carried out late
    """

    def __init__(self, deployment: Deployment, worker: Worker, seed: int):
        self._deployment = deployment
        self._random = random.Random(seed)
        self._life: Worker | None = worker
        self._tasks: set[asyncio.Task] = set()
        self.late_share = 0.0
        self.late_orders = 0
        worker.server.replace_handler(self._handle)

    async def _handle(self, request: Request) -> Answer:
        if self._life is None:
            # Dark: it neither answers nor resets.
            await asyncio.sleep(NO_ANSWER_S)
            return None
        is_order = request.path.endswith(("/run-start", "/run-stop"))
        if is_order and self._random.random() < self.late_share:
            self.late_orders += 1
            task = asyncio.create_task(self._carry_out_late(request))
            self._tasks.add(task)
            await asyncio.sleep(NO_ANSWER_S)
            return None
        return await self._life.handle(request)

    async def _carry_out_late(self, request: Request) -> None:
        sent_to, sent_s = self._life, self._deployment.now_s()
        await asyncio.sleep(self._random.uniform(*LATE_S))
        if self._life is None:
            return
        body = request.json()
        self._deployment.record(
            "late order",
            self._life.id,
            request.path.rpartition("/")[2],
            body["Task"],
            body["Attempt"],
            sent_at=round(sent_s, 3),
            other_life=self._life is not sent_to,
        )
        await self._life.handle(request)

    async def restart(self, down_s: float) -> None:
        """Let the worker fall silent; it starts again and knows nothing of before."""
        old = self._life
        if old is None:
            return
        self._life = None
        self._deployment.record("crash", old.id, runs=len(old.running))
        old.crash()
        await asyncio.sleep(down_s)
        self._life = await self._deployment.add_life(old)

    def close(self) -> None:
        """Forget what is to be carried out."""
        for task in self._tasks:
            task.cancel()
