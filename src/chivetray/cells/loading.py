"""Loads the jobs of a cell and their progress from the store."""

from __future__ import annotations

import anyio

from chivetray.cells.state import CellState
from chivetray.cells.tables import CANCEL_SUFFIX, JOB_TABLE, PROGRESS_TABLE
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.jobs.job import decode_spec, job_age_s
from chivetray.platform.store import Row, Store, StoreUnavailableError


async def load_jobs(store: Store, state: CellState, guard_version: int) -> int:
    """Load the jobs of a cell and their progress into its state.

    :param guard_version: version of the owner row; reads of older versions are stale
    :return: version from which later changes have to be read
    :raises StoreUnavailableError: if the store does not answer, or answers with a state
        from before the acquisition of the cell
    """
    # A queue's first job may be stored after the list of parts and before the reads, so
    # all changes since this first read have to be read.
    rows, first_version = await store.read(PROGRESS_TABLE, state.name)
    _check_fresh(first_version, guard_version)
    progress = {row.id.key: row for row in rows}
    now_s = boot_time_s()
    parts = await store.parts(JOB_TABLE)
    rows_by_queue: dict[str, tuple[list[Row], int]] = {}

    async def read_queue(part: str) -> None:
        rows_by_queue[part] = await store.read(JOB_TABLE, part)

    # Read concurrently, since a slow store takes half a second for each queue.
    try:
        async with anyio.create_task_group() as task_group:
            for part in parts:
                task_group.start_soon(read_queue, part)
    except* StoreUnavailableError as group:
        raise StoreUnavailableError(str(group.exceptions[0])) from group
    for jobs, version in rows_by_queue.values():
        _check_fresh(version, guard_version)
        for row in jobs:
            add_job_from_row(state, row, progress, now_s, is_new=False)
        for row in jobs:
            if row.id.key.endswith(CANCEL_SUFFIX):
                state.cancel(row.id.key.removesuffix(CANCEL_SUFFIX))
    return first_version


def _check_fresh(version: int, guard_version: int) -> None:
    """Raise an error if an answer is older than the acquisition of the cell."""
    if version < guard_version:
        raise StoreUnavailableError(
            "the store answered with a state older than the cell's owner row"
        )


def add_job_from_row(
    state: CellState,
    row: Row,
    progress: dict[str, Row],
    now_s: float,
    is_new: bool = True,
) -> None:
    """Add the job of a row if it belongs to the cell and is not yet known.

    :param is_new: whether the job has just arrived
    """
    if row.id.key.endswith(CANCEL_SUFFIX) or row.id.key in state.jobs:
        return
    try:
        spec = decode_spec(row.value)
    except (ValueError, TypeError) as error:
        log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
        return
    if spec.cell != state.name:
        return
    accepted_at_s = now_s - job_age_s(spec, wall_time_ms())
    stored = progress.get(spec.job_id)
    if stored is None:
        state.add_job(spec, accepted_at_s, is_new, now_s)
    else:
        state.restore_job(spec, stored.value, stored.version, accepted_at_s, now_s)
