"""Connection pools that can be renewed while requests use them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httpcore


@dataclass(slots=True)
class PoolLease:
    """One use of a pool.

    :ivar uses: requests that use the pool
    :ivar retired: whether the pool closes after its last request
    """

    pool: httpcore.AsyncConnectionPool
    uses: int = 0
    retired: bool = False


class RenewablePool:
    """A connection pool whose open connections can be left behind.

    A connection that went silent tells that others to the same place may be
    silent too. After :meth:`renew`, new requests connect anew, and requests in
    flight keep their connections.

    :param open_pool: makes an empty pool
    """

    def __init__(self, open_pool: Callable[[], httpcore.AsyncConnectionPool]):
        self._open_pool = open_pool
        self._current = PoolLease(open_pool())

    def take(self) -> PoolLease:
        """Return the current pool for one request."""
        self._current.uses += 1
        return self._current

    async def release(self, lease: PoolLease) -> None:
        """Give a pool back after a request."""
        lease.uses -= 1
        await self._close_unused(lease)

    async def renew(self, lease: PoolLease) -> None:
        """Leave the connections of a pool behind, unless that was done already."""
        if lease is self._current:
            await self._retire()

    async def _retire(self) -> None:
        old, self._current = self._current, PoolLease(self._open_pool())
        old.retired = True
        await self._close_unused(old)

    @staticmethod
    async def _close_unused(lease: PoolLease) -> None:
        if lease.retired and lease.uses == 0:
            await lease.pool.aclose()

    async def aclose(self) -> None:
        """Close the pool after its last request."""
        await self._retire()
