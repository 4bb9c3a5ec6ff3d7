"""Suppresses log lines that repeat within a short interval."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# Shortest interval between two lines on one subject. The next line that is written
# reports how many were suppressed.
INTERVAL_S = 1.0

# Fields that, with the event, identify the subject of a line. Reasons and numbers
# differ at each repeat.
SUBJECT_FIELDS = (
    "cell",
    "during",
    "unknown",
    "refusal",
    "organisation",
    "loop",
    "way",
    "listener",
    "limit",
)


class RepeatFilter:
    """Limits the rate of lines on one subject and counts those suppressed."""

    def __init__(self) -> None:
        self._last_written: dict[tuple[object, ...], tuple[float, int]] = {}

    def admit(self, name: str, fields: Mapping[str, Any], now_s: float) -> int | None:
        """Return how many lines were suppressed before, ``None`` to suppress this."""
        subject = (name, *(fields.get(field) for field in SUBJECT_FIELDS))
        written_at_s, suppressed = self._last_written.get(subject, (-INTERVAL_S, 0))
        if now_s - written_at_s < INTERVAL_S:
            self._last_written[subject] = (written_at_s, suppressed + 1)
            return None
        self._last_written[subject] = (now_s, 0)
        return suppressed
