"""Stores configuration revisions in the platform's table service and object store.

Row ``config/<number>`` holds the change of one revision. It is created in one
transaction with the update of row ``config-head/head``, on the condition that it
does not exist yet, so that two operators cannot publish the same number. Large
changes are stored in the object store under their digest.

The full set of objects is stored as a snapshot once the changes outgrow the
previous snapshot. A running entry reads only new changes; a starting entry reads
the newest snapshot and the changes after it.
"""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import Any

import anyio
from returns.result import Failure, Result, Success

from chivetray.exceptions import ChivetrayError, PlatformError
from chivetray.fleet.catalog import Catalog, Change, digest_of
from chivetray.fleet.revision import Revision
from chivetray.platform.store import ABSENT
from chivetray.records.client import (
    RecordClient,
    Row,
    RowWrite,
    convert_rows,
)
from chivetray.results import ResultCode

REVISION_TABLE = "config"
HEAD_TABLE = "config-head"
HEAD_KEY = "head"

# Minimum size of the changes before a new snapshot is stored. Above it, one is
# stored when the changes outgrow the previous snapshot, so that a starting entry
# reads at most about twice the full set of objects.
SNAPSHOT_MIN_BYTES = 64 * 1024

INLINE_LIMIT_BYTES = 16 * 1024
PAGE_ROWS = 100
PUBLISH_ATTEMPTS = 5
PUBLISH_RETRY_DELAY_S = 0.2


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Full set of objects at one revision, in the object store.

    :ivar number: revision of the snapshot, 0 when there is none
    :ivar size_bytes: size of the content
    :ivar later_bytes: total size of the changes after the snapshot
    """

    number: int = 0
    publish_id: str = ""
    digest: str = ""
    size_bytes: int = 0
    later_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Head:
    """Newest revision and newest snapshot in the platform.

    :ivar version: version of the head row, for a conditional write
    :ivar number: number of the newest revision
    """

    version: int
    number: int
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class StoredChange:
    """Row of one revision.

    :ivar content: change as JSON, or ``None`` when it is in the object store
    """

    number: int
    publish_id: str
    digest: str
    content: str | None


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """A published revision without its content."""

    number: int
    publish_id: str
    author: str
    created_at_s: float


def revision_key(number: int) -> str:
    """Return the row key of a revision, padded so that keys sort by number."""
    return f"{number:012d}"


async def read_head(client: RecordClient) -> Result[Head, PlatformError]:
    """Read the head; its number is 0 before the first revision is published."""
    result = await client.read_row(HEAD_TABLE, HEAD_KEY)
    if isinstance(result, Failure):
        return Failure(result.failure())
    row = result.unwrap()
    if row is None:
        return Success(Head(ABSENT, 0, Snapshot()))
    return convert_rows([row], _parse_head).map(lambda heads: heads[0])


def _parse_head(row: Row) -> Head:
    return Head(
        row.version, int(row.value["number"]), Snapshot(**row.value["snapshot"])
    )


async def read_after(
    client: RecordClient, number: int
) -> Result[list[Revision], PlatformError]:
    """Read the next revisions after a number, oldest first.

    Number 0, for an entry without a revision, returns the newest snapshot.
    """
    if number == 0:
        return await _read_snapshot(client)
    rows = await client.list_rows(REVISION_TABLE, revision_key(number), PAGE_ROWS)
    if isinstance(rows, Failure):
        return Failure(rows.failure())
    stored = convert_rows(rows.unwrap(), _parse_stored_change)
    if isinstance(stored, Failure):
        return Failure(stored.failure())
    revisions = []
    for item in stored.unwrap():
        content = await _read_content(client, item)
        if isinstance(content, Failure):
            return Failure(content.failure())
        revision = Revision(item.number, item.publish_id, False, content.unwrap())
        revisions.append(revision)
    return Success(revisions)


async def _read_snapshot(
    client: RecordClient,
) -> Result[list[Revision], PlatformError]:
    head = await read_head(client)
    if isinstance(head, Failure):
        return Failure(head.failure())
    snapshot = head.unwrap().snapshot
    if snapshot.number == 0:
        return Success([])
    content = await _read_object(client, snapshot.digest)
    if isinstance(content, Failure):
        return Failure(content.failure())
    revision = Revision(snapshot.number, snapshot.publish_id, True, content.unwrap())
    return Success([revision])


async def read_catalog(
    client: RecordClient,
) -> Result[tuple[int, Catalog], PlatformError]:
    """Read the number of the newest revision and its objects."""
    number, catalog = 0, Catalog()
    while True:
        result = await read_after(client, number)
        if isinstance(result, Failure):
            return Failure(result.failure())
        revisions = result.unwrap()
        if not revisions:
            return Success((number, catalog))
        for revision in revisions:
            catalog = revision.apply_to(catalog)
            number = revision.number


async def read_history(
    client: RecordClient, limit: int
) -> Result[list[HistoryItem], PlatformError]:
    """Read the newest revisions without their content, newest first."""
    head = await read_head(client)
    if isinstance(head, Failure):
        return Failure(head.failure())
    after = max(0, head.unwrap().number - limit)
    rows = await client.list_rows(REVISION_TABLE, revision_key(after), limit)
    if isinstance(rows, Failure):
        return Failure(rows.failure())
    return convert_rows(rows.unwrap()[::-1], _parse_history_item)


async def publish_change(
    client: RecordClient,
    base: int,
    base_catalog: Catalog,
    change: Change,
    author: str,
) -> Result[int, ChivetrayError]:
    """Publish a change as the revision after a base revision.

    :returns: number of the new revision, or a failure with
        ``REVISION_CONFLICT`` when another revision was published first
    """
    head_result = await read_head(client)
    if isinstance(head_result, Failure):
        return Failure(head_result.failure())
    head = head_result.unwrap()
    if head.number != base:
        return Failure(_conflict_error(base, head.number))
    number = base + 1
    content = change.to_json()
    stored = await _store_content(client, _make_row_value(content, author))
    if isinstance(stored, Failure):
        return Failure(stored.failure())
    value = stored.unwrap()
    new_catalog = base_catalog.copy()
    new_catalog.apply(change)
    later_bytes = head.snapshot.later_bytes + len(content)
    snapshot = await _next_snapshot(
        client, head.snapshot, new_catalog, number, value["publish_id"], later_bytes
    )
    if isinstance(snapshot, Failure):
        return Failure(snapshot.failure())
    head_value = {"number": number, "snapshot": _make_snapshot_value(snapshot.unwrap())}
    writes = [
        RowWrite(HEAD_TABLE, HEAD_KEY, head.version, head_value),
        RowWrite(REVISION_TABLE, revision_key(number), ABSENT, value),
    ]
    return await _commit(client, number, value["publish_id"], writes)


async def _next_snapshot(
    client: RecordClient,
    previous: Snapshot,
    catalog: Catalog,
    number: int,
    publish_id: str,
    later_bytes: int,
) -> Result[Snapshot, PlatformError]:
    """Store a new snapshot if the changes have outgrown the previous one."""
    is_outgrown = later_bytes > max(SNAPSHOT_MIN_BYTES, previous.size_bytes)
    if previous.number > 0 and not is_outgrown:
        unchanged = Snapshot(
            previous.number,
            previous.publish_id,
            previous.digest,
            previous.size_bytes,
            later_bytes,
        )
        return Success(unchanged)
    content = Change(put=catalog.to_object_set()).to_json()
    digest = digest_of(content)
    stored = await client.put_object(digest, content)
    if isinstance(stored, Failure):
        return Failure(stored.failure())
    return Success(Snapshot(number, publish_id, digest, len(content), 0))


def _make_snapshot_value(snapshot: Snapshot) -> dict[str, Any]:
    return {
        "number": snapshot.number,
        "publish_id": snapshot.publish_id,
        "digest": snapshot.digest,
        "size_bytes": snapshot.size_bytes,
        "later_bytes": snapshot.later_bytes,
    }


async def _commit(
    client: RecordClient, number: int, publish_id: str, writes: list[RowWrite]
) -> Result[int, ChivetrayError]:
    """Write a revision; after a lost answer, read it back to find the outcome."""
    for attempt in range(PUBLISH_ATTEMPTS):
        await anyio.sleep(attempt * PUBLISH_RETRY_DELAY_S)
        written = await client.write_all(writes)
        if isinstance(written, Success) and written.unwrap():
            return Success(number)
        row = await client.read_row(REVISION_TABLE, revision_key(number))
        if isinstance(row, Failure):
            continue
        found = row.unwrap()
        if found is not None and found.value["publish_id"] == publish_id:
            return Success(number)
        if found is not None or isinstance(written, Success):
            return Failure(_conflict_error(number - 1, number))
        # The row is absent after a failed write, so the same conditional write can
        # be retried safely.
    message = (
        f"revision {number} may have been published; check with the history command"
    )
    return Failure(ChivetrayError(ResultCode.PUBLISH_UNKNOWN, message))


def _make_row_value(content: str, author: str) -> dict[str, Any]:
    return {
        "publish_id": uuid.uuid4().hex,
        "author": author,
        "created_at_s": time.time(),
        "digest": digest_of(content),
        "content": content,
    }


async def _store_content(
    client: RecordClient, value: dict[str, Any]
) -> Result[dict[str, Any], PlatformError]:
    """Move large content to the object store and return the value of the row."""
    content = value["content"]
    if len(content) <= INLINE_LIMIT_BYTES:
        return Success(value)
    stored = await client.put_object(value["digest"], content)
    if isinstance(stored, Failure):
        return Failure(stored.failure())
    return Success({**value, "content": None})


def _parse_stored_change(row: Row) -> StoredChange:
    value = row.value
    return StoredChange(
        int(row.key), str(value["publish_id"]), str(value["digest"]), value["content"]
    )


async def _read_content(
    client: RecordClient, change: StoredChange
) -> Result[str, PlatformError]:
    if change.content is None:
        return await _read_object(client, change.digest)
    if digest_of(change.content) != change.digest:
        return Failure(_damaged_content_error(change.digest))
    return Success(change.content)


async def _read_object(client: RecordClient, digest: str) -> Result[str, PlatformError]:
    result = await client.get_object(digest)
    if isinstance(result, Failure):
        return Failure(result.failure())
    content = result.unwrap()
    if content is None or digest_of(content) != digest:
        return Failure(_damaged_content_error(digest))
    return Success(content)


def _damaged_content_error(digest: str) -> PlatformError:
    message = f"stored content does not match its digest {digest}"
    return PlatformError(ResultCode.CONTENT_DAMAGED, message, answered=True)


def _parse_history_item(row: Row) -> HistoryItem:
    return HistoryItem(
        number=int(row.key),
        publish_id=row.value["publish_id"],
        author=row.value["author"],
        created_at_s=row.value["created_at_s"],
    )


def _conflict_error(base: int, found: int) -> ChivetrayError:
    message = f"the change is based on revision {base}, but {found} was published first"
    return ChivetrayError(ResultCode.REVISION_CONFLICT, message)
