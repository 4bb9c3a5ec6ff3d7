"""Moves of VMs between pools, from the first order until the VM has arrived.

An order without an answer may or may not have been carried out. It is sent again
unchanged until it is answered or the list of VMs shows its effect; until then the VM
gets no other order and nothing is placed on its worker.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from chivetray.capacity.move_plan import Move
from chivetray.platform.vm_api import PlatformVm, PlatformVmState, VmOrderOutcome

# Time after which a worker that has ended is no longer listed: three heartbeats and one
# read of the list.
WORKER_UNLISTED_AFTER_S = 6.0


class _Phase(Enum):
    """What is known of a move.

    ``SENT``: an order is under way. ``ACCEPTED``: the platform has confirmed an order.
    ``UNANSWERED``: the last order has no answer, and no later list has been read.
    ``NOT_BEGUN``: a list read after that shows the VM in its old pool.
    """

    SENT = auto()
    ACCEPTED = auto()
    UNANSWERED = auto()
    NOT_BEGUN = auto()


@dataclass(slots=True)
class _MoveUnderWay:
    """A move that was ordered.

    :ivar may_have_begun: whether an order without an answer precedes the present one
    :ivar settled_at_s: time at which the last order was answered or given up; a list
        that is requested later shows what came of it
    """

    move: Move
    phase: _Phase = _Phase.SENT
    may_have_begun: bool = False
    settled_at_s: float = 0.0


class VmMoves:
    """The moves that are or may be under way.

    :param migrate_s: time that a VM takes to move to another pool
    :param clock: returns the current time in s
    """

    def __init__(self, migrate_s: float, clock: Callable[[], float]):
        self._migrate_s = migrate_s
        self._clock = clock
        self._by_vm: dict[str, _MoveUnderWay] = {}
        self._listed_until_s: dict[str, float] = {}

    def __contains__(self, vm: object) -> bool:
        return vm in self._by_vm

    def __bool__(self) -> bool:
        return bool(self._by_vm)

    def forget(self) -> None:
        """Forget all moves; the next list of VMs shows what became of them."""
        self._by_vm.clear()

    # Orders

    def begin_order(self, move: Move) -> None:
        """Record that an order is about to be sent, for the first time or again."""
        under_way = self._by_vm.setdefault(move.machine, _MoveUnderWay(move))
        under_way.phase = _Phase.SENT

    def end_order(self, move: Move, outcome: VmOrderOutcome) -> None:
        """Record the outcome of an order that was sent."""
        under_way = self._by_vm.get(move.machine)
        if under_way is None:
            return
        under_way.settled_at_s = self._clock()
        if outcome == VmOrderOutcome.DONE:
            under_way.phase = _Phase.ACCEPTED
        elif outcome == VmOrderOutcome.UNKNOWN or under_way.may_have_begun:
            # A refusal tells nothing about an earlier order without an answer.
            under_way.phase = _Phase.UNANSWERED
            under_way.may_have_begun = True
        else:
            del self._by_vm[move.machine]

    def moves_to_repeat(self) -> list[Move]:
        """Return the moves whose order was not answered and has had no effect."""
        return [
            under_way.move
            for under_way in self._by_vm.values()
            if under_way.phase == _Phase.NOT_BEGUN
        ]

    # Effects

    def apply_list(self, by_name: dict[str, PlatformVm], requested_at_s: float) -> None:
        """Apply a list of all VMs.

        :param by_name: all VMs
        :param requested_at_s: time at which the list was requested
        """
        for name, under_way in list(self._by_vm.items()):
            is_newer = requested_at_s > under_way.settled_at_s
            if under_way.phase == _Phase.SENT or not is_newer:
                continue
            vm = by_name.get(name)
            if vm is None or self._is_over(under_way, vm, requested_at_s):
                del self._by_vm[name]
                self._expect_unlisted(under_way.move.worker_id)
            elif vm.state == PlatformVmState.MOVING:
                under_way.phase = _Phase.ACCEPTED
            elif under_way.phase == _Phase.UNANSWERED:
                under_way.phase = _Phase.NOT_BEGUN

    def _is_over(
        self, under_way: _MoveUnderWay, vm: PlatformVm, requested_at_s: float
    ) -> bool:
        """Return whether a VM has arrived, or cannot arrive any more."""
        if vm.state == PlatformVmState.MOVING:
            return False
        if vm.pool != under_way.move.source:
            # It has arrived, or another holder's order took it to a third pool.
            return True
        if under_way.phase == _Phase.ACCEPTED:
            return requested_at_s - under_way.settled_at_s > self._migrate_s
        return vm.state != PlatformVmState.UP

    def _expect_unlisted(self, worker_id: str) -> None:
        if worker_id:
            self._listed_until_s[worker_id] = self._clock() + WORKER_UNLISTED_AFTER_S

    # Views

    def arriving(self) -> Counter[str]:
        """Return how many VMs are or may be on their way, by pool."""
        return Counter(
            under_way.move.target
            for under_way in self._by_vm.values()
            if under_way.phase != _Phase.NOT_BEGUN
        )

    def ended_workers(self) -> set[str]:
        """Return the workers of VMs that are leaving or have left their pool.

        Such a worker may be listed for some time after its end.
        """
        now_s = self._clock()
        listed = {w: s for w, s in self._listed_until_s.items() if s > now_s}
        self._listed_until_s = listed
        leaving = {u.move.worker_id for u in self._by_vm.values() if u.move.worker_id}
        return leaving | set(listed)
