"""Connection pools that can be replaced while requests use them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httpcore


@dataclass(slots=True)
class CountedPool:
    """A connection pool that counts the requests that use it.

    :ivar uses: number of requests that use the pool
    :ivar retired: whether the pool closes after its last request
    """

    pool: httpcore.AsyncConnectionPool
    uses: int = 0
    retired: bool = False


class RenewablePool:
    """A connection pool that can be replaced by an empty one.

    When one connection stops responding, others to the same address may have
    failed too. After :meth:`replace`, new requests open new connections, and
    requests in flight keep theirs.

    :param open_pool: creates an empty pool
    """

    def __init__(self, open_pool: Callable[[], httpcore.AsyncConnectionPool]):
        self._open_pool = open_pool
        self._current = CountedPool(open_pool())

    def acquire(self) -> CountedPool:
        """Return the current pool for one request, which releases it at its end."""
        self._current.uses += 1
        return self._current

    async def release(self, counted_pool: CountedPool) -> None:
        """Release a pool after a request."""
        counted_pool.uses -= 1
        await self._close_unused(counted_pool)

    async def replace(self, counted_pool: CountedPool) -> None:
        """Replace a pool by an empty one, unless it has already been replaced."""
        if counted_pool is self._current:
            await self._retire()

    async def _retire(self) -> None:
        old, self._current = self._current, CountedPool(self._open_pool())
        old.retired = True
        await self._close_unused(old)

    @staticmethod
    async def _close_unused(counted_pool: CountedPool) -> None:
        if counted_pool.retired and counted_pool.uses == 0:
            await counted_pool.pool.aclose()

    async def aclose(self) -> None:
        """Close the pool once its last request has released it."""
        await self._retire()
