"""The entry's side of a drain: stops sending, then acknowledges."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from returns.result import Failure

from chivetray.events import Event, log_event
from chivetray.fleet.vm_states import VmStates
from chivetray.generated.settings import DutySettings
from chivetray.peers.grants import GrantHolder
from chivetray.records.client import RecordClient
from chivetray.records.maintenance import Drain, read_drains, write_ack


class DrainFollower:
    """Follows the drains in the table service.

    While the platform is away, the drains stay as they were.

    :param in_zone: returns whether a VM belongs to this entry's zone
    """

    def __init__(
        self,
        client: RecordClient,
        settings: DutySettings,
        entry: str,
        states: VmStates,
        holder: GrantHolder,
        in_zone: Callable[[str], bool],
    ):
        self._client = client
        self._settings = settings
        self._entry = entry
        self._states = states
        self._holder = holder
        self._in_zone = in_zone
        self._acked: dict[str, int] = {}
        self.looked = False

    async def run(self) -> None:
        """Look at the drains until cancelled."""
        while True:
            result = await read_drains(self._client)
            self.looked = True
            if not isinstance(result, Failure):
                drains = result.unwrap()
                self._states.set_drained(drains, anyio.current_time())
                await self._acknowledge(drains)
            await anyio.sleep(self._settings.drain_poll_s)

    async def _acknowledge(self, drains: dict[str, Drain]) -> None:
        """Acknowledge the drains of VMs to which nothing is in flight."""
        for name in self._acked.keys() - drains.keys():
            del self._acked[name]
        for name, drain in drains.items():
            due = self._acked.get(name) != drain.version and self._in_zone(name)
            if not due or self._holder.in_use(name) > 0:
                continue
            result = await write_ack(self._client, name, self._entry, drain.version)
            if not isinstance(result, Failure) and result.unwrap():
                self._acked[name] = drain.version
                log_event(Event.DRAIN_ACKNOWLEDGED, vm=name, owner=drain.owner)
