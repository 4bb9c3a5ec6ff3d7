"""Reads claims page by page from the table service, to remove expired ones."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result

from chivetray.exceptions import PlatformError
from chivetray.records.client import RecordClient, Row, RowWrite, convert_rows

CLAIM_TABLE = "claims"
PAGE_ROWS = 200


@dataclass(frozen=True, slots=True)
class ClaimExpiry:
    """Expiry of one stored claim.

    :ivar version: version of the row
    :ivar expires_at_s: time since the epoch from which the claim may be removed
    """

    key: str
    version: int
    expires_at_s: float

    def removal(self) -> RowWrite:
        """Return the write that removes the claim if it has not changed."""
        return RowWrite(CLAIM_TABLE, self.key, self.version, None)


async def read_claim_page(
    client: RecordClient, after: str
) -> Result[list[ClaimExpiry], PlatformError]:
    """Read the page of claims after a key; an empty page is the end of the table."""
    result = await client.list_rows(CLAIM_TABLE, after, PAGE_ROWS)
    if isinstance(result, Failure):
        return Failure(result.failure())
    return convert_rows(result.unwrap(), _parse_claim_expiry)


def _parse_claim_expiry(row: Row) -> ClaimExpiry:
    return ClaimExpiry(row.key, row.version, float(row.value["expires_at_s"]))
