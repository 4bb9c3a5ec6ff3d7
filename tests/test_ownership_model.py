"""A model of the ownership protocol, and two naive variants that violate it.

The model has two workers, one task, and successive owners of which earlier ones may
still assume that they own the cell. Orders may be executed at any later time, and
repeatedly. A worker may be unreachable for later owners while it continues to work.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from hypothesis.strategies import integers, sampled_from

WORKERS = (0, 1)
TASKS = (0,)
OWNERS = integers(0, 1)

WAITING, PLACED, DONE = "waiting", "placed", "done"

MODEL_SETTINGS = settings(
    max_examples=300,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


class RuleBrokenError(AssertionError):
    """A task ran twice."""


@dataclass
class Progress:
    """Progress of a task."""

    phase: str = WAITING
    attempt: int = 0
    worker: int = -1


@dataclass
class Order:
    """A start order in transit."""

    epoch: int
    worker: int
    task: int
    attempt: int


@dataclass
class Worker:
    """A worker that keeps the highest fencing token and attempt that it has seen."""

    fence: int = 0
    running: dict[int, int] = field(default_factory=dict)
    highest: dict[int, int] = field(default_factory=dict)
    ended: dict[int, int] = field(default_factory=dict)

    def accepts(self, epoch: int) -> bool:
        if epoch < self.fence:
            return False
        self.fence = epoch
        return True

    def start(self, order: Order) -> bool:
        """Return whether a run has begun."""
        seen = self.highest.get(order.task, 0)
        if not self.accepts(order.epoch) or order.attempt <= seen:
            return False
        self.highest[order.task] = order.attempt
        self.running[order.task] = order.attempt
        return True

    def stop(self, task: int, attempt: int) -> None:
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        if self.running.get(task, 0) <= attempt:
            self.running.pop(task, None)


@dataclass
class Owner:
    """A process and its possibly stale view of the cell."""

    epoch: int = 0
    view: dict[int, Progress] = field(default_factory=dict)
    adopted: set[int] = field(default_factory=set)


class Protocol(RuleBasedStateMachine):
    """Owners that write ahead, and poll a worker before they place tasks on it."""

    write_ahead = True
    poll_first = True

    def __init__(self) -> None:
        super().__init__()
        self.epoch = 0
        self.rows = {task: Progress() for task in TASKS}
        self.workers = {worker: Worker() for worker in WORKERS}
        self.owners = {number: Owner() for number in range(2)}
        self.orders: list[Order] = []
        self.noted: set[int] = set()

    def store(self, owner: Owner, task: int, progress: Progress) -> bool:
        """Write a row under the owner's epoch."""
        if owner.epoch != self.epoch:
            return False
        self.rows[task] = progress
        return True

    @rule(number=OWNERS)
    def take_over(self, number: int) -> None:
        self.epoch += 1
        view = {t: Progress(p.phase, p.attempt, p.worker) for t, p in self.rows.items()}
        adopted = set() if self.poll_first else set(WORKERS)
        if not self.poll_first:
            # No worker was polled, so placed tasks are considered lost.
            for progress in view.values():
                if progress.phase == PLACED:
                    progress.phase = WAITING
        self.owners[number] = Owner(self.epoch, view, adopted)

    @rule(number=OWNERS, worker=integers(0, 1))
    def list_tasks(self, number: int, worker: int) -> None:
        owner, found = self.owners[number], self.workers[worker]
        if not owner.epoch or not found.accepts(owner.epoch):
            return
        for task, attempt in list(found.running.items()):
            known = owner.view[task]
            if (known.phase, known.worker, known.attempt) != (PLACED, worker, attempt):
                found.stop(task, attempt)
        for task, progress in owner.view.items():
            if progress.phase != PLACED or progress.worker != worker:
                continue
            if found.ended.get(task) == progress.attempt:
                done = Progress(DONE, progress.attempt, worker)
                if self.store(owner, task, done):
                    owner.view[task] = done
                    self.noted.add(task)
            elif worker not in owner.adopted and task not in found.running:
                # The start order of an earlier owner is fenced off by now.
                progress.phase = WAITING
        owner.adopted.add(worker)

    @rule(number=OWNERS, task=sampled_from(TASKS), worker=integers(0, 1))
    def place(self, number: int, task: int, worker: int) -> None:
        owner = self.owners[number]
        if not owner.epoch or worker not in owner.adopted:
            return
        known = owner.view[task]
        if known.phase != WAITING:
            return
        placed = Progress(PLACED, known.attempt + 1, worker)
        if self.write_ahead and not self.store(owner, task, placed):
            return
        owner.view[task] = placed
        self.orders.append(Order(owner.epoch, worker, task, placed.attempt))

    @rule(number=OWNERS, worker=integers(0, 1))
    def serve(self, number: int, worker: int) -> None:
        """The regular sequence: a poll, a placement, and the start without delay."""
        self.list_tasks(number, worker)
        for task in TASKS:
            before = len(self.orders)
            self.place(number, task, worker)
            if len(self.orders) > before:
                self.deliver(before)

    @precondition(lambda self: self.orders)
    @rule(number=integers(0, 20))
    def deliver(self, number: int) -> None:
        """Execute an order, which stays in transit and may be delivered again."""
        order = self.orders[number % len(self.orders)]
        if self.workers[order.worker].start(order) and order.task in self.noted:
            raise RuleBrokenError("a task began after its end was noted")

    @rule(worker=integers(0, 1), task=sampled_from(TASKS))
    def finish(self, worker: int, task: int) -> None:
        found = self.workers[worker]
        if task in found.running:
            found.ended[task] = found.running.pop(task)

    @invariant()
    def no_task_runs_twice(self) -> None:
        for task in TASKS:
            runs = sum(task in worker.running for worker in self.workers.values())
            if runs > 1:
                raise RuleBrokenError("a task runs on two workers")


class WithoutWriteAhead(Protocol):
    """Owners that send a start before its placement is stored."""

    write_ahead = False


class WithoutPolls(Protocol):
    """Owners that start tasks without polling the workers first."""

    poll_first = False


class TestOwnership:
    def test_no_order_of_events_runs_a_task_twice(self) -> None:
        run_state_machine_as_test(Protocol, settings=MODEL_SETTINGS)

    @pytest.mark.parametrize("naive", [WithoutWriteAhead, WithoutPolls])
    def test_a_naive_owner_is_detected(self, naive: type[Protocol]) -> None:
        with pytest.raises(RuleBrokenError):
            run_state_machine_as_test(naive, settings=MODEL_SETTINGS)
