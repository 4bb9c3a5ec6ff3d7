"""Admits requests to endpoint slots, or lets them wait within bounds.

Waiting requests are ordered by priority, then by the fair share of their team,
then by deadline. A request that cannot be served in time is refused as soon as
that is known.
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
from chivetray.requests.balancer import Balancer
from chivetray.requests.estimates import RunTimeEstimate
from chivetray.results import ResultCode

RANKS = {Priority.urgent: 0, Priority.quick: 1, Priority.reconciliation: 2}

# A reconciliation that has waited for this share of its time limit goes first,
# so that steady quick requests cannot keep it out.
PROMOTION_SHARE = 0.1

LEAST_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class Ticket:
    """A request's claim to a slot.

    :ivar excluded: endpoints that have failed the request
    :ivar vm: endpoint whose slot was assigned
    """

    service: Service
    team: str
    idempotent: bool
    created_at_s: float
    deadline_s: float
    excluded: set[str] = field(default_factory=set)
    vm: Vm | None = None
    withdrawn: bool = False
    assigned: anyio.Event = field(default_factory=anyio.Event)

    @property
    def promotion_at_s(self) -> float:
        """Time from which a waiting reconciliation goes first."""
        return self.created_at_s + PROMOTION_SHARE * (
            self.deadline_s - self.created_at_s
        )


class TeamQueues:
    """Waiting tickets of one service, by team and deadline."""

    def __init__(self) -> None:
        self._heaps: dict[str, list[tuple[float, int, Ticket]]] = {}
        self._counter = itertools.count()
        self.count = 0

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        heap = self._heaps.setdefault(ticket.team, [])
        heapq.heappush(heap, (ticket.deadline_s, next(self._counter), ticket))
        self.count += 1

    def withdraw(self, ticket: Ticket) -> None:
        """Take a ticket back; its place in the heap goes later."""
        ticket.withdrawn = True
        self.count -= 1

    def head(self, shares: dict[str, float]) -> Ticket | None:
        """Return the ticket that is next.

        :param shares: requests in flight of each team over its weight
        """
        best: tuple[float, float, int, Ticket] | None = None
        for team, heap in list(self._heaps.items()):
            while heap and heap[0][2].withdrawn:
                heapq.heappop(heap)
            if not heap:
                del self._heaps[team]
                continue
            deadline_s, order, ticket = heap[0]
            candidate = (shares.get(team, 0.0), deadline_s, order, ticket)
            if best is None or candidate < best:
                best = candidate
        return best[3] if best else None

    def pop(self, ticket: Ticket) -> None:
        """Remove the head ticket of its team."""
        heapq.heappop(self._heaps[ticket.team])
        self.count -= 1

    def count_before(self, deadline_s: float) -> int:
        """Return how many waiting tickets have an earlier deadline."""
        return sum(
            1
            for heap in self._heaps.values()
            for item in heap
            if item[0] <= deadline_s and not item[2].withdrawn
        )


class Admission:
    """Slots and queues of all services at this entry.

    :param on_wait: called when a request begins to wait
    """

    def __init__(self, balancer: Balancer, on_wait: Callable[[], None]) -> None:
        self._balancer = balancer
        self._on_wait = on_wait
        self._queues: dict[str, TeamQueues] = {}
        self._services: dict[str, Service] = {}
        self._teams: dict[str, Team] = {}
        self._estimates: dict[str, RunTimeEstimate] = {}
        self._team_in_flight: Counter[str] = Counter()
        self._team_requests: Counter[str] = Counter()
        self._lingering: list[tuple[float, int, Ticket]] = []
        self._counter = itertools.count()

    def set_objects(self, services: dict[str, Service], teams: dict[str, Team]) -> None:
        """Take over the services and teams of a new revision."""
        self._services = dict(services)
        self._teams = dict(teams)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(queues.count for queues in self._queues.values())

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._team_in_flight.total()

    def estimate(self, service: Service) -> RunTimeEstimate:
        """Return the run time estimate of a service."""
        return self._estimates.setdefault(service.name, RunTimeEstimate())

    def team_key(self, name: str) -> str:
        """Return the team that a request counts for; unknown teams share one."""
        return name if name in self._teams else ""

    def enter_team(self, team: str) -> None:
        """Count a request against its team's quota.

        :raises RefusalError: when the quota is used up
        """
        quota = self._teams.get(team)
        if quota and self._team_requests[team] >= quota.max_in_flight_requests:
            message = f"team {team} has {self._team_requests[team]} requests already"
            raise RefusalError(ResultCode.QUOTA_EXCEEDED, message, LEAST_RETRY_AFTER_S)
        self._team_requests[team] += 1

    def leave_team(self, team: str) -> None:
        """Count the end of a request."""
        self._team_requests[team] -= 1
        if not self._team_requests[team]:
            del self._team_requests[team]

    async def admit(self, ticket: Ticket) -> Vm:
        """Return the endpoint in which a slot was taken.

        :raises RefusalError: when no slot can be had in time
        """
        now_s = anyio.current_time()
        self._refuse_hopeless(ticket, now_s)
        queues = self._queues.setdefault(ticket.service.name, TeamQueues())
        if queues.count == 0 and self._assign(ticket, now_s):
            assert ticket.vm is not None
            return ticket.vm
        self._refuse_long_wait(ticket, queues, now_s)
        queues.push(ticket)
        self.dispatch()
        if ticket.vm is None:
            self._on_wait()
        return await self._wait(ticket, queues)

    async def _wait(self, ticket: Ticket, queues: TeamQueues) -> Vm:
        latest_s = ticket.deadline_s - self.estimate(ticket.service).cautious_s
        try:
            with anyio.CancelScope(deadline=latest_s):
                await ticket.assigned.wait()
        finally:
            if ticket.vm is None and not ticket.withdrawn:
                queues.withdraw(ticket)
        if ticket.vm is None:
            message = "no slot was free before it was too late to start"
            raise RefusalError(
                ResultCode.DEADLINE_IN_QUEUE, message, LEAST_RETRY_AFTER_S
            )
        return ticket.vm

    def _refuse_hopeless(self, ticket: Ticket, now_s: float) -> None:
        service = ticket.service
        if not self._balancer.live_endpoints(service, now_s):
            message = f"service {service.name} has no available endpoint here"
            raise RefusalError(ResultCode.NO_ENDPOINT, message, LEAST_RETRY_AFTER_S)

    def _refuse_long_wait(
        self, ticket: Ticket, queues: TeamQueues, now_s: float
    ) -> None:
        """Refuse a request whose predicted wait exceeds its time limit."""
        service = ticket.service
        if queues.count >= service.queue_limit_requests:
            message = f"{queues.count} requests of service {service.name} wait already"
            wait_s = self._predict_wait_s(ticket, now_s)
            raise RefusalError(
                ResultCode.QUEUE_FULL, message, max(LEAST_RETRY_AFTER_S, wait_s)
            )
        wait_s = self._predict_wait_s(ticket, now_s)
        late_s = now_s + wait_s + self.estimate(service).cautious_s - ticket.deadline_s
        if late_s > 0:
            message = f"the request would start after {wait_s:.2f} s, too late"
            raise RefusalError(
                ResultCode.WAIT_TOO_LONG, message, max(LEAST_RETRY_AFTER_S, late_s)
            )

    def _predict_wait_s(self, ticket: Ticket, now_s: float) -> float:
        """Return the time until a new ticket gets a slot."""
        slots = self._balancer.granted_slots(ticket.service, now_s)
        if slots == 0:
            return 0.0
        wait_s = self.estimate(ticket.service).mean_s / slots
        rank = RANKS[ticket.service.priority]
        pools = set(ticket.service.pools)
        for name, queues in self._queues.items():
            service = self._services.get(name)
            if not service or not queues.count or not pools & set(service.pools):
                continue
            other_rank = RANKS[service.priority]
            if other_rank > rank:
                continue
            same = other_rank == rank
            ahead = queues.count_before(ticket.deadline_s) if same else queues.count
            wait_s += ahead * self.estimate(service).mean_s / slots
        return wait_s

    def _assign(self, ticket: Ticket, now_s: float) -> bool:
        """Take a free slot for a ticket, if there is one."""
        vm = self._balancer.choose(
            ticket.service, ticket.idempotent, ticket.excluded, now_s
        )
        if vm is None:
            return False
        self._balancer.take(vm, ticket.service, ticket.deadline_s)
        self._team_in_flight[ticket.team] += 1
        ticket.vm = vm
        ticket.assigned.set()
        return True

    def release(
        self, ticket: Ticket, run_s: float | None, busy_until_s: float = 0.0
    ) -> None:
        """Give a slot back.

        :param run_s: run time of the request, unless it tells nothing
        :param busy_until_s: time until which the endpoint may still be running
            the request; its slot stays taken until then
        """
        if busy_until_s > anyio.current_time():
            item = (busy_until_s, next(self._counter), ticket)
            heapq.heappush(self._lingering, item)
            return
        assert ticket.vm is not None
        self._balancer.release(ticket.vm, ticket.service)
        self._team_in_flight[ticket.team] -= 1
        if run_s is not None:
            self.estimate(ticket.service).record(run_s)
        self.dispatch()

    def release_lingering(self) -> None:
        """Give back the slots of requests that must have ended by now."""
        now_s = anyio.current_time()
        while self._lingering and self._lingering[0][0] <= now_s:
            _, _, ticket = heapq.heappop(self._lingering)
            self.release(ticket, None)

    def dispatch(self) -> None:
        """Assign free slots to waiting requests in their order."""
        now_s = anyio.current_time()
        blocked: set[str] = set()
        while True:
            shares = self._shares()
            heads = self._heads(blocked, shares, now_s)
            if not heads:
                return
            ticket = min(heads, key=lambda item: item[:3])[3]
            if self._assign(ticket, now_s):
                self._queues[ticket.service.name].pop(ticket)
            else:
                blocked.add(ticket.service.name)

    def _heads(
        self, blocked: set[str], shares: dict[str, float], now_s: float
    ) -> list[tuple[int, float, float, Ticket]]:
        """Return the next ticket of each service with its place in the order."""
        heads = []
        for name, queues in self._queues.items():
            if not queues.count or name in blocked:
                continue
            ticket = queues.head(shares)
            if ticket is None:
                continue
            rank = RANKS[ticket.service.priority]
            if (
                rank == RANKS[Priority.reconciliation]
                and ticket.promotion_at_s <= now_s
            ):
                rank = RANKS[Priority.urgent]
            share = shares.get(ticket.team, 0.0)
            heads.append((rank, share, ticket.deadline_s, ticket))
        return heads

    def _shares(self) -> dict[str, float]:
        """Return the requests in flight of each team over its weight."""
        return {
            team: count / (self._teams[team].weight if team in self._teams else 1)
            for team, count in self._team_in_flight.items()
            if count
        }

    def waiting_by_endpoint(self) -> dict[str, int]:
        """Return how many waiting requests could go to each endpoint."""
        waiting: Counter[str] = Counter()
        for name, queues in self._queues.items():
            service = self._services.get(name)
            if not queues.count or service is None:
                continue
            vms = self._balancer.endpoints(service)
            if not vms:
                continue
            each = math.ceil(queues.count / len(vms))
            for vm in vms:
                waiting[vm.name] += each
        return waiting
