"""Which process takes which cell without an owner."""

from __future__ import annotations

from chivetray.cells.ranking import Candidate, rank_candidates

CELLS = ["a", "b", "c", "d"]


class TestRanking:
    def test_the_cells_of_one_lost_owner_go_to_several_processes(self) -> None:
        """One process once ranked first for all, and gave one up a second later."""
        equal = {name: Candidate(1000, 1) for name in ("p", "q", "r")}
        ranked = rank_candidates(equal, ["b", "c", "d"], CELLS)
        assert len({names[0] for names in ranked.values()}) == 3

    def test_processes_that_know_the_same_rank_alike(self) -> None:
        """Taking one cell once put a process second for the next, in its view only."""
        sizes = {"p": Candidate(1000, 0), "q": Candidate(1000, 1)}
        assert rank_candidates(sizes, ["a", "b"], CELLS) == rank_candidates(
            dict(reversed(sizes.items())), ["b", "a"], CELLS
        )

    def test_the_one_with_most_room_comes_first(self) -> None:
        sizes = {"small": Candidate(500, 0), "large": Candidate(2000, 2)}
        assert rank_candidates(sizes, ["a"], CELLS)["a"] == ["large", "small"]

    def test_without_candidates_nobody_takes_a_cell(self) -> None:
        assert rank_candidates({}, ["a"], CELLS) == {"a": []}
