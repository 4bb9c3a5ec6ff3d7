"""Polls the configuration revisions and the VM list of the platform."""

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

# Width of the random variation of a polling interval as a fraction of it. Without
# it all entries would call the platform at once when it becomes available again.
JITTER_FRACTION = 0.5

# Doublings of the polling interval after which a longer backoff makes no difference.
MAX_BACKOFF_DOUBLINGS = 16


class PlatformWatcher:
    """Polls the platform; while it is unavailable, the last known state stays.

    :param zone_entries: returns how many entries of the zone share the polling for
        revisions, which they announce to each other
    :param on_vms: called with the VMs that the list reports as changed
    :ivar answers: whether the last poll succeeded
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
            tasks.start_soon(
                self._poll_forever, self._poll_revisions, self._zone_entries
            )
            tasks.start_soon(self._poll_forever, self._poll_vm_list, lambda: 1)

    async def _poll_forever(
        self,
        poll: Callable[[], Awaitable[PlatformError | None]],
        count_pollers: Callable[[], int],
    ) -> None:
        """Call ``poll`` repeatedly; back off while the platform is unavailable."""
        failures = 0
        while True:
            error = await poll()
            failures = failures + 1 if error else 0
            if error:
                self._record_failure(error)
            else:
                self._record_answer()
            await anyio.sleep(self._next_delay_s(failures, count_pollers()))

    async def _poll_revisions(self) -> PlatformError | None:
        result = await read_after(self._client, self._revisions.number)
        if isinstance(result, Failure):
            error: PlatformError = result.failure()
            return error
        for revision in result.unwrap():
            self._revisions.apply_if_newer(revision, source="platform")
        return None

    async def _poll_vm_list(self) -> PlatformError | None:
        result = await read_vm_changes(self._client, self._states.version)
        if isinstance(result, Failure):
            error: PlatformError = result.failure()
            return error
        self._apply_vm_changes(result.unwrap().version, result.unwrap().vms)
        return None

    def _apply_vm_changes(self, version: int, vms: list[ListedVm]) -> None:
        if version < self._states.version:
            # The version goes back when the list was restored, so the next poll
            # reads all of it.
            self._states.version = 0
            return
        self._states.apply(version, vms)
        if vms:
            self._on_vms(vms)

    def _next_delay_s(self, failures: int, pollers: int) -> float:
        """Return the delay before the next poll, with jitter."""
        interval_s = self._settings.poll_interval_s
        if failures == 0:
            jitter = 1 + JITTER_FRACTION * (random.random() - 0.5)
            return interval_s * pollers * jitter
        longest_s = interval_s * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS)
        backoff_limit_s = min(self._settings.max_backoff_s, longest_s)
        return random.uniform(interval_s, max(interval_s, backoff_limit_s))

    def _record_failure(self, error: PlatformError) -> None:
        if self.answers:
            log_event(Event.PLATFORM_LOST, reason=error.message)
        self.answers = False

    def _record_answer(self) -> None:
        if not self.answers:
            log_event(Event.PLATFORM_BACK)
        self.answers = True
