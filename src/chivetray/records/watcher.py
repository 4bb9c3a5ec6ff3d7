"""Follows the configuration and the VM list in the platform."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import anyio
from returns.result import Failure

from chivetray.events import Event, log_event
from chivetray.exceptions import PlatformError
from chivetray.fleet.revision import RevisionState
from chivetray.fleet.vm_states import ListedVm, VmStates
from chivetray.generated.settings import PlatformSettings
from chivetray.records.client import RecordClient
from chivetray.records.revisions import read_after
from chivetray.records.vm_list import read_vm_changes

# Share of an interval by which a pause varies, so that entries do not call the
# platform all at once when it returns.
JITTER_SHARE = 0.5


class PlatformWatcher:
    """Polls the platform; while it is away, everything stands still.

    :param zone_entries: returns how many entries of the zone share the work of
        looking for revisions, which they tell each other
    :param on_vms: called with the VMs whose state has changed
    """

    def __init__(
        self,
        client: RecordClient,
        settings: PlatformSettings,
        revisions: RevisionState,
        states: VmStates,
        zone_entries: Callable[[], int],
        on_vms: Callable[[list[ListedVm]], None],
    ):
        self.answers = False
        self._client = client
        self._settings = settings
        self._revisions = revisions
        self._states = states
        self._zone_entries = zone_entries
        self._on_vms = on_vms

    async def run(self) -> None:
        """Poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll, self._look_for_revisions, self._zone_entries)
            tasks.start_soon(self._poll, self._look_at_vms, lambda: 1)

    async def _poll(
        self,
        look: Callable[[], Awaitable[PlatformError | None]],
        sharers: Callable[[], int],
    ) -> None:
        """Look again and again; back off while the platform is away."""
        failures = 0
        while True:
            error = await look()
            failures = failures + 1 if error else 0
            if error:
                self._note_failure(error)
            else:
                self._note_answer()
            await anyio.sleep(self._pause_s(failures, sharers()))

    async def _look_for_revisions(self) -> PlatformError | None:
        result = await read_after(self._client, self._revisions.number)
        if isinstance(result, Failure):
            error: PlatformError = result.failure()
            return error
        for revision in result.unwrap():
            self._revisions.offer(revision, source="platform")
        return None

    async def _look_at_vms(self) -> PlatformError | None:
        result = await read_vm_changes(self._client, self._states.version)
        if isinstance(result, Failure):
            error: PlatformError = result.failure()
            return error
        self._take_vms(result.unwrap().version, result.unwrap().vms)
        return None

    def _take_vms(self, version: int, vms: list[ListedVm]) -> None:
        if version < self._states.version:
            # A restored list starts over.
            self._states.version = 0
            return
        self._states.apply(version, vms)
        if vms:
            self._on_vms(vms)

    def _pause_s(self, failures: int, sharers: int) -> float:
        """Return the pause before the next look, with jitter."""
        interval_s = self._settings.poll_interval_s
        if failures == 0:
            spread = 1 + JITTER_SHARE * (random.random() - 0.5)
            return interval_s * sharers * spread
        longest_s = min(self._settings.max_backoff_s, interval_s * 2**failures)
        return random.uniform(interval_s, max(interval_s, longest_s))

    def _note_failure(self, error: PlatformError) -> None:
        if self.answers:
            log_event(Event.PLATFORM_LOST, reason=error.message)
        self.answers = False

    def _note_answer(self) -> None:
        if not self.answers:
            log_event(Event.PLATFORM_BACK)
        self.answers = True
