"""Validation of values in content that other programs have written.

A reader of an entry, answer or row gets either a value of the wanted type or ``None``.
JSON allows more than the platform's pages: numbers beyond 64 bits, which can be stored
in no row and no message, and arrays whose depth exhausts the stack of ``str``.
"""

from __future__ import annotations

from typing import Any

import orjson

# Largest whole number: such as a time in ms since 1970 or a version. JSON numbers are
# exact up to it, and the sum of a thousand of them fits into 64 bits.
MAX_WHOLE_NUMBER = 2**53

# Largest capacity: a million cores in thousandths, or a petabyte in MB. The sum over
# all workers of a fleet fits into 64 bits.
MAX_CAPACITY = 10**9


def decode_object(raw: bytes) -> dict[str, Any] | None:
    """Decode a JSON object, or return ``None`` for any other content."""
    try:
        decoded = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return None
    return decoded if isinstance(decoded, dict) else None


def read_whole_number(value: Any, limit: int = MAX_WHOLE_NUMBER) -> int | None:
    """Return a whole number from 0 to a limit, or ``None`` for any other value."""
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if 0 <= value <= limit else None


def read_number(value: Any) -> float | None:
    """Return a number from 0 to the limit of whole ones, or ``None``."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    return float(value) if 0 <= value <= MAX_WHOLE_NUMBER else None


def read_text(value: Any) -> str | None:
    """Return a string, or ``None`` for any other value."""
    return value if isinstance(value, str) else None


def read_list(plain: dict[str, Any], name: str) -> list[Any]:
    """Return a field that is a list, or an empty list."""
    value = plain.get(name)
    return value if isinstance(value, list) else []
