"""Pooled connections to endpoints."""

from __future__ import annotations

from dataclasses import dataclass

import httpcore

from chivetray.generated.objects import Vm
from chivetray.generated.settings import RequestSettings
from chivetray.sockets import socket_options

# Share of an endpoint's connections that all entries may keep idle together.
IDLE_SHARE = 0.5


@dataclass(slots=True)
class PooledEndpoint:
    """Connections to one endpoint for one kind of request.

    :ivar in_use: requests that use the pool
    :ivar retired: whether the pool closes after its last request
    """

    pool: httpcore.AsyncConnectionPool
    address: str
    port: int
    idle_limit: int
    in_use: int = 0
    retired: bool = False


class EndpointConnections:
    """Connection pools of all endpoints.

    Non-idempotent requests have pools of their own, whose connections are
    dropped when they were idle for longer than a moment: a connection that was
    not proved lately may be silent for good.
    """

    def __init__(self, settings: RequestSettings):
        self._settings = settings
        self._pools: dict[tuple[str, bool], PooledEndpoint] = {}
        self._zone_entries = 1

    def set_zone_entries(self, count: int) -> None:
        """Set how many entries share the connections of each endpoint."""
        self._zone_entries = max(1, count)

    async def take(self, vm: Vm, idempotent: bool) -> PooledEndpoint:
        """Return the pool for a request."""
        key = (vm.name, idempotent)
        pooled = self._pools.get(key)
        idle_limit = self._idle_limit(vm)
        if pooled is not None and not self._fits(pooled, vm, idle_limit):
            await self._retire(key, pooled)
            pooled = None
        if pooled is None:
            pooled = self._open(vm, idempotent, idle_limit)
            self._pools[key] = pooled
        pooled.in_use += 1
        return pooled

    @staticmethod
    def _fits(pooled: PooledEndpoint, vm: Vm, idle_limit: int) -> bool:
        same_place = (pooled.address, pooled.port) == (vm.address, vm.port)
        return same_place and pooled.idle_limit == idle_limit

    def _idle_limit(self, vm: Vm) -> int:
        # Two pools for each entry share the idle connections.
        shared = int(vm.connections * IDLE_SHARE) // (2 * self._zone_entries)
        return min(shared, vm.slots)

    def _open(self, vm: Vm, idempotent: bool, idle_limit: int) -> PooledEndpoint:
        settings = self._settings
        expiry_s = (
            settings.idle_connection_s if idempotent else settings.unproved_connection_s
        )
        pool = httpcore.AsyncConnectionPool(
            max_connections=vm.slots,
            max_keepalive_connections=idle_limit,
            keepalive_expiry=expiry_s,
            socket_options=socket_options(settings.unacknowledged_timeout_s),
        )
        return PooledEndpoint(pool, vm.address, vm.port, idle_limit)

    async def release(self, pooled: PooledEndpoint) -> None:
        """Give a pool back after a request."""
        pooled.in_use -= 1
        if pooled.retired and pooled.in_use == 0:
            await pooled.pool.aclose()

    async def reset(self, vm: Vm) -> None:
        """Stop using the open connections to an endpoint.

        Requests in flight keep theirs; new requests connect anew.
        """
        for idempotent in (True, False):
            key = (vm.name, idempotent)
            pooled = self._pools.get(key)
            if pooled is not None:
                await self._retire(key, pooled)

    async def _retire(self, key: tuple[str, bool], pooled: PooledEndpoint) -> None:
        pooled.retired = True
        del self._pools[key]
        if pooled.in_use == 0:
            await pooled.pool.aclose()

    async def aclose(self) -> None:
        """Close all pools."""
        for key, pooled in list(self._pools.items()):
            await self._retire(key, pooled)
