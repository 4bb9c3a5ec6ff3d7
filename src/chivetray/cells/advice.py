"""Tickets that allow a step to run on a worker."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.cells.orders import StepName, Ticket
from chivetray.cells.state import CellState
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.jobs.job import Job
from chivetray.jobs.model import Step, TaskKey

# Workers that one call for advice names: more take longer, fewer may have no room.
ADVICE_WORKERS = 30

# A ticket is used only while it is valid for some time yet.
TICKET_MARGIN_S = 0.3


def advised_workers(
    state: CellState,
    job: Job,
    key: TaskKey,
    step: Step,
    rooms: list[WorkerState],
    now_s: float,
) -> list[WorkerState]:
    """Return the workers with a valid ticket for a step; ask for others."""
    name = (job.spec.job_id, key[0], key[1])
    tickets = state.tickets.get(name, {})
    valid = []
    for room in rooms:
        ticket = tickets.get(room.worker_id)
        if ticket is None or ticket.born != room.born:
            continue
        if ticket.until_s > now_s + TICKET_MARGIN_S:
            valid.append(room)
    if not any(room.fits(step) for room in valid):
        known = state.refused_workers.get(name, set())
        candidates = [
            room
            for room in rooms
            if room.fits_when_empty(step) and room.worker_id not in known
        ]
        candidates.sort(key=lambda room: (not room.fits(step), room.used_cpu_milli))
        asked = [room.worker_id for room in candidates[:ADVICE_WORKERS]]
        if asked:
            state.advice_wanted[name] = asked
    return valid


def take_advice(
    state: CellState,
    name: StepName,
    asked: Iterable[str],
    good: dict[str, str],
    until_s: float,
) -> None:
    """Take the tickets for a step; workers without one never get the step."""
    tickets = state.tickets.setdefault(name, {})
    refused = state.refused_workers.setdefault(name, set())
    for worker_id in asked:
        worker = state.workers.get(worker_id)
        if worker_id in good and worker is not None:
            tickets[worker_id] = Ticket(good[worker_id], worker.born, until_s)
        elif worker_id not in good:
            refused.add(worker_id)


def ticket_of(state: CellState, ref: TaskRef, worker_id: str) -> str:
    """Return the ticket for a task on a worker, or an empty text."""
    name = (ref[0], ref[1][0], ref[1][1])
    ticket = state.tickets.get(name, {}).get(worker_id)
    return ticket.text if ticket is not None else ""


def drop_ticket(state: CellState, ref: TaskRef, worker_id: str) -> None:
    """Forget a ticket that a worker has refused."""
    state.tickets.get((ref[0], ref[1][0], ref[1][1]), {}).pop(worker_id, None)
