"""Logs the attempts to get a version of the configuration."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.store import Row


def log_transfer(
    way: str, started_s: float, size_bytes: int = 0, reason: str = "", **fields: str
) -> None:
    """Log the end of an attempt.

    :param way: ``feed``, ``row``, ``table`` or ``peer``
    :param reason: why the attempt failed, empty if it did not
    """
    log_event(
        Event.CONFIG_TRANSFER,
        way=way,
        verdict="failed" if reason else "received",
        took_s=round(boot_time_s() - started_s, 3),
        size_bytes=size_bytes,
        **({"reason": reason} if reason else {}),
        **fields,
    )


def size_of(rows: Iterable[Row]) -> int:
    """Return the size of the values of rows in bytes."""
    return sum(len(row.value) for row in rows)
