"""Admits requests to endpoint slots, or queues them up to a limit.

Queued requests are ordered by priority, then by the load of their team relative
to its weight, then by deadline. A request that cannot be served in time is
refused as soon as that is known.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from chivetray.exceptions import RefusalError
from chivetray.generated.objects import Priority, Service, Team, Vm
from chivetray.requests.balancer import EndpointBalancer
from chivetray.requests.estimates import RunTimeEstimate
from chivetray.results import ResultCode

PRIORITY_RANKS = {Priority.urgent: 0, Priority.quick: 1, Priority.reconciliation: 2}

# A reconciliation request that has waited for this share of its time limit is
# promoted to the highest priority, so that a steady stream of quick requests
# cannot starve it.
PROMOTION_SHARE = 0.1

MIN_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class SlotRequest:
    """One request's need for a slot, from admission until the slot is released.

    :ivar excluded: endpoints that an earlier attempt at the request has tried
    :ivar vm: endpoint whose slot is assigned to the request
    """

    service: Service
    team: str
    idempotent: bool
    created_at_s: float
    deadline_s: float
    excluded: set[str] = field(default_factory=set)
    vm: Vm | None = None
    cancelled: bool = False
    assigned: anyio.Event = field(default_factory=anyio.Event)

    @property
    def promoted_at_s(self) -> float:
        """Time from which a reconciliation request has the highest priority."""
        return self.created_at_s + PROMOTION_SHARE * (
            self.deadline_s - self.created_at_s
        )


class TeamQueues:
    """Waiting slot requests of one service, by team and deadline."""

    def __init__(self) -> None:
        self._heaps: dict[str, list[tuple[float, int, SlotRequest]]] = {}
        self._sequence = itertools.count()
        self.count = 0

    def push(self, slot_request: SlotRequest) -> None:
        """Add a slot request."""
        heap = self._heaps.setdefault(slot_request.team, [])
        heapq.heappush(
            heap, (slot_request.deadline_s, next(self._sequence), slot_request)
        )
        self.count += 1

    def cancel(self, slot_request: SlotRequest) -> None:
        """Cancel a slot request; its heap entry is removed lazily."""
        slot_request.cancelled = True
        self.count -= 1

    def peek(self, team_loads: dict[str, float]) -> SlotRequest | None:
        """Return the slot request that is next, without removing it.

        :param team_loads: slots in use by each team, divided by its weight
        """
        best: tuple[float, float, int, SlotRequest] | None = None
        for team, heap in list(self._heaps.items()):
            while heap and heap[0][2].cancelled:
                heapq.heappop(heap)
            if not heap:
                del self._heaps[team]
                continue
            deadline_s, order, slot_request = heap[0]
            candidate = (team_loads.get(team, 0.0), deadline_s, order, slot_request)
            if best is None or candidate < best:
                best = candidate
        return best[3] if best else None

    def pop(self, slot_request: SlotRequest) -> None:
        """Remove a slot request that is the first of its team."""
        heapq.heappop(self._heaps[slot_request.team])
        self.count -= 1

    def count_before(self, deadline_s: float) -> int:
        """Return how many slot requests wait whose deadline is no later."""
        return sum(
            1
            for heap in self._heaps.values()
            for item in heap
            if item[0] <= deadline_s and not item[2].cancelled
        )


class Admission:
    """Slot assignment and queues of all services at this entry.

    :param on_wait: called when a request is queued without a free slot
    """

    def __init__(self, balancer: EndpointBalancer, on_wait: Callable[[], None]) -> None:
        self._balancer = balancer
        self._on_wait = on_wait
        self._queues: dict[str, TeamQueues] = {}
        self._services: dict[str, Service] = {}
        self._teams: dict[str, Team] = {}
        self._estimates: dict[str, RunTimeEstimate] = {}
        self._team_slots_in_use: Counter[str] = Counter()
        self._team_open_requests: Counter[str] = Counter()
        self._delayed_releases: list[tuple[float, int, SlotRequest]] = []
        self._sequence = itertools.count()

    def set_services_and_teams(
        self, services: dict[str, Service], teams: dict[str, Team]
    ) -> None:
        """Replace the services and teams by those of a new revision."""
        self._services = dict(services)
        self._teams = dict(teams)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(queues.count for queues in self._queues.values())

    @property
    def in_flight(self) -> int:
        """Number of slots in use, those of timed-out requests included."""
        return self._team_slots_in_use.total()

    def get_estimate(self, service: Service) -> RunTimeEstimate:
        """Return the run time estimate of a service."""
        return self._estimates.setdefault(service.name, RunTimeEstimate())

    def resolve_team(self, name: str) -> str:
        """Return the team a request is counted for; unknown teams share ``""``."""
        return name if name in self._teams else ""

    def acquire_quota(self, team: str) -> None:
        """Count a request against its team's quota.

        :raises RefusalError: when the quota is exhausted
        """
        quota = self._teams.get(team)
        if quota and self._team_open_requests[team] >= quota.max_in_flight_requests:
            message = (
                f"team {team} already has {self._team_open_requests[team]} requests"
                " in flight"
            )
            raise RefusalError(ResultCode.QUOTA_EXCEEDED, message, MIN_RETRY_AFTER_S)
        self._team_open_requests[team] += 1

    def release_quota(self, team: str) -> None:
        """Give back the quota of a request that has ended."""
        self._team_open_requests[team] -= 1
        if not self._team_open_requests[team]:
            del self._team_open_requests[team]

    async def admit(self, slot_request: SlotRequest) -> Vm:
        """Wait for a slot and return the endpoint that it belongs to.

        :raises RefusalError: when no slot is available in time
        """
        now_s = anyio.current_time()
        self._refuse_without_endpoint(slot_request, now_s)
        queues = self._queues.setdefault(slot_request.service.name, TeamQueues())
        if queues.count == 0 and self._try_assign(slot_request, now_s):
            assert slot_request.vm is not None
            return slot_request.vm
        self._refuse_long_wait(slot_request, queues, now_s)
        queues.push(slot_request)
        self.dispatch()
        if slot_request.vm is None:
            self._on_wait()
        return await self._wait_for_slot(slot_request, queues)

    async def _wait_for_slot(self, slot_request: SlotRequest, queues: TeamQueues) -> Vm:
        latest_start_s = (
            slot_request.deadline_s
            - self.get_estimate(slot_request.service).upper_estimate_s
        )
        try:
            with anyio.CancelScope(deadline=latest_start_s):
                await slot_request.assigned.wait()
        finally:
            if slot_request.vm is None and not slot_request.cancelled:
                queues.cancel(slot_request)
        if slot_request.vm is None:
            message = "no slot became free in time for the request to finish"
            raise RefusalError(ResultCode.DEADLINE_IN_QUEUE, message, MIN_RETRY_AFTER_S)
        return slot_request.vm

    def _refuse_without_endpoint(self, slot_request: SlotRequest, now_s: float) -> None:
        service = slot_request.service
        if not self._balancer.live_endpoints(service, now_s):
            message = f"service {service.name} has no available endpoint in this zone"
            raise RefusalError(ResultCode.NO_ENDPOINT, message, MIN_RETRY_AFTER_S)

    def _refuse_long_wait(
        self, slot_request: SlotRequest, queues: TeamQueues, now_s: float
    ) -> None:
        """Refuse a request whose predicted wait exceeds its time limit."""
        service = slot_request.service
        if queues.count >= service.queue_limit_requests:
            message = f"{queues.count} requests of service {service.name} already wait"
            wait_s = self._predict_wait_s(slot_request, now_s)
            raise RefusalError(
                ResultCode.QUEUE_FULL, message, max(MIN_RETRY_AFTER_S, wait_s)
            )
        wait_s = self._predict_wait_s(slot_request, now_s)
        overrun_s = (
            now_s
            + wait_s
            + self.get_estimate(service).upper_estimate_s
            - slot_request.deadline_s
        )
        if overrun_s > 0:
            message = f"the predicted wait of {wait_s:.2f} s leaves too little time"
            raise RefusalError(
                ResultCode.WAIT_TOO_LONG, message, max(MIN_RETRY_AFTER_S, overrun_s)
            )

    def _predict_wait_s(self, slot_request: SlotRequest, now_s: float) -> float:
        """Return the predicted time until a new slot request gets a slot."""
        slots = self._balancer.granted_slots(slot_request.service, now_s)
        if slots == 0:
            return 0.0
        wait_s = self.get_estimate(slot_request.service).mean_s / slots
        rank = PRIORITY_RANKS[slot_request.service.priority]
        pools = set(slot_request.service.pools)
        for name, queues in self._queues.items():
            service = self._services.get(name)
            if not service or not queues.count or not pools & set(service.pools):
                continue
            other_rank = PRIORITY_RANKS[service.priority]
            if other_rank > rank:
                continue
            same_rank = other_rank == rank
            requests_ahead = (
                queues.count_before(slot_request.deadline_s)
                if same_rank
                else queues.count
            )
            wait_s += requests_ahead * self.get_estimate(service).mean_s / slots
        return wait_s

    def _try_assign(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Assign a free slot and return whether there was one."""
        vm = self._balancer.choose(
            slot_request.service, slot_request.idempotent, slot_request.excluded, now_s
        )
        if vm is None:
            return False
        self._balancer.take(vm, slot_request.service, slot_request.deadline_s)
        self._team_slots_in_use[slot_request.team] += 1
        slot_request.vm = vm
        slot_request.assigned.set()
        return True

    def release(
        self, slot_request: SlotRequest, run_s: float | None, busy_until_s: float = 0.0
    ) -> None:
        """Release a slot.

        :param run_s: run time of the request, or ``None`` when it is not to be
            counted in the estimate
        :param busy_until_s: time until which the endpoint may still be running
            the request; its slot stays in use until then
        """
        if busy_until_s > anyio.current_time():
            item = (busy_until_s, next(self._sequence), slot_request)
            heapq.heappush(self._delayed_releases, item)
            return
        assert slot_request.vm is not None
        self._balancer.release(slot_request.vm, slot_request.service)
        self._team_slots_in_use[slot_request.team] -= 1
        if run_s is not None:
            self.get_estimate(slot_request.service).record(run_s)
        self.dispatch()

    def release_due_slots(self) -> None:
        """Release the slots whose delayed release is due."""
        now_s = anyio.current_time()
        while self._delayed_releases and self._delayed_releases[0][0] <= now_s:
            _, _, slot_request = heapq.heappop(self._delayed_releases)
            self.release(slot_request, None)

    def dispatch(self) -> None:
        """Assign free slots to waiting requests in their order."""
        now_s = anyio.current_time()
        blocked: set[str] = set()
        while True:
            team_loads = self._team_loads()
            candidates = self._next_candidates(blocked, team_loads, now_s)
            if not candidates:
                return
            slot_request = min(candidates, key=lambda item: item[:3])[3]
            if self._try_assign(slot_request, now_s):
                self._queues[slot_request.service.name].pop(slot_request)
            else:
                blocked.add(slot_request.service.name)

    def _next_candidates(
        self, blocked: set[str], team_loads: dict[str, float], now_s: float
    ) -> list[tuple[int, float, float, SlotRequest]]:
        """Return the next slot request of each service with its sort key."""
        candidates = []
        for name, queues in self._queues.items():
            if not queues.count or name in blocked:
                continue
            slot_request = queues.peek(team_loads)
            if slot_request is None:
                continue
            rank = PRIORITY_RANKS[slot_request.service.priority]
            if (
                rank == PRIORITY_RANKS[Priority.reconciliation]
                and slot_request.promoted_at_s <= now_s
            ):
                rank = PRIORITY_RANKS[Priority.urgent]
            team_load = team_loads.get(slot_request.team, 0.0)
            candidates.append((rank, team_load, slot_request.deadline_s, slot_request))
        return candidates

    def _team_loads(self) -> dict[str, float]:
        """Return the slots in use by each team, divided by its weight."""
        return {
            team: count / (self._teams[team].weight if team in self._teams else 1)
            for team, count in self._team_slots_in_use.items()
            if count
        }

    def waiting_by_endpoint(self) -> dict[str, int]:
        """Return the waiting requests of all services, spread over their endpoints."""
        waiting: Counter[str] = Counter()
        for name, queues in self._queues.items():
            service = self._services.get(name)
            if not queues.count or service is None:
                continue
            vms = self._balancer.endpoints(service)
            if not vms:
                continue
            requests_per_endpoint = math.ceil(queues.count / len(vms))
            for vm in vms:
                waiting[vm.name] += requests_per_endpoint
        return waiting
