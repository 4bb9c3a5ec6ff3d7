"""Deletes obsolete rows: expired claims and rows of waves no longer configured."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
from returns.result import Failure

from chivetray.duties.candidates import is_candidate
from chivetray.events import Event, log_event
from chivetray.fleet.revision import RevisionState
from chivetray.generated.settings import DutySettings
from chivetray.records import maintenance
from chivetray.records.claim_rows import read_claim_page
from chivetray.records.client import RecordClient, RowWrite
from chivetray.records.leases import LeaseKeeper

DUTY = "sweep"


class Sweeper:
    """Sweeps the tables page by page while this entry holds the duty of sweeping.

    :param live_entries: returns the entries that may hold duties
    """

    def __init__(
        self,
        client: RecordClient,
        settings: DutySettings,
        entry: str,
        leases: LeaseKeeper,
        revisions: RevisionState,
        live_entries: Callable[[], list[str]],
    ):
        self._client = client
        self._settings = settings
        self._entry = entry
        self._leases = leases
        self._revisions = revisions
        self._live_entries = live_entries
        self._claims_cursor = ""

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(self._settings.sweep_interval_s)
            if not is_candidate(DUTY, self._entry, self._live_entries()):
                continue
            if await self._leases.acquire(DUTY, anyio.current_time()):
                await self._sweep_claims()
                await self._sweep_waves()

    async def _sweep_claims(self) -> None:
        """Delete the expired claims of the next page."""
        result = await read_claim_page(self._client, self._claims_cursor)
        if isinstance(result, Failure):
            return
        page = result.unwrap()
        self._claims_cursor = page[-1].key if page else ""
        now_s = time.time()
        expired = [claim for claim in page if claim.expires_at_s <= now_s]
        if len(expired) > self._settings.sweep_rows:
            # The next sweep goes on behind the last claim that this one deletes.
            self._claims_cursor = expired[self._settings.sweep_rows - 1].key
        await self._delete_rows([claim.removal() for claim in expired])

    async def _sweep_waves(self) -> None:
        """Delete rows of waves that are neither configured nor under way."""
        under_way = await maintenance.read_active_wave_vms(self._client)
        rows = await maintenance.read_finished_wave_rows(self._client)
        if isinstance(under_way, Failure) or isinstance(rows, Failure):
            return
        kept_waves = set(self._revisions.catalog.waves)
        kept_waves |= {item.wave for item in under_way.unwrap().values()}
        if self._revisions.number == 0:
            return
        removed = [
            item.removal() for item in rows.unwrap() if item.wave not in kept_waves
        ]
        await self._delete_rows(removed)

    async def _delete_rows(self, writes: list[RowWrite]) -> None:
        """Delete up to ``sweep_rows`` rows that are unchanged since they were read."""
        writes = writes[: self._settings.sweep_rows]
        if not writes:
            return
        result = await self._client.write_each(writes)
        if not isinstance(result, Failure):
            count = sum(item.written for item in result.unwrap())
            log_event(Event.ROWS_SWEPT, rows=count, table=writes[0].table)
