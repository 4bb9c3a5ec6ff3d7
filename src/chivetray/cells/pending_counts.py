"""Counts the jobs of a queue that wait, as the owners of cells tell them.

Stored jobs stay in the cell of the service that their queue had when they were stored,
so that those of one queue may lie in several cells. A cell without an owner tells
nothing, which is no sign that nothing waits there.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from chivetray.clocks import boot_time_s
from chivetray.generated.messages import CellClaim
from chivetray.platform.stored_records import Queue

# Counts may be 2 s old when callers get them. The rest is left for the way of a
# heartbeat.
COUNT_TTL_S = 1.5

# Time for which managers that are cut off may accept jobs by an earlier configuration,
# and their owner may not have told of them.
SETTLE_S = 10.0

# Stands in a claim among the queues while jobs that other services run now are unread.
UNREAD_QUEUES = ""


class CountUnknownError(Exception):
    """A cell in which jobs of the queue may wait tells no count at the moment."""


@dataclass(frozen=True, slots=True)
class _ToldCounts:
    """What the owner of a cell told of its queues."""

    epoch: int
    pending: Mapping[str, int]
    told_at_s: float


@dataclass(slots=True)
class _CellCounts:
    """Last counts of a cell.

    :ivar own: counts of the queues that the cell's service runs now
    :ivar complete: counts of all queues
    """

    own: _ToldCounts | None = None
    complete: _ToldCounts | None = None

    def note(self, claim: CellClaim, now_s: float) -> None:
        """Take note of a claim, unless one with a higher epoch is known."""
        if not claim.loaded or (self.own and self.own.epoch > claim.epoch):
            return
        self.own = _ToldCounts(claim.epoch, claim.pending, now_s)
        if UNREAD_QUEUES not in claim.pending:
            self.complete = self.own


class PendingCounts:
    """Keeps the counts that claims tell, and which cells may hold jobs of a queue.

    :param own_claims: returns the claims of this process
    :param cells: returns the cells that may hold jobs, ``None`` if not all are known
    """

    def __init__(
        self,
        own_claims: Callable[[], Iterable[CellClaim]],
        cells: Callable[[], Collection[str] | None],
    ):
        self._own_claims = own_claims
        self._cells = cells
        self._counts: dict[str, _CellCounts] = {}
        self._services: Mapping[str, str] = {}
        self._left_at_s: dict[str, dict[str, float]] = {}

    def note_claims(self, claims: Iterable[CellClaim]) -> None:
        """Take note of the claims in a heartbeat."""
        now_s = boot_time_s()
        for claim in claims:
            self._counts.setdefault(claim.cell, _CellCounts()).note(claim, now_s)

    def note_services(self, queues: Iterable[Queue]) -> None:
        """Take note of the queues of a new configuration."""
        now_s = boot_time_s()
        before = self._services
        self._services = {queue.key: queue.service for queue in queues}
        for key, service in before.items():
            if self._services.get(key) != service:
                self._left_at_s.setdefault(key, {})[service] = now_s
        cells = self._cells()
        for key in list(self._left_at_s):
            self._forget_moves(key, cells)

    def count(self, queue: Queue) -> int:
        """Return the number of jobs of a queue of which no task has started.

        :raises CountUnknownError: if a cell that may hold some tells no count
        """
        cells = self._cells()
        if cells is None:
            raise CountUnknownError("it is not known yet which cells exist")
        self.note_claims(self._own_claims())
        self._forget_moves(queue.key, cells)
        has_moved = queue.key in self._left_at_s
        now_s, total = boot_time_s(), 0
        for cell in {*cells, *self._counts, queue.service}:
            counts = self._counts.get(cell, _CellCounts())
            is_own = cell == queue.service
            # Its owner may have loaded the cell before the queue moved there.
            told = counts.own if is_own and not has_moved else counts.complete
            if told is not None and now_s - told.told_at_s <= COUNT_TTL_S:
                total += told.pending.get(queue.key, 0)
            elif is_own or self._may_hold(cell, queue.key, told):
                message = f"the cell {cell}, in which jobs may wait, tells no count"
                raise CountUnknownError(message)
        return total

    def _may_hold(self, cell: str, key: str, told: _ToldCounts | None) -> bool:
        """Return whether jobs of a queue may wait in a cell without a recent count.

        :param told: last count of all queues of the cell
        """
        if told is None or told.pending.get(key, 0):
            return True
        return cell in self._left_at_s.get(key, ())

    def _forget_moves(self, key: str, cells: Collection[str] | None) -> None:
        """Forget the cells in which no job of a queue can wait any more.

        :param cells: the cells that may hold jobs, ``None`` if not all are known
        """
        moves = self._left_at_s.get(key, {})
        for cell, left_at_s in list(moves.items()):
            told = self._counts.get(cell, _CellCounts()).complete
            is_empty = (
                told is not None
                and told.told_at_s > left_at_s + SETTLE_S
                and not told.pending.get(key, 0)
            )
            if is_empty or (cells is not None and cell not in cells):
                del moves[cell]
        if not moves:
            self._left_at_s.pop(key, None)
