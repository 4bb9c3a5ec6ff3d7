from __future__ import annotations

import pytest
from random_run import PLAN, RandomRun

CI_DURATION_S = 25.0


class TestRandomRun:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_nothing_is_doubled_crossed_cut_or_falsely_refused(self, start_fleet, seed):
        print(f"seed {seed}")
        outcome = RandomRun(start_fleet(PLAN), seed).run(CI_DURATION_S)
        assert outcome.problems == [], outcome.faults
        assert outcome.codes[0] > 100
