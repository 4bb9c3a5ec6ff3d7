"""Connection pools for endpoints."""

from __future__ import annotations

from dataclasses import dataclass

import httpcore

from chivetray.generated.objects import Vm
from chivetray.generated.settings import RequestSettings
from chivetray.pools import RenewablePool
from chivetray.sockets import socket_options

# Share of an endpoint's connections that all entries together may keep idle.
IDLE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PoolKey:
    """Endpoint and kind of request that a pool serves."""

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

    Non-idempotent requests have separate pools, whose connections are closed after
    a short idle time (``unproved_connection_s``): a connection without recent
    traffic may be dead without having been closed.
    """

    def __init__(self, settings: RequestSettings):
        self._settings = settings
        self._pools: dict[PoolKey, EndpointPool] = {}
        self._zone_entries = 1

    def set_zone_entries(self, count: int) -> None:
        """Set how many entries share the connections of each endpoint."""
        self._zone_entries = max(1, count)

    async def get_pool(self, vm: Vm, idempotent: bool) -> RenewablePool:
        """Return the pool for a request; a changed VM or idle limit renews it."""
        key = PoolKey(vm.name, idempotent)
        endpoint_pool = self._pools.get(key)
        idle_limit = self._idle_limit(vm)
        target = (vm.address, vm.port, idle_limit)
        if (
            endpoint_pool
            and (endpoint_pool.address, endpoint_pool.port, endpoint_pool.idle_limit)
            != target
        ):
            await endpoint_pool.connections.aclose()
            endpoint_pool = None
        if endpoint_pool is None:
            connections = self._open(vm, idempotent, idle_limit)
            endpoint_pool = EndpointPool(vm.address, vm.port, idle_limit, connections)
            self._pools[key] = endpoint_pool
        return endpoint_pool.connections

    def _idle_limit(self, vm: Vm) -> int:
        # The idle connections are divided between the two pools of each entry.
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
        for endpoint_pool in self._pools.values():
            await endpoint_pool.connections.aclose()
        self._pools.clear()
