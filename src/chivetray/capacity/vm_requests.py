"""VMs that pools were asked to give up, until they leave or the request ends."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from chivetray.capacity.move_plan import Move
from chivetray.events import Event, log_event

# Time after which a VM that is still not empty is left to its pool. Tasks that cannot
# be moved are stopped after 6 s, and a stop takes up to 0.9 s and one poll.
REQUEST_TIMEOUT_S = 9.0

# Time for which a VM whose request has timed out is not asked for again. What kept it
# from emptying is likely to last.
REQUEST_PAUSE_S = 5.0

TIMED_OUT = "not empty in time"
NOT_AVAILABLE = "not available"


@dataclass(frozen=True, slots=True)
class _VmRequest:
    move: Move
    requested_at_s: float


class VmRequests:
    """The VMs that their pools were asked to empty and give up.

    Each request ends in one of three ways: the VM gets its order, the request is
    withdrawn for a reason that the log tells, or it times out.

    :param clock: returns the current time in s
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._by_vm: dict[str, _VmRequest] = {}
        self._paused_until_s: dict[str, float] = {}

    def __contains__(self, vm: object) -> bool:
        return vm in self._by_vm

    def __bool__(self) -> bool:
        return bool(self._by_vm)

    def forget(self) -> None:
        """Forget all requests; the owners release the VMs with the next report."""
        self._by_vm.clear()
        self._paused_until_s.clear()

    def moves(self) -> dict[str, Move]:
        """Return the requested moves by VM."""
        return {vm: request.move for vm, request in self._by_vm.items()}

    def workers(self) -> set[str]:
        """Return the workers on which nothing new is to be placed."""
        return {request.move.worker_id for request in self._by_vm.values()}

    def is_paused(self, vm: str) -> bool:
        """Return whether a VM is not to be asked for after a request timed out."""
        return self._paused_until_s.get(vm, 0.0) > self._clock()

    def request(self, moves: Iterable[Move]) -> set[str]:
        """Put moves in force; return the pools that are asked for further VMs."""
        new_sources = set()
        for move in moves:
            known = self._by_vm.get(move.machine)
            if known is not None and known.move == move:
                continue
            at_s = known.requested_at_s if known else self._clock()
            self._by_vm[move.machine] = _VmRequest(move, at_s)
            if known is None:
                new_sources.add(move.source)
                log_event(
                    Event.VM_REQUESTED,
                    vm=move.machine,
                    worker=move.worker_id,
                    source=move.source,
                    target=move.target,
                )
        return new_sources

    def settle(self, vm: str) -> None:
        """End a request whose VM gets its order."""
        self._by_vm.pop(vm, None)

    def withdraw(self, vm: str, reason: str) -> None:
        """End a request without an order."""
        request = self._by_vm.pop(vm, None)
        if request is None:
            return
        log_event(
            Event.VM_REQUEST_WITHDRAWN,
            vm=vm,
            worker=request.move.worker_id,
            source=request.move.source,
            target=request.move.target,
            reason=reason,
            age_s=round(self._clock() - request.requested_at_s, 3),
        )

    def end_overdue(self, available: Container[str]) -> None:
        """Withdraw the requests that time out or whose VM cannot leave any more.

        :param available: VMs that are up and that neither a wave nor a move claims
        """
        now_s = self._clock()
        for vm, request in list(self._by_vm.items()):
            if vm not in available:
                self.withdraw(vm, NOT_AVAILABLE)
            elif now_s - request.requested_at_s > REQUEST_TIMEOUT_S:
                self.withdraw(vm, TIMED_OUT)
                self._paused_until_s[vm] = now_s + REQUEST_PAUSE_S
