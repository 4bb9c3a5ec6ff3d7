"""Random runs of the owner of a cell in virtual time, under up to three faults.

``CHIVETRAY_SEEDS`` names the seeds of each kind, as in
``CHIVETRAY_SEEDS=1-200 pytest -n 2 --dist load tests/test_run_once.py``.
"""

from __future__ import annotations

import itertools
import os
import random

import pytest
from run_once_helpers import FAULTS, explain, run_seed

FIRST, _, LAST = os.environ.get("CHIVETRAY_SEEDS", "4").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)

# Kinds that act together: each pair can break what neither breaks alone.
TOGETHER = (
    ("late_orders", "restarts"),
    ("network_delays", "restarts"),
    ("late_orders", "silent_workers"),
    ("late_orders", "freezes"),
    ("silent_workers", "kills"),
    ("silent_workers", "freezes"),
    ("silent_workers", "restarts"),
    ("restarts", "stale_lists"),
    ("restarts", "kills"),
    ("recuts", "kills"),
    ("recuts", "releases"),
    ("recuts", "stale_lists"),
    ("recuts", "network_delays"),
    ("moves", "freezes"),
    ("moves", "late_orders"),
    ("moves", "store_away"),
    ("drains", "late_orders"),
    ("lost_writes", "releases"),
    ("zone_cuts", "kills"),
    ("zone_cuts", "losses"),
    ("zone_cuts", "vm_orders"),
    ("zone_cuts", "owner_losses"),
    ("losses", "owner_losses"),
    ("losses", "silent_workers"),
    ("losses", "kills"),
    ("losses", "restarts"),
    ("silent_workers", "owner_losses"),
    ("vm_orders", "owner_losses"),
    ("moves", "kills"),
    ("store_away", "kills"),
    ("deadly_tasks", "kills"),
    ("deadly_tasks", "restarts"),
    ("deadly_tasks", "silent_workers"),
    ("deadly_tasks", "late_orders"),
    ("deadly_tasks", "owner_losses"),
    ("deadly_tasks", "drains"),
    ("capacity_changes", "late_orders"),
    ("capacity_changes", "silent_workers"),
    ("capacity_changes", "kills"),
    ("capacity_changes", "releases"),
)

# Kinds of which any three act together, and the number of draws for each seed.
ANY_THREE_OF = (
    "late_orders",
    "network_delays",
    "silent_workers",
    "restarts",
    "kills",
    "releases",
    "drains",
    "freezes",
    "moves",
    "lost_writes",
    "losses",
)
TRIPLES = 12


def draw_triples(seed: int) -> list[tuple[str, ...]]:
    every = list(itertools.combinations(ANY_THREE_OF, 3))
    return random.Random(f"triples/{seed}").sample(every, TRIPLES)


def check(kinds: tuple[str, ...], seed: int) -> None:
    outcome = run_seed(seed, kinds)
    assert not outcome.problems, explain(outcome)
    assert not outcome.failures, outcome.failures[:3]
    assert outcome.begun >= 20


class TestOneKindOfFault:
    """Guards against two runs of a task, too many tasks away, and waits without end."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("kind", FAULTS)
    def test_no_rule_is_broken(self, kind: str, seed: int) -> None:
        check((kind,), seed)

    def test_a_seed_gives_the_same_run_again(self) -> None:
        first, second = (run_seed(7, ("freezes",)) for _ in range(2))
        assert first.trace == second.trace


class TestTwoKindsOfFaults:
    """Guards against the same where one fault hides the other's effect."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("kinds", TOGETHER, ids="+".join)
    def test_no_rule_is_broken(self, kinds: tuple[str, ...], seed: int) -> None:
        check(kinds, seed)


class TestThreeKindsOfFaults:
    """Guards against the same where an owner changes while orders are lost."""

    @pytest.mark.parametrize(
        ("kinds", "seed"),
        [
            pytest.param(kinds, seed, id=f"{'+'.join(kinds)}-{seed}")
            for seed in SEEDS
            for kinds in draw_triples(seed)
        ],
    )
    def test_no_rule_is_broken(self, kinds: tuple[str, ...], seed: int) -> None:
        check(kinds, seed)
