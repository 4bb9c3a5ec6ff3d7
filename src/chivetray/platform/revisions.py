"""Configuration revisions in the platform's table service and object store.

Row ``config/<number>`` describes one revision. It is created only when it does
not exist yet, in one transaction with the row ``config-head/head``, so that two
operators can never publish the same number. Small content lies in the row, the
rest in the object store under its digest.
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
from chivetray.platform.client import ABSENT, PlatformClient, Row, RowWrite
from chivetray.results import ResultCode

REVISION_TABLE = "config"
HEAD_TABLE = "config-head"
HEAD_KEY = "head"

# Every so many revisions the whole set is stored, so that a new entry reads a
# bounded number of changes.
FULL_INTERVAL = 64

INLINE_LIMIT_BYTES = 16 * 1024
PUBLISH_READ_TRIES = 5
PUBLISH_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class Head:
    """Newest revision in the platform.

    :ivar version: version of the head row, for a conditional write
    :ivar number: newest revision
    :ivar full_number: newest revision that holds the whole set
    """

    version: int
    number: int
    full_number: int


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """A published revision without its content."""

    number: int
    publish_id: str
    author: str
    created_at_s: float
    full: bool


def revision_key(number: int) -> str:
    """Return the row key of a revision; keys sort as the numbers do."""
    return f"{number:012d}"


async def read_head(client: PlatformClient) -> Result[Head, PlatformError]:
    """Read the newest revision's number; it is 0 before the first publication."""
    result = await client.read_row(HEAD_TABLE, HEAD_KEY)
    if isinstance(result, Failure):
        return Failure(result.failure())
    row = result.unwrap()
    if row is None:
        return Success(Head(ABSENT, 0, 0))
    return Success(Head(row.version, row.value["number"], row.value["full_number"]))


async def read_after(
    client: PlatformClient, number: int
) -> Result[list[Revision], PlatformError]:
    """Read the revisions that lead on from a number, oldest first.

    An entry without a revision starts from the newest whole set.
    """
    after = number
    if number == 0:
        head = await read_head(client)
        if isinstance(head, Failure):
            return Failure(head.failure())
        after = max(0, head.unwrap().full_number - 1)
    rows = await client.list_rows(REVISION_TABLE, revision_key(after))
    if isinstance(rows, Failure):
        return Failure(rows.failure())
    revisions = []
    for row in rows.unwrap():
        content = await _read_content(client, row)
        if isinstance(content, Failure):
            return Failure(content.failure())
        revisions.append(_revision_from_row(row, content.unwrap()))
    return Success(revisions)


async def read_catalog(
    client: PlatformClient,
) -> Result[tuple[int, Catalog], PlatformError]:
    """Read the newest revision's number and its objects."""
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
    client: PlatformClient, limit: int
) -> Result[list[HistoryItem], PlatformError]:
    """Read the newest revisions without their content, newest first."""
    head = await read_head(client)
    if isinstance(head, Failure):
        return Failure(head.failure())
    after = max(0, head.unwrap().number - limit)
    rows = await client.list_rows(REVISION_TABLE, revision_key(after), limit)
    if isinstance(rows, Failure):
        return Failure(rows.failure())
    return Success([_history_item(row) for row in reversed(rows.unwrap())])


async def publish_change(
    client: PlatformClient,
    base: int,
    base_catalog: Catalog,
    change: Change,
    author: str,
) -> Result[int, ChivetrayError]:
    """Publish a change as the revision after a base.

    :returns: the new revision's number, or a failure with
        ``REVISION_CONFLICT`` when another revision came first
    """
    head_result = await read_head(client)
    if isinstance(head_result, Failure):
        return Failure(head_result.failure())
    head = head_result.unwrap()
    if head.number != base:
        return Failure(_conflict(base, head.number))
    number = base + 1
    full = number == 1 or number - head.full_number >= FULL_INTERVAL
    if full:
        newer = base_catalog.copy()
        newer.apply(change)
        change = Change(put=newer.to_object_set())
    value = _row_value(change.to_json(), full, author)
    stored = await _store_content(client, value)
    if isinstance(stored, Failure):
        return Failure(stored.failure())
    head_value = {"number": number, "full_number": number if full else head.full_number}
    writes = [
        RowWrite(HEAD_TABLE, HEAD_KEY, head.version, head_value),
        RowWrite(REVISION_TABLE, revision_key(number), ABSENT, stored.unwrap()),
    ]
    return await _commit(client, number, value["publish_id"], writes)


async def _commit(
    client: PlatformClient, number: int, publish_id: str, writes: list[RowWrite]
) -> Result[int, ChivetrayError]:
    """Write a revision; a lost answer is resolved by reading it back."""
    for attempt in range(PUBLISH_READ_TRIES):
        await anyio.sleep(attempt * PUBLISH_PAUSE_S)
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
            return Failure(_conflict(number - 1, number))
        # The row is absent and the answer was lost, so the same conditional
        # write is safe to send again.
    message = f"revision {number} may have been published; look with history"
    return Failure(ChivetrayError(ResultCode.PUBLISH_UNKNOWN, message))


def _row_value(content: str, full: bool, author: str) -> dict[str, Any]:
    return {
        "publish_id": uuid.uuid4().hex,
        "author": author,
        "created_at_s": time.time(),
        "full": full,
        "digest": digest_of(content),
        "content": content,
    }


async def _store_content(
    client: PlatformClient, value: dict[str, Any]
) -> Result[dict[str, Any], PlatformError]:
    """Move large content to the object store and return the row's value."""
    content = value["content"]
    if len(content) <= INLINE_LIMIT_BYTES:
        return Success(value)
    stored = await client.put_object(value["digest"], content)
    if isinstance(stored, Failure):
        return Failure(stored.failure())
    return Success({**value, "content": None})


async def _read_content(client: PlatformClient, row: Row) -> Result[str, PlatformError]:
    content = row.value["content"]
    if content is None:
        result = await client.get_object(row.value["digest"])
        if isinstance(result, Failure):
            return Failure(result.failure())
        content = result.unwrap()
    if content is None or digest_of(content) != row.value["digest"]:
        message = f"the content of revision {row.key} does not match its digest"
        return Failure(PlatformError(ResultCode.CONTENT_DAMAGED, message, True))
    return Success(content)


def _revision_from_row(row: Row, content: str) -> Revision:
    return Revision(
        number=int(row.key),
        publish_id=row.value["publish_id"],
        full=row.value["full"],
        content=content,
    )


def _history_item(row: Row) -> HistoryItem:
    return HistoryItem(
        number=int(row.key),
        publish_id=row.value["publish_id"],
        author=row.value["author"],
        created_at_s=row.value["created_at_s"],
        full=row.value["full"],
    )


def _conflict(base: int, found: int) -> ChivetrayError:
    message = f"the change is based on revision {base}, but {found} was published first"
    return ChivetrayError(ResultCode.REVISION_CONFLICT, message)
