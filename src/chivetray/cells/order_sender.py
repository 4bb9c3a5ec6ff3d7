"""Sends start and stop orders to workers and retries them until they are answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.advice import drop_ticket, get_ticket
from chivetray.cells.answers import reject_foreign
from chivetray.cells.copies import copy_tasks, resend_copy_stops
from chivetray.cells.evacuation import may_send_stop
from chivetray.cells.orders import Placement, StopOrder, StopReason
from chivetray.cells.pace import record_start, review
from chivetray.cells.places import describe_others, has_place
from chivetray.cells.polling import WorkerPoller
from chivetray.cells.reports import confirm_start, confirm_stop, reject_start
from chivetray.cells.timing import RETRY_PAUSE_S, TICK_S
from chivetray.cells.workers import WorkerState
from chivetray.clocks import boot_time_s
from chivetray.defects import log_defect
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Task
from chivetray.platform.workers import (
    Reply,
    TaskName,
    Verdict,
    WorkerAddress,
    WorkerClient,
)

if TYPE_CHECKING:
    from chivetray.cells.owner import CellOwner

# Lease that a start order grants until the next poll extends it. The worker rejects a
# start order that arrives after the end of this lease.
START_LEASE_S = 4.0

# Tries of one order in a row. ``resend_unconfirmed`` repeats it after that.
ORDER_TRIES = 3

# Pause of placements on a worker that has rejected a start order. An unhealthy worker
# recovers within seconds, a worker without free capacity at its next ended attempt.
UNHEALTHY_PAUSE_S = 1.0
NO_ROOM_PAUSE_S = 0.2

# Pause before an order is sent again that failed by an error of this process.
FAILED_ORDER_PAUSE_S = 2.0

# Unconfirmed stop orders whose first decision is remembered for the log.
MAX_REMEMBERED_STOPS = 1000


@dataclass(slots=True)
class _StopProgress:
    """First decision to stop an attempt, and the number of tries since."""

    order: StopOrder
    tries: int = 0


class OrderSender:
    """Sends the orders of one cell, with at most one call in flight for each order."""

    def __init__(
        self, cell_owner: CellOwner, workers: WorkerClient, poller: WorkerPoller
    ):
        self._cell_owner = cell_owner
        self._state = cell_owner.state
        self._workers = workers
        self._poller = poller
        self._starting: set[tuple[object, int]] = set()
        self._stopping: set[tuple[str, str, int]] = set()
        self._stops: dict[tuple[str, str, int], _StopProgress] = {}
        self._resent_at_s = 0.0

    def resend_unconfirmed(self, task_group: TaskGroup) -> None:
        """Repeat the orders whose execution is not confirmed, once per tick at most."""
        now_s = boot_time_s()
        if now_s - self._resent_at_s < TICK_S:
            return
        self._resent_at_s = now_s
        review(self._state, now_s)
        copy_tasks(self._state, now_s)
        uncommitted = self._state.changed_job_ids() | self._state.held_job_ids
        for worker in list(self._state.workers.values()):
            if not worker.tasks_known or worker.silent_since_s or not worker.address:
                continue
            resend_copy_stops(self._state, worker, now_s)
            for ref in worker.tasks:
                newest_attempt = self._state.find_newest_attempt(worker, ref)
                if newest_attempt is None or ref[0] in uncommitted:
                    continue
                _, task = newest_attempt
                if task.phase == Phase.PLACED:
                    placement = Placement(
                        ref, task.attempt, worker.worker_id, worker.incarnation
                    )
                    self.send_start(task_group, placement)
                elif task.phase == Phase.STOPPING and not task.stopped_at_s:
                    name = TaskName(*ref)
                    self._state.stop_orders.append(
                        StopOrder(
                            name,
                            task.attempt,
                            worker.worker_id,
                            StopReason.EARLIER_OWNER,
                        )
                    )

    def send_start(self, task_group: TaskGroup, placement: Placement) -> None:
        """Begin to send a start order whose placement is stored."""
        key = (placement.ref, placement.attempt)
        if key not in self._starting:
            self._starting.add(key)
            task_group.start_soon(self._send_start_with_retries, placement)

    async def _send_start_with_retries(self, placement: Placement) -> None:
        try:
            for _ in range(ORDER_TRIES):
                if await self._send_start_once(placement):
                    return
                await anyio.sleep(RETRY_PAUSE_S)
        except Exception as error:
            await self._pause_after_defect("start", placement.worker_id, error)
        finally:
            self._starting.discard((placement.ref, placement.attempt))

    async def _send_start_once(self, placement: Placement) -> bool:
        """Send a start order once; return whether no retry is needed."""
        cancellations = self._cell_owner.cancellations
        if not cancellations.may_start(boot_time_s()):
            await cancellations.refresh()
        job = self._state.jobs.get(placement.ref[0])
        task = job.tasks.get(placement.ref[1]) if job else None
        worker = self._state.workers.get(placement.worker_id)
        if job is None or task is None or worker is None or self._cell_owner.lost:
            return True
        if task.phase != Phase.PLACED or task.attempt != placement.attempt:
            return True
        if not worker.clock.known or worker.incarnation != placement.incarnation:
            return True
        if worker.silent_since_s:
            # Each try would grant a lease; it is sent again once the worker answers.
            return True
        if worker.lease_end_held:
            return True
        if worker.listed and not worker.is_described:
            # ``resend_unconfirmed`` tries again once the list has come.
            return True
        step = job.spec.steps[task.key[1]]
        is_unsuitable = worker.is_overcommitted or not worker.has_label(step)
        if worker.listed and is_unsuitable:
            reason = StopReason.WORKER_UNSUITABLE
            return self._withhold_start(job, task, placement, reason)
        if not has_place(worker, placement.ref, step):
            return self._withhold_start_beside_others(job, task, worker, placement)
        sent_at_s = boot_time_s()
        lease_s = self._cell_owner.limit_lease_s(START_LEASE_S, sent_at_s)
        if not lease_s:
            return True
        if not cancellations.may_start(sent_at_s):
            # ``resend_unconfirmed`` tries again.
            return True
        if not self._cell_owner.is_worker_list_recent(sent_at_s):
            list_age_s = sent_at_s - self._cell_owner.workers_listed_at_s
            log_event(
                Event.WORKER_LIST_OLD,
                cell=self._state.name,
                epoch=self._cell_owner.epoch,
                age_s=round(list_age_s, 1),
            )
            return True
        self._log_limited_start(job, task, worker, placement)
        deadline_ms = worker.clock.lower_bound_ms(sent_at_s) + int(lease_s * 1000)
        worker.deadline_ms = max(worker.deadline_ms, deadline_ms)
        worker.lease_sent_at_s = max(worker.lease_sent_at_s, sent_at_s)
        token = self._cell_owner.fencing_token(worker)
        lease_order = worker.lease_orders.begin(sent_at_s)
        earlier_try_unanswered = task.start_unanswered
        task.start_unanswered, task.start_sent_at_s = True, sent_at_s
        reply = await self._workers.start(
            WorkerAddress(worker.worker_id, worker.address),
            token,
            TaskName(*placement.ref),
            placement.attempt,
            job.spec.payload,
            deadline_ms,
            task.checkpoint,
            get_ticket(self._state, placement.ref, worker.worker_id),
        )
        now_s = boot_time_s()
        if self._cell_owner.lost:
            return True
        is_foreign = reject_foreign(
            worker,
            reply,
            sent_at_s,
            now_s,
            placement.incarnation,
            order="start",
            task=str(TaskName(*placement.ref)),
            attempt=placement.attempt,
            epoch=self._cell_owner.epoch,
        )
        is_unanswered = is_foreign or reply.verdict == Verdict.NO_ANSWER
        worker.lease_orders.end(lease_order, not is_unanswered)
        # An earlier unanswered try may still be executed, whatever this reply says.
        if task.attempt == placement.attempt:
            task.start_unanswered = earlier_try_unanswered or is_unanswered
            task.unanswered_starts += is_unanswered
            if is_foreign and not earlier_try_unanswered:
                # It cannot have crashed the former life, where it has not begun.
                task.settled = True
        self._log_start(placement, task, worker, reply, deadline_ms, sent_at_s)
        if reply.incarnation > worker.incarnation:
            self._state.handle_worker_restart(worker, reply.incarnation, now_s)
        if is_foreign or worker.incarnation != placement.incarnation:
            # Which incarnation has answered is unknown; the start is sent again.
            self._poller.wake_worker(worker.worker_id)
            return True
        if reply.clock_ms is not None:
            worker.clock.observe(reply.clock_ms, sent_at_s, now_s)
        return await self._handle_start_reply(
            placement, worker, reply, earlier_try_unanswered
        )

    def _withhold_start(
        self, job: Job, task: Task, placement: Placement, reason: StopReason
    ) -> bool:
        """Give up an attempt that its worker no longer suits; return ``True``.

        A worker that checks no admission would start it. A start that may be carried
        out already is stopped there.
        """
        if task.may_start_late:
            self._state.stop_attempt(job, task.key, reason)
        else:
            reject_start(self._state, placement, boot_time_s())
        self._cell_owner.wake()
        return True

    def _withhold_start_beside_others(
        self, job: Job, task: Task, worker: WorkerState, placement: Placement
    ) -> bool:
        """Give up an attempt where its step has no place left; return ``True``.

        Others may have become known there since the placement.
        """
        log_event(
            Event.START_WITHHELD,
            task=str(TaskName(*placement.ref)),
            attempt=placement.attempt,
            worker=placement.worker_id,
            incarnation=placement.incarnation,
            epoch=self._cell_owner.epoch,
            others=describe_others(self._state, worker, placement.ref),
        )
        return self._withhold_start(job, task, placement, StopReason.NO_PLACE)

    def _log_limited_start(
        self, job: Job, task: Task, worker: WorkerState, placement: Placement
    ) -> None:
        """Log who else counts towards the limit of a step on the worker of a start."""
        step = job.spec.steps[task.key[1]]
        if step.per_worker:
            log_event(
                Event.LIMITED_START_SENT,
                task=str(TaskName(*placement.ref)),
                attempt=placement.attempt,
                worker=placement.worker_id,
                incarnation=placement.incarnation,
                epoch=self._cell_owner.epoch,
                limit=step.per_worker,
                others=describe_others(self._state, worker, placement.ref),
                unanswered_tries=task.unanswered_starts,
            )

    def _log_start(
        self,
        placement: Placement,
        task: Task,
        worker: WorkerState,
        reply: Reply,
        deadline_ms: int,
        sent_at_s: float,
    ) -> None:
        """Log the outcome of a start, unless the first try was simply accepted."""
        fields: dict[str, Any] = {
            "task": str(TaskName(*placement.ref)),
            "attempt": placement.attempt,
            "worker": worker.worker_id,
            "verdict": reply.verdict.value,
            "epoch": self._cell_owner.epoch,
            "incarnation": placement.incarnation,
            "deadline_ms": deadline_ms,
            "clock_ms": reply.clock_ms,
            "took_s": round(boot_time_s() - sent_at_s, 3),
            "unanswered_tries": task.unanswered_starts,
        }
        if reply.verdict in (Verdict.OK, Verdict.OLD):
            if task.unanswered_starts or reply.verdict == Verdict.OLD:
                log_event(Event.START_CONFIRMED, **fields)
            return
        log_event(
            Event.ORDER_FAILED,
            order="start",
            detail=reply.detail,
            used_cpu=worker.used_cpu_milli,
            **fields,
        )

    async def _handle_start_reply(
        self,
        placement: Placement,
        worker: WorkerState,
        reply: Reply,
        earlier_try_unanswered: bool,
    ) -> bool:
        now_s = boot_time_s()
        verdict = reply.verdict
        if verdict in (Verdict.OK, Verdict.OLD):
            record_start(self._state, worker, placement.ref[0], False, now_s)
            # ``OLD``: the attempt has already ended there; the next poll reports how.
            confirm_start(self._state, placement.ref, placement.attempt, now_s)
            self._poller.wake_worker(worker.worker_id)
            return True
        if verdict == Verdict.BAD_TICKET:
            drop_ticket(self._state, placement.ref, worker.worker_id)
        if verdict == Verdict.FENCED:
            await self._cell_owner.verify_ownership()
            return True
        if verdict == Verdict.NO_ANSWER:
            self._poller.wake_worker(worker.worker_id)
        if verdict in (Verdict.NO_ANSWER, Verdict.LATE):
            return False
        if verdict == Verdict.OTHER_INCARNATION:
            self._poller.wake_worker(worker.worker_id)
            return True
        if verdict == Verdict.NOT_SENT and earlier_try_unanswered:
            # The worker may have accepted an earlier try.
            return False
        if verdict not in (Verdict.BAD_TICKET, Verdict.NOT_SENT):
            record_start(self._state, worker, placement.ref[0], True, now_s)
        pause_s = UNHEALTHY_PAUSE_S
        if verdict in (Verdict.NO_CAPACITY, Verdict.BAD_TICKET):
            pause_s = NO_ROOM_PAUSE_S
        if earlier_try_unanswered:
            # An earlier unanswered try may still be executed. A stop order prevents
            # that permanently.
            job = self._state.jobs[placement.ref[0]]
            self._state.stop_attempt(job, placement.ref[1], StopReason.REFUSED_START)
            self._cell_owner.wake()
            return True
        reject_start(self._state, placement, now_s, pause_s)
        self._cell_owner.wake()
        return True

    def send_stops(self, task_group: TaskGroup) -> None:
        """Begin to send the pending stop orders."""
        orders, self._state.stop_orders = self._state.stop_orders, []
        for order in orders:
            key = (str(order.name), order.worker_id, order.attempt)
            if key not in self._stopping:
                self._stopping.add(key)
                task_group.start_soon(self._send_stop_with_retries, order)

    async def _send_stop_once(self, order: StopOrder, worker: WorkerState) -> Reply:
        _, task = self._state.find_task((order.name.job_id, order.name.key))
        if task is not None and task.attempt != order.attempt:
            task = None
        sent_before = task is not None and task.stop_sent
        if task is not None:
            task.stop_sent, task.stop_sent_at_s = True, boot_time_s()
        address = WorkerAddress(worker.worker_id, worker.address)
        sent_at_s, incarnation = boot_time_s(), worker.incarnation
        token = self._cell_owner.fencing_token(worker)
        reply = await self._workers.stop(address, token, order.name, order.attempt)
        if token < self._cell_owner.fencing_token(worker) or reject_foreign(
            worker,
            reply,
            sent_at_s,
            boot_time_s(),
            incarnation,
            order="stop",
            task=str(order.name),
            attempt=order.attempt,
            epoch=self._cell_owner.epoch,
        ):
            reply = Reply(Verdict.OTHER_INCARNATION, detail="clock")
        is_unsent = reply.verdict == Verdict.NOT_SENT and not sent_before
        if task is not None and task.attempt == order.attempt and is_unsent:
            task.stop_sent = False
        return reply

    async def _send_stop_with_retries(self, order: StopOrder) -> None:
        progress = self._remember_stop(order)
        try:
            for _ in range(ORDER_TRIES):
                worker = self._state.workers.get(order.worker_id)
                if worker is None or not worker.address or self._cell_owner.lost:
                    return
                if not may_send_stop(self._state, progress.order, boot_time_s()):
                    self._forget_withdrawn_stop(order)
                    self._cell_owner.wake()
                    return
                progress.tries += 1
                incarnation = worker.incarnation
                reply = await self._send_stop_once(order, worker)
                if self._cell_owner.lost:
                    return
                self._log_stop(progress, worker, reply)
                if reply.verdict in (Verdict.OK, Verdict.OLD):
                    now_s = boot_time_s()
                    confirm_stop(
                        self._state, order, reply.incarnation or incarnation, now_s
                    )
                    self._poller.wake_worker(order.worker_id)
                    return
                if reply.verdict == Verdict.FENCED:
                    await self._cell_owner.verify_ownership()
                    return
                if reply.verdict == Verdict.OTHER_INCARNATION:
                    self._poller.wake_worker(order.worker_id)
                    return
                await anyio.sleep(RETRY_PAUSE_S)
        except Exception as error:
            await self._pause_after_defect("stop", order.worker_id, error)
        finally:
            key = (str(order.name), order.worker_id, order.attempt)
            self._stopping.discard(key)

    async def _pause_after_defect(
        self, order: str, worker_id: str, error: Exception
    ) -> None:
        """Log an error that ended one order, and hold up that order alone."""
        log_defect(
            Event.WORKER_FAILED,
            error,
            worker=worker_id,
            cell=self._state.name,
            epoch=self._cell_owner.epoch,
            order=order,
        )
        await anyio.sleep(FAILED_ORDER_PAUSE_S)

    def _remember_stop(self, order: StopOrder) -> _StopProgress:
        """Return the first order to stop an attempt, with the number of its tries."""
        key = (str(order.name), order.worker_id, order.attempt)
        if key not in self._stops:
            if len(self._stops) >= MAX_REMEMBERED_STOPS:
                del self._stops[next(iter(self._stops))]
            self._stops[key] = _StopProgress(order)
        return self._stops[key]

    def _forget_withdrawn_stop(self, order: StopOrder) -> None:
        """Forget a stop whose task goes on; one that is put off stays remembered."""
        _, task = self._state.find_task((order.name.job_id, order.name.key))
        if task is None or task.phase != Phase.STOPPING:
            self._stops.pop((str(order.name), order.worker_id, order.attempt), None)

    def _log_stop(
        self, progress: _StopProgress, worker: WorkerState, reply: Reply
    ) -> None:
        """Log the outcome of one try to stop an attempt."""
        order = progress.order
        fields: dict[str, Any] = {
            "task": str(order.name),
            "attempt": order.attempt,
            "worker": order.worker_id,
            "verdict": reply.verdict.value,
            "reason": order.reason.value,
            "try_number": progress.tries,
            "decided_age_s": round(boot_time_s() - order.decided_at_s, 3),
            "epoch": self._cell_owner.epoch,
            "incarnation": worker.incarnation,
        }
        if reply.verdict in (Verdict.OK, Verdict.OLD):
            self._stops.pop((str(order.name), order.worker_id, order.attempt), None)
            log_event(Event.STOP_CONFIRMED, **fields)
        else:
            log_event(Event.ORDER_FAILED, order="stop", **fields)
