"""Looks at the workers of a cell, which extend leases and bring ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.reports import apply_look
from chivetray.cells.sharing import pace_orders, shares
from chivetray.cells.timing import LEASE_S, OWNERSHIP_S
from chivetray.cells.workers import WorkerState
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.workers import (
    Reply,
    TaskName,
    Verdict,
    WorkerAddress,
    WorkerClient,
)

if TYPE_CHECKING:
    from chivetray.cells.owner import CellOwner

# Longest wait of a look at a worker for an end; the platform's bound is 2 s.
LOOK_WAIT_MS = 2000

# The same while filling tasks share a worker with serving ones, whose tails are
# reported for the last half second.
SHARING_LOOK_WAIT_MS = 500

# A look waits for this share of a lease at most, so that two can fail before it ends.
LOOK_SHARE = 0.3

# Pause between looks at a worker that does not answer.
SILENT_LOOK_PAUSE_S = 0.25


class WorkerLooks:
    """One task for each worker, which looks at it as long as it has something."""

    def __init__(self, own: CellOwner, workers: WorkerClient):
        self._own = own
        self._state = own.state
        self._workers = workers
        self._events: dict[str, anyio.Event] = {}
        self._driven: set[str] = set()

    def drive_new(self, tasks: TaskGroup) -> None:
        """Begin with the workers that are new."""
        for worker in self._state.workers.values():
            if worker.worker_id not in self._driven and worker.address:
                self._driven.add(worker.worker_id)
                self._events[worker.worker_id] = anyio.Event()
                tasks.start_soon(self._drive, worker)

    def nudge(self, worker_id: str) -> None:
        """Let the task of a worker see what has changed."""
        event = self._events.get(worker_id)
        if event is not None:
            event.set()

    async def _drive(self, worker: WorkerState) -> None:
        """Look at one worker as long as it has something of this cell."""
        worker_id = worker.worker_id
        try:
            while not self._own.lost and self._state.workers.get(worker_id) is worker:
                event = self._events[worker_id] = anyio.Event()
                if self._needs_look(worker):
                    await self._look(worker)
                else:
                    with anyio.move_on_after(2.0):
                        await event.wait()
        finally:
            self._driven.discard(worker_id)

    @staticmethod
    def _needs_look(worker: WorkerState) -> bool:
        if not worker.address:
            return False
        if not worker.adopted:
            return worker.listed or bool(worker.tasks)
        return bool(worker.tasks) or worker.observed > worker.acknowledged

    async def _look(self, worker: WorkerState) -> None:
        """Extend the lease, let stored ends be forgotten, and wait for the next."""
        address = WorkerAddress(worker.worker_id, worker.address)
        sent_at_s = boot_time_s()
        deadline_ms: int | None = None
        wait_ms = 0
        owned = sent_at_s - self._own.confirmed_at_s < OWNERSHIP_S
        # A look at a silent worker may be carried out any time, so it brings no lease:
        # otherwise the leases there would never be known to be over.
        renews = worker.clock.known and worker.adopted and not worker.silent_since_s
        if renews and owned and worker.tasks:
            # Counted from a time that the worker's clock has surely passed, so that the
            # lease is no longer than a later owner waits for.
            lease_s = min(LEASE_S, self._own.longest_lease_s)
            deadline_ms = worker.clock.earliest_ms(sent_at_s) + int(lease_s * 1000)
            worker.deadline_ms = max(worker.deadline_ms, deadline_ms)
            # A look returns at once while ends are not acknowledged.
            if worker.observed == worker.seen_end:
                sharing = shares(worker)
                wait_ms = SHARING_LOOK_WAIT_MS if sharing else LOOK_WAIT_MS
                wait_ms = min(wait_ms, int(lease_s * 1000 * LOOK_SHARE))
        observed, born = worker.observed, worker.born
        reply = await self._workers.hold(
            address, self._own.epoch, observed, deadline_ms, wait_ms
        )
        if self._own.lost or self._state.workers.get(worker.worker_id) is not worker:
            return
        now_s = boot_time_s()
        if reply.verdict == Verdict.OK:
            self._heard(worker, reply, sent_at_s, now_s)
            if worker.born == born and (not reply.born or reply.born == born):
                worker.acknowledged = max(worker.acknowledged, observed)
            apply_look(self._state, worker, reply, sent_at_s, now_s)
            self._own.wake()
            await self._pace(worker)
            await self._wait_stored(worker)
            return
        await self._look_failed(worker, reply, sent_at_s, now_s)

    async def _wait_stored(self, worker: WorkerState) -> None:
        """Wait until the ends of a look are stored, but not past the lease.

        A look returns at once while ends are not acknowledged.
        """
        with anyio.move_on_after(LOOK_WAIT_MS / 1000):
            while worker.observed < worker.seen_end and not self._own.lost:
                event = self._events[worker.worker_id] = anyio.Event()
                await event.wait()

    async def _look_failed(
        self, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
    ) -> None:
        if reply.verdict == Verdict.FENCED:
            await self._own.check_guard()
        elif reply.verdict == Verdict.OTHER_LIFE:
            # Nothing of this life can run where another life answers.
            self._state.worker_lost(worker, now_s, "another worker answers")
            worker.listed = False
            self._own.wake()
        if not worker.silent_since_s:
            worker.silent_since_s = sent_at_s
            log_event(
                Event.WORKER_SILENT,
                worker=worker.worker_id,
                cell=self._state.name,
                verdict=reply.verdict.value,
                detail=reply.detail,
            )
        self._own.wake()
        await anyio.sleep(SILENT_LOOK_PAUSE_S)

    def _heard(
        self, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
    ) -> None:
        same_life = not reply.born or reply.born == worker.born
        if reply.clock_ms is not None and same_life:
            worker.clock.observe(reply.clock_ms, sent_at_s, now_s)
        if worker.silent_since_s:
            log_event(
                Event.WORKER_ANSWERS,
                worker=worker.worker_id,
                cell=self._state.name,
                silent_s=round(now_s - worker.silent_since_s, 3),
            )
            worker.silent_since_s = 0.0

    async def _pace(self, worker: WorkerState) -> None:
        """Slow filling tasks down or let them speed up, by the last look."""
        address = WorkerAddress(worker.worker_id, worker.address)
        for ref, attempt, percent in pace_orders(self._state, worker):
            reply = await self._workers.pace(
                address, self._own.epoch, TaskName(*ref), attempt, percent
            )
            log_event(
                Event.TASK_PACED,
                task=str(TaskName(*ref)),
                percent=percent,
                verdict=reply.verdict.value,
            )
