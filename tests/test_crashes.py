"""Tasks that crash the workers that start them."""

from __future__ import annotations

import pytest
from run_once_helpers import explain, run_seed


class TestDeadlyTasks:
    # Guards against BUDGET: a task that crashes its workers was started for ever.
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_task_that_crashes_its_workers_is_stopped_for_good(self, seed) -> None:
        outcome = run_seed(seed, ("deadly_tasks",))
        assert not outcome.problems, explain(outcome)
        assert not outcome.failures, outcome.failures[:3]
