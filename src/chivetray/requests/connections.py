"""Pooled connections to endpoints."""

from __future__ import annotations

from dataclasses import dataclass

import httpcore

from chivetray.generated.objects import Vm
from chivetray.generated.settings import RequestSettings
from chivetray.pools import RenewablePool
from chivetray.sockets import socket_options

# Share of an endpoint's connections that all entries may keep idle together.
IDLE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PoolKey:
    """What the connections of a pool have in common."""

    vm: str
    idempotent: bool


@dataclass(slots=True)
class EndpointPool:
    """Connections to one endpoint for one kind of request."""

    address: str
    port: int
    idle_limit: int
    connections: RenewablePool


class EndpointConnections:
    """Connection pools of all endpoints.

    Non-idempotent requests have pools of their own, whose connections are
    dropped when they were idle for longer than a moment: a connection that was
    not proved lately may be silent for good.
    """

    def __init__(self, settings: RequestSettings):
        self._settings = settings
        self._pools: dict[PoolKey, EndpointPool] = {}
        self._zone_entries = 1

    def set_zone_entries(self, count: int) -> None:
        """Set how many entries share the connections of each endpoint."""
        self._zone_entries = max(1, count)

    async def pool(self, vm: Vm, idempotent: bool) -> RenewablePool:
        """Return the pool for a request."""
        key = PoolKey(vm.name, idempotent)
        found = self._pools.get(key)
        idle_limit = self._idle_limit(vm)
        place = (vm.address, vm.port, idle_limit)
        if found and (found.address, found.port, found.idle_limit) != place:
            await found.connections.aclose()
            found = None
        if found is None:
            connections = self._open(vm, idempotent, idle_limit)
            found = EndpointPool(vm.address, vm.port, idle_limit, connections)
            self._pools[key] = found
        return found.connections

    def _idle_limit(self, vm: Vm) -> int:
        # Two pools for each entry share the idle connections.
        shared = int(vm.connections * IDLE_SHARE) // (2 * self._zone_entries)
        return min(shared, vm.slots)

    def _open(self, vm: Vm, idempotent: bool, idle_limit: int) -> RenewablePool:
        settings = self._settings
        expiry_s = (
            settings.idle_connection_s if idempotent else settings.unproved_connection_s
        )

        def open_pool() -> httpcore.AsyncConnectionPool:
            return httpcore.AsyncConnectionPool(
                max_connections=vm.slots,
                max_keepalive_connections=idle_limit,
                keepalive_expiry=expiry_s,
                socket_options=socket_options(settings.unacknowledged_timeout_s),
            )

        return RenewablePool(open_pool)

    async def aclose(self) -> None:
        """Close all pools."""
        for found in self._pools.values():
            await found.connections.aclose()
        self._pools.clear()
