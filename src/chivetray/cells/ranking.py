"""Which process is to take which cell without an owner."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """A process that may own cells.

    :ivar capacity: thousandths of a core that it has
    :ivar cells: cells that it owns
    """

    capacity: int
    cells: int

    @property
    def share(self) -> float:
        """Room for each cell, in thousandths of a core, with one cell more."""
        return self.capacity / (self.cells + 1)


def rank_candidates(
    candidates: Mapping[str, Candidate],
    free_cells: Iterable[str],
    all_cells: Iterable[str],
) -> dict[str, list[str]]:
    """Return, for each cell without an owner, who is to take it, the first first.

    Those come first that would have the most room for each of their cells, the cells
    before it counted as taken by their first candidates. So processes that know the
    same claims rank alike, and several free cells go to several processes. Among
    equals each cell begins with another process.

    :param all_cells: names of all cells, which name the first among equals
    """
    shares = dict(candidates)
    names = sorted(shares)
    positions = {cell: number for number, cell in enumerate(sorted(all_cells))}
    ranked: dict[str, list[str]] = {}
    for cell in sorted(free_cells):
        first = positions.get(cell, 0)
        order = {
            name: (number - first) % len(names) for number, name in enumerate(names)
        }
        ranked[cell] = sorted(names, key=lambda n: (-shares[n].share, order[n]))
        if ranked[cell]:
            chosen = ranked[cell][0]
            before = shares[chosen]
            shares[chosen] = Candidate(before.capacity, before.cells + 1)
    return ranked
