"""Replaces the keys of organisations in what is sent to peers by their digests."""

from __future__ import annotations

import base64
import binascii
from typing import Any

import orjson

from chivetray.organisations.keys import digest_key
from chivetray.platform.stored_records import (
    CONFIG_KEY,
    CONFIG_TABLE,
    REDACTED_PREFIX,
    is_usable_key,
)

# Fields that are kept. Others are not read, and may hold anything.
_CONFIG_FIELDS = ("Version", "Routes", "Services", "Limits")
_ORGANISATION_FIELDS = ("Name", "Weight", "Cap")


def redact_config(content: bytes) -> bytes:
    """Return the content of a configuration row with digests in place of keys.

    It decodes to the same configuration, and is unchanged if it has no organisations.
    Content that cannot be decoded is left out, since it may hold keys as well.
    """
    if content.startswith(REDACTED_PREFIX):
        return content
    try:
        plain = orjson.loads(content)
    except orjson.JSONDecodeError:
        return REDACTED_PREFIX
    if not isinstance(plain, dict):
        return REDACTED_PREFIX
    rows = plain.get("Tenants")
    if not rows:
        return content
    kept = {name: plain[name] for name in _CONFIG_FIELDS if name in plain}
    is_list = isinstance(rows, list)
    # A value of another type is as invalid as the original.
    kept["Tenants"] = [_redact_row(row) for row in rows] if is_list else True
    return REDACTED_PREFIX + orjson.dumps(kept)


def redact_answer(body: Any) -> Any:
    """Return an answer of the store with configuration rows redacted."""
    rows = body.get("rows") if isinstance(body, dict) else None
    if not isinstance(rows, list):
        return body
    return {**body, "rows": [_redact_stored_row(row) for row in rows]}


def _redact_row(row: Any) -> Any:
    if not isinstance(row, dict):
        return None
    kept = {name: row[name] for name in _ORGANISATION_FIELDS if name in row}
    keys = row.get("ApiKeys")
    if keys is not None:
        is_list = isinstance(keys, list)
        kept["ApiKeys"] = [_redact_key(key) for key in keys] if is_list else True
    return kept


def _redact_key(key: Any) -> str | None:
    return digest_key(key.encode()).hex() if is_usable_key(key) else None


def _redact_stored_row(row: Any) -> Any:
    if not isinstance(row, dict):
        return None
    is_config = (
        row.get("Table", CONFIG_TABLE) == CONFIG_TABLE
        and row.get("Key", CONFIG_KEY) == CONFIG_KEY
    )
    if not is_config or "Value" not in row:
        return row
    try:
        content = base64.b64decode(row["Value"] or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        content = b""
    return {**row, "Value": base64.b64encode(redact_config(content)).decode()}
