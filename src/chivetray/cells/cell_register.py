"""The names of all cells, those without a route included.

Accepted jobs lie in the store and belong to the cell of the service that their queue
had when they were accepted, whatever later configurations say. So a cell exists if the
configuration names its service, if a peer claims it, or if its rows or jobs are in the
store, until an owner has found that nothing of it is left to run.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

import anyio
import msgpack

from chivetray.cells.tables import CELL_TABLE, ended_row, owner_row
from chivetray.events import Event, log_event
from chivetray.platform.store import Row, Store, StoreUnavailableError

# Interval between lists of the cells in the store. With many managers each lists less
# often, so that all of them together make a limited number of calls.
LIST_INTERVAL_S = 5.0
LISTS_PER_SECOND = 20.0

LIST_RETRY_S = 0.5

# Interval between checks whether the first configuration has come.
CONFIG_CHECK_INTERVAL_S = 0.1


class CellRegister:
    """The cells that this process knows to exist.

    :param services: returns the services that the configuration names or has named
        since the start, ``None`` before the first configuration
    :param claimed: returns the cells that peers claim to own
    :param wanted: returns the cells whose owner has to be notified of a job
    :param count_peers: returns the number of peers
    :param ignored: parts of the table of cells that are no cells of workers
    :ivar is_complete: whether the cells in the store have been listed
    """

    def __init__(
        self,
        store: Store,
        services: Callable[[], Collection[str] | None],
        claimed: Callable[[], Iterable[str]],
        wanted: Callable[[], Iterable[str]],
        count_peers: Callable[[], int],
        ignored: Collection[str] = (),
    ):
        self._store = store
        self._services = services
        self._claimed = claimed
        self._wanted = wanted
        self._count_peers = count_peers
        self._ignored = frozenset(ignored)
        self.is_complete = False
        self._found: set[str] = set()
        self._checked: set[str] = set()
        self._logged: set[str] = set()
        self._ended_versions: dict[str, int] = {}
        self._job_versions: dict[str, int] = {}

    def names(self) -> list[str]:
        """Return the names of the cells that need an owner, in their order.

        Without a configuration there are none: an owner loads first what its workers
        run by the configuration.
        """
        services = self._services()
        if services is None:
            return []
        for cell in self._claimed():
            # Who claims a cell has found that it has not ended.
            self._ended_versions.pop(cell, None)
            self._add(cell)
        without_route = {cell for cell in self._found if not self._has_ended(cell)}
        without_route |= set(self._wanted())
        without_route -= set(services)
        for cell in sorted(without_route - self._logged):
            log_event(Event.CELL_FOUND, cell=cell)
        self._logged = without_route
        return sorted(without_route | set(services))

    def may_end(self, cell: str) -> bool:
        """Return whether a cell ends once nothing of it is left to run."""
        services = self._services()
        return (
            cell not in self._ignored and services is not None and cell not in services
        )

    def note_job(self, cell: str, version: int) -> None:
        """Take note of the cell of a stored job.

        :param version: version of the job's row
        """
        self._job_versions[cell] = max(self._job_versions.get(cell, 0), version)
        self._add(cell)

    def _add(self, cell: str) -> None:
        if cell not in self._ignored:
            self._found.add(cell)

    def _has_ended(self, cell: str) -> bool:
        ended_version = self._ended_versions.get(cell)
        return (
            ended_version is not None
            and self._job_versions.get(cell, 0) <= ended_version
        )

    # Stored ends

    async def find_end(self, cell: str, guard: Row | None) -> bool:
        """Return whether the last owner of a cell without a route has ended it.

        :param guard: owner row of the cell
        :raises StoreUnavailableError: when the store gives no usable answer
        """
        if guard is None or not self.may_end(cell) or cell in self._wanted():
            return False
        row = await self._store.read_row(ended_row(cell))
        if row is None or row.version != guard.version:
            # An owner after that has not ended it.
            return False
        try:
            self._ended_versions[cell] = int(msgpack.unpackb(row.value))
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
            return False
        return self._has_ended(cell)

    # Cells in the store

    async def run(self) -> None:
        """List the cells in the store from time to time, until cancelled."""
        while True:
            if self._services() is None:
                # Without a configuration it is not known which cells may have ended.
                await anyio.sleep(CONFIG_CHECK_INTERVAL_S)
                continue
            try:
                parts = await self._store.parts(CELL_TABLE)
                for cell in parts:
                    self._add(cell)
                self.is_complete = True
                for cell in parts:
                    await self._check(cell)
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error), during="cells")
                await anyio.sleep(LIST_RETRY_S)
                continue
            managers = self._count_peers() + 1
            await anyio.sleep(max(LIST_INTERVAL_S, managers / LISTS_PER_SECOND))

    async def _check(self, cell: str) -> None:
        """Find out once whether a cell without a route had ended before the start.

        :raises StoreUnavailableError: when the store gives no usable answer
        """
        if cell in self._checked or not self.may_end(cell):
            return
        guard = await self._store.read_row(owner_row(cell))
        await self.find_end(cell, guard)
        self._checked.add(cell)


def encode_end(scanned_version: int) -> bytes:
    """Return the content of the row that tells the end of a cell.

    :param scanned_version: version up to which the table of jobs was read
    """
    return bytes(msgpack.packb(scanned_version))
