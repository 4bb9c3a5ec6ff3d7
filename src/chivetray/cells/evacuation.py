"""Evacuation of workers that drain or whose VM is needed elsewhere."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from chivetray.cells.orders import StepRef, StopOrder, StopReason
from chivetray.cells.reports import confirm_start
from chivetray.cells.state import CellState
from chivetray.cells.steps_at_work import StepsAtWork, step_ref
from chivetray.cells.timing import MAX_ORDER_DELAY_S
from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import STARTED_PHASES, Phase, Step, Task
from chivetray.jobs.placement import choose_worker
from chivetray.platform.workers import TaskName

# Time for which a worker stays reserved after the last request for its VM. An order may
# follow a request by ``MAX_REPORT_AGE_S`` of ``capacity.reports``; after it, the next
# request may have to wait for two VM calls that time out. A later request releases the
# worker.
RESERVATION_S = 6.0

# Time after which tasks that cannot be moved, since they keep no checkpoints, are
# stopped on a reserved worker.
EVACUATION_GRACE_S = 6.0

# Attempts of a task that are stopped at once to free a VM. Each costs a restart from a
# checkpoint; after that the task ends where it runs or is stopped after the grace.
EVACUATIONS_LIMIT = 2

# Shortest time for which a long-running task runs before it is moved from a VM that a
# wave takes down later. If other tasks take the room that was found for it, it may
# start on another such VM.
RELOCATION_INTERVAL_S = 5.0

# Unavailable tasks that one log line lists at most.
MAX_LISTED_TASKS = 20

# Age up to which a report proves that a long-running task is at work: the longest wait
# of a poll and the time that its answer may take. Counted from the send time of the
# poll, since a process that was suspended reads old answers.
MAX_REPORT_AGE_S = 2.7

# Time for which workers are polled at short intervals when a decision lacks recent
# reports: a poll with the longest wait, and a short one after it.
REPORTS_WANTED_S = 3.0


def reserve_workers(
    state: CellState,
    worker_ids: Iterable[str],
    now_s: float,
    uncertain_ids: Iterable[str] = (),
    awaiting_ids: Iterable[str] = (),
) -> None:
    """Reserve workers, so that nothing new is placed there; release all others.

    :param uncertain_ids: workers for whose VM an order of an earlier holder of VM
        orders may be carried out
    :param awaiting_ids: workers whose VM a wave has still to take down
    """
    state.vm_requests_at_s = now_s
    reserved_ids = set(worker_ids)
    uncertain_ids, awaiting_ids = set(uncertain_ids), set(awaiting_ids)
    for worker in state.workers.values():
        is_uncertain = worker.worker_id in uncertain_ids
        worker.vm_order_until_s = now_s + RESERVATION_S if is_uncertain else 0.0
        is_awaiting = worker.worker_id in awaiting_ids
        worker.maintenance_until_s = now_s + RESERVATION_S if is_awaiting else 0.0
        if worker.worker_id in reserved_ids:
            if not worker.is_reserved(now_s):
                worker.reserved_since_s = now_s
            worker.reserved_until_s = now_s + RESERVATION_S
        else:
            worker.reserved_until_s = 0.0


def await_reservations(state: CellState, now_s: float) -> None:
    """Expect orders for the VMs of empty workers until the holder tells its own.

    The holder may have asked the cell's earlier owner to reserve any of them.
    """
    for worker in state.workers.values():
        if not worker.tasks:
            worker.vm_order_until_s = now_s + RESERVATION_S


def evacuate(state: CellState, now_s: float) -> None:
    """Stop movable tasks on draining and reserved workers; they restart elsewhere.

    Long-running tasks also leave workers whose VM awaits maintenance: few may leave at
    a time, and the worker serves others meanwhile.
    """
    steps = count_at_work(state, now_s)
    for worker in state.workers.values():
        reserved = worker.is_reserved(now_s)
        if not reserved and not worker.draining:
            continue
        overdue = reserved and now_s - worker.reserved_since_s > EVACUATION_GRACE_S
        for ref, step in list(worker.tasks.items()):
            found = state.find_newest_attempt(worker, ref)
            if found is None or found[1].phase != Phase.RUNNING:
                continue
            job, task = found
            is_limited = step.long_running and step.max_unavailable > 0
            if step.best_effort and not is_limited:
                movable = True
            elif step.long_running:
                # On another VM that awaits maintenance it would soon be stopped again.
                stays_up = worker.awaits_maintenance(now_s) and not overdue
                movable = worker.draining or (
                    can_interrupt_task(state, job, task, step, now_s, steps)
                    and has_room(state, job, task, now_s, stays_up, steps)
                )
            else:
                is_spared = task.evacuations >= EVACUATIONS_LIMIT
                movable = reserved and (
                    overdue or (step.checkpointing and not is_spared)
                )
            if movable:
                _stop(state, worker, job, task, step, now_s, steps)
    blocked_steps: set[StepRef] = set()
    for worker in state.workers.values():
        is_serving = not worker.is_reserved(now_s) and not worker.draining
        if is_serving and worker.awaits_maintenance(now_s):
            _relocate_long_running(state, worker, now_s, blocked_steps, steps)


def _relocate_long_running(
    state: CellState,
    worker: WorkerState,
    now_s: float,
    blocked_steps: set[StepRef],
    steps: StepsAtWork,
) -> None:
    """Stop long-running tasks for which a worker has room that stays up.

    :param blocked_steps: job, occurrence and number of steps of which no task may be
        stopped in this round
    """
    if worker.silent_since_s:
        return
    for ref, step in list(worker.tasks.items()):
        is_excluded = not step.long_running or step.best_effort or step.gang
        if is_excluded or (ref[0], *ref[1][:2]) in blocked_steps:
            continue
        found = state.find_newest_attempt(worker, ref)
        if found is None or found[1].phase != Phase.RUNNING:
            continue
        job, task = found
        if now_s - task.running_at_s < RELOCATION_INTERVAL_S:
            continue
        if has_room(
            state, job, task, now_s, stays_up=True, steps=steps
        ) and can_interrupt_task(state, job, task, step, now_s, steps):
            _stop(state, worker, job, task, step, now_s, steps)
        else:
            blocked_steps.add(step_ref(job, task))


def _stop(
    state: CellState,
    worker: WorkerState,
    job: Job,
    task: Task,
    step: Step,
    now_s: float,
    steps: StepsAtWork,
) -> None:
    task.evacuations += 1
    if step.long_running:
        fields = _describe_step(state, worker, job, task, step, now_s, steps)
        log_event(Event.TASK_EVACUATED, **fields)
        steps.note_stopped(job, task)
    state.stop_task(job, task, StopReason.EVACUATION)


def has_room(
    state: CellState,
    job: Job,
    task: Task,
    now_s: float,
    stays_up: bool = False,
    steps: StepsAtWork | None = None,
) -> bool:
    """Return whether a worker other than a task's own could take the task now.

    :param stays_up: whether only workers count whose VM awaits no maintenance
    :param steps: counts of the present round, if it looks at several tasks
    """
    step = job.spec.steps[task.key[1]]
    steps = steps or count_at_work(state, now_s)
    tasks_per_worker = steps.count_places_of_others(job, task)
    candidates = [
        worker
        for worker in state.workers.values()
        if worker.worker_id != task.worker
        and not worker.isolated_for
        and worker.accepts_tasks(now_s)
        and worker.may_run(step, now_s)
        and not (stays_up and worker.awaits_maintenance(now_s))
    ]
    return choose_worker(step, candidates, set(), tasks_per_worker, {}) is not None


def count_at_work(state: CellState, now_s: float) -> StepsAtWork:
    """Return counts for one round of decisions."""
    return StepsAtWork(
        lambda task: _is_at_work(state, task),
        lambda task: now_s - task.listed_at_s < MAX_REPORT_AGE_S,
    )


def is_budget_left(job: Job, task: Task, step: Step, steps: StepsAtWork) -> bool:
    """Return whether recent reports allow that a long-running task is stopped."""
    away = steps.count_others_away(job, task, is_proof_wanted=True)
    return away < max(1, step.max_unavailable)


def can_interrupt_task(
    state: CellState,
    job: Job,
    task: Task,
    step: Step,
    now_s: float,
    steps: StepsAtWork | None = None,
) -> bool:
    """Return whether a long-running task may be stopped now.

    One task of its step may always be unavailable, and up to
    ``max_unavailable`` at once. If old reports prevent that, newer ones are requested.

    :param steps: counts of the present round, if it looks at several tasks
    """
    steps = steps or count_at_work(state, now_s)
    if is_budget_left(job, task, step, steps):
        return True
    away = steps.count_others_away(job, task, is_proof_wanted=False)
    ref = step_ref(job, task)
    if away < max(1, step.max_unavailable) and ref not in steps.reported:
        steps.reported.add(ref)
        for other in steps.find_others_at_work(job, task):
            worker = state.workers[other.worker]
            worker.reports_wanted_until_s = now_s + REPORTS_WANTED_S
    return False


def may_send_stop(state: CellState, order: StopOrder, now_s: float) -> bool:
    """Return whether a stop order may be sent now, for the first time or again.

    Others of a long-running task's step may have become unavailable since the stop was
    decided. The stop is withdrawn then, unless it may already be under way.
    """
    ref = (order.name.job_id, order.name.key)
    job, task = state.find_task(ref)
    worker = state.workers.get(order.worker_id)
    if job is None or task is None or worker is None:
        return True
    if task.worker != order.worker_id or task.attempt != order.attempt:
        return True
    if task.phase in STARTED_PHASES:
        # The stop was withdrawn.
        return False
    step = job.spec.steps[task.key[1]]
    if task.phase != Phase.STOPPING or job.state.ended:
        return True
    if not step.long_running or step.gang or worker.draining:
        return True
    if can_interrupt_task(state, job, task, step, now_s):
        return True
    report_age_s = now_s - worker.answered_poll_sent_at_s
    if not worker.tasks_known or report_age_s >= MAX_REPORT_AGE_S:
        worker.reports_wanted_until_s = now_s + REPORTS_WANTED_S
        return False
    if task.listed_at_s < worker.answered_poll_sent_at_s:
        # The attempt does not run, so that the stop makes nothing unavailable.
        return True
    if not task.stop_sent or now_s - task.stop_sent_at_s > MAX_ORDER_DELAY_S:
        log_event(
            Event.STOP_WITHDRAWN,
            reason=order.reason.value,
            decided_age_s=round(now_s - order.decided_at_s, 3),
            **_describe_step(state, worker, job, task, step, now_s),
        )
        task.phase, task.stop_sent = Phase.PLACED, False
        confirm_start(state, ref, task.attempt, now_s)
        state.mark_changed(job.spec.job_id)
    return False


def _describe_step(
    state: CellState,
    worker: WorkerState,
    job: Job,
    task: Task,
    step: Step,
    now_s: float,
    steps: StepsAtWork | None = None,
) -> dict[str, Any]:
    """Return a task and which others of its step are unavailable, for the log.

    :param steps: counts of the present round, if it looks at several tasks
    """
    steps = steps or count_at_work(state, now_s)
    oldest_s = steps.find_oldest_report_s(job, task)
    return {
        "task": str(TaskName(job.spec.job_id, task.key)),
        "attempt": task.attempt,
        "worker": worker.worker_id,
        "cell": state.name,
        "epoch": state.epoch,
        "draining": worker.draining,
        "reserved": worker.is_reserved(now_s),
        "unavailable": [
            [other.key[2], _unavailable_because(state, other)]
            for other in steps.find_others_away(job, task, MAX_LISTED_TASKS)
        ],
        "unavailable_count": steps.count_others_away(job, task, is_proof_wanted=False),
        "limit": step.max_unavailable,
        "tasks": step.count,
        "oldest_reply_s": 0.0 if oldest_s is None else round(now_s - oldest_s, 3),
    }


def _unavailable_because(state: CellState, task: Task) -> str:
    if task.phase != Phase.RUNNING:
        return task.phase.name.lower()
    worker = state.workers.get(task.worker)
    if worker is None or worker.silent_since_s:
        return "silent"
    if worker.draining:
        return "draining"
    return f"{task.percent} percent"


def _is_at_work(state: CellState, task: Task) -> bool:
    """Return whether a task was at work by the last report of its worker.

    A task of a draining worker is about to be stopped.
    """
    worker = state.workers.get(task.worker)
    if worker is None or worker.silent_since_s or worker.draining:
        return False
    return task.phase == Phase.RUNNING and task.percent >= 100
