"""Ranking of the processes that may take over cells without an owner."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """A process that can own cells.

    :ivar capacity: CPU capacity of the process, in thousandths of a core
    :ivar cells: number of cells that it owns
    """

    capacity: int
    cells: int

    @property
    def capacity_per_cell(self) -> float:
        """Capacity per cell after taking one more, in thousandths of a core."""
        return self.capacity / (self.cells + 1)


def rank_candidates(
    candidates: Mapping[str, Candidate],
    free_cells: Iterable[str],
    all_cells: Iterable[str],
) -> dict[str, list[str]]:
    """Return the names of the candidates for each cell without an owner, best first.

    Candidates with the most capacity per cell come first. The free cells ranked before
    count as taken by their first candidates, so that several free cells go to several
    processes. Processes that know the same claims compute the same ranking. Ties are
    broken in an order that starts with another process for each cell.

    :param all_cells: names of all cells, whose sort order decides how ties are broken
    """
    projected = dict(candidates)
    names = sorted(projected)
    positions = {cell: number for number, cell in enumerate(sorted(all_cells))}
    ranked: dict[str, list[str]] = {}
    for cell in sorted(free_cells):
        first = positions.get(cell, 0)
        tie_order = {
            name: (number - first) % len(names) for number, name in enumerate(names)
        }
        ranked[cell] = sorted(
            names,
            key=lambda name: (-projected[name].capacity_per_cell, tie_order[name]),
        )
        if ranked[cell]:
            chosen = ranked[cell][0]
            before = projected[chosen]
            projected[chosen] = Candidate(before.capacity, before.cells + 1)
    return ranked
