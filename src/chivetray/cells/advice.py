"""Tickets that permit a step to run on a worker."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.cells.orders import StepRef, Ticket
from chivetray.cells.state import CellState
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.jobs.job import Job
from chivetray.jobs.model import Step, TaskKey

# Number of workers in one request for tickets: more take longer to answer, and fewer
# may all lack the resources.
MAX_WORKERS_PER_REQUEST = 30

# Shortest remaining validity with which a ticket is still used.
MIN_TICKET_VALIDITY_S = 0.3


def advised_workers(
    state: CellState,
    job: Job,
    key: TaskKey,
    step: Step,
    workers: list[WorkerState],
    now_s: float,
) -> list[WorkerState]:
    """Return the workers that have a valid ticket for a step.

    When the step fits on none of them, the best other candidates are recorded in
    ``advice_wanted``, so that tickets for them are requested.
    """
    name = (job.spec.job_id, key[0], key[1])
    tickets = state.tickets.get(name, {})
    valid = []
    for worker in workers:
        ticket = tickets.get(worker.worker_id)
        if ticket is None or ticket.incarnation != worker.incarnation:
            continue
        if ticket.valid_until_s > now_s + MIN_TICKET_VALIDITY_S:
            valid.append(worker)
    if not any(worker.fits(step) for worker in valid):
        # A step that waits for room on workers with tickets leaves the calls to others.
        excluded = state.refused_workers.get(name, set()) | {
            worker.worker_id for worker in valid
        }
        candidates = [
            worker
            for worker in workers
            if worker.fits_when_empty(step) and worker.worker_id not in excluded
        ]
        candidates.sort(
            key=lambda worker: (not worker.fits(step), worker.used_cpu_milli)
        )
        asked = [worker.worker_id for worker in candidates[:MAX_WORKERS_PER_REQUEST]]
        if asked:
            state.advice_wanted[name] = asked
    return valid


def record_tickets(
    state: CellState,
    name: StepRef,
    asked: Iterable[str],
    granted: dict[str, str],
    valid_until_s: float,
) -> None:
    """Record the tickets for a step; workers without one are excluded from it for good.

    :param asked: worker ids that the request named
    :param granted: tickets by worker id
    :param valid_until_s: time at which the tickets expire
    """
    tickets = state.tickets.setdefault(name, {})
    refused = state.refused_workers.setdefault(name, set())
    for worker_id in asked:
        worker = state.workers.get(worker_id)
        if worker_id in granted and worker is not None:
            tickets[worker_id] = Ticket(
                granted[worker_id], worker.incarnation, valid_until_s
            )
        elif worker_id not in granted:
            refused.add(worker_id)


def get_ticket(state: CellState, ref: TaskRef, worker_id: str) -> str:
    """Return the ticket for a task on a worker, or an empty string."""
    name = (ref[0], ref[1][0], ref[1][1])
    ticket = state.tickets.get(name, {}).get(worker_id)
    return ticket.text if ticket is not None else ""


def drop_ticket(state: CellState, ref: TaskRef, worker_id: str) -> None:
    """Remove a ticket that a worker has rejected."""
    state.tickets.get((ref[0], ref[1][0], ref[1][1]), {}).pop(worker_id, None)
