"""Concurrent submissions while the store is slow, loses answers or rejects calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import anyio
from cell_helpers import MemoryStore

from chivetray.cells.acceptance import Acceptance, JobAcceptor
from chivetray.platform.calls import Answer, NoAnswer
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import RowId


class SlowStore(MemoryStore):
    """A store whose transactions take some time."""

    delay_s = 0.0

    async def call(self, *arguments: Any) -> Any:
        await asyncio.sleep(self.delay_s)
        return await super().call(*arguments)


def accept(
    count: int,
    delay_s: float = 0.0,
    fail: Callable[[int, Any], Any] = lambda number, body: None,
    timeout_s: float = 3.0,
    same: bool = False,
) -> tuple[list[Acceptance], SlowStore]:
    """Submit jobs of one queue at once; return the outcomes and the store."""
    store = SlowStore(StoreState())
    store.delay_s, store.fail = delay_s, fail
    outcomes: list[Acceptance] = []

    async def one(acceptor: JobAcceptor, tasks: Any, number: int) -> None:
        row = RowId("jobs", "q", "same" if same else f"{number:016x}")
        outcome, _ = await acceptor.create(tasks, row, b"x", timeout_s)
        outcomes.append(outcome)

    async def scenario() -> None:
        acceptor = JobAcceptor(store)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(one, acceptor, tasks, number)

    asyncio.run(scenario())
    return outcomes, store


class TestSlowStore:
    def test_a_burst_is_stored_in_few_transactions(self) -> None:
        """With one transaction per job, a slow store would reject most of a peak."""
        outcomes, store = accept(60, delay_s=0.3)
        assert outcomes == [Acceptance.STORED] * 60
        assert store.number <= 5

    def test_what_was_never_sent_is_refused_truthfully(self) -> None:
        outcomes, store = accept(300, delay_s=0.4, timeout_s=0.5)
        assert Acceptance.REFUSED in outcomes
        not_refused = len(outcomes) - outcomes.count(Acceptance.REFUSED)
        assert len(store.state.rows) <= not_refused
        assert outcomes.count(Acceptance.STORED) <= len(store.state.rows)


class TestOutcomes:
    def test_the_same_job_twice_is_stored_once(self) -> None:
        outcomes, store = accept(5, same=True)
        assert len(store.state.rows) == 1
        assert outcomes.count(Acceptance.STORED) >= 1
        assert set(outcomes) <= {Acceptance.STORED, Acceptance.STORED_BEFORE}

    def test_a_lost_answer_is_asked_again(self) -> None:
        state: dict[str, Any] = {}

        def fail(number: int, body: Any) -> Any:
            if number == 1:
                state["body"] = body
                return NoAnswer("lost")
            return None

        outcomes, store = accept(4, fail=fail)
        assert len(store.state.rows) == 4
        assert set(outcomes) <= {Acceptance.STORED, Acceptance.STORED_BEFORE}
        assert state

    def test_a_refusal_after_a_lost_answer_is_not_called_refused(self) -> None:
        def fail(number: int, body: Any) -> Any:
            return NoAnswer("lost") if number == 1 else Answer(503, {})

        outcomes, _ = accept(1, fail=fail, timeout_s=0.4)
        assert outcomes == [Acceptance.UNKNOWN]

    def test_a_refusal_is_told_at_once(self) -> None:
        outcomes, _ = accept(3, fail=lambda number, body: Answer(503, {}))
        assert outcomes == [Acceptance.REFUSED] * 3
