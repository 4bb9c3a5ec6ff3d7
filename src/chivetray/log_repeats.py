"""Folds log lines that repeat what was said a moment ago."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# Time in which one line of a kind is written; the next one tells how many there were.
INTERVAL_S = 1.0

# Fields that tell one matter from another. Reasons and numbers differ at each repeat.
SUBJECT_FIELDS = ("cell", "during", "unknown")


class RepeatFilter:
    """Counts the lines of a matter that were left out since the last one."""

    def __init__(self) -> None:
        self._seen: dict[tuple[object, ...], tuple[float, int]] = {}

    def admit(self, name: str, fields: Mapping[str, Any], now_s: float) -> int | None:
        """Return how many lines were left out before, or ``None`` to leave this out."""
        subject = (name, *(fields.get(field) for field in SUBJECT_FIELDS))
        written_at_s, left_out = self._seen.get(subject, (-INTERVAL_S, 0))
        if now_s - written_at_s < INTERVAL_S:
            self._seen[subject] = (written_at_s, left_out + 1)
            return None
        self._seen[subject] = (now_s, 0)
        return left_out
