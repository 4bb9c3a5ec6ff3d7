"""The entry's part of a drain: it stops sending to the VM, then acknowledges."""

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
    """Polls the drains in the table service and applies them to this entry.

    While the platform is unavailable, the last known drains stay in effect.

    :ivar has_polled: whether a first poll has ended, successful or not
    :param in_zone: returns whether a VM belongs to this entry's zone
    """

    def __init__(
        self,
        client: RecordClient,
        settings: DutySettings,
        entry: str,
        states: VmStates,
        grants: GrantHolder,
        in_zone: Callable[[str], bool],
    ):
        self._client = client
        self._settings = settings
        self._entry = entry
        self._states = states
        self._grants = grants
        self._in_zone = in_zone
        self._acked: dict[str, int] = {}
        self.has_polled = False

    async def run(self) -> None:
        """Poll the drains until cancelled."""
        while True:
            result = await read_drains(self._client)
            self.has_polled = True
            if not isinstance(result, Failure):
                drains = result.unwrap()
                self._states.set_drained(drains, anyio.current_time())
                await self._acknowledge(drains)
            await anyio.sleep(self._settings.drain_poll_s)

    async def _acknowledge(self, drains: dict[str, Drain]) -> None:
        """Acknowledge drains of VMs in this zone that have no request in flight."""
        for name in self._acked.keys() - drains.keys():
            del self._acked[name]
        for name, drain in drains.items():
            due = self._acked.get(name) != drain.version and self._in_zone(name)
            if not due or self._grants.count_in_flight(name) > 0:
                continue
            result = await write_ack(self._client, name, self._entry, drain.version)
            if not isinstance(result, Failure) and result.unwrap():
                self._acked[name] = drain.version
                log_event(Event.DRAIN_ACKNOWLEDGED, vm=name, owner=drain.owner)
