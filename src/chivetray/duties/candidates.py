"""Choice of the few entries that compete for a duty."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.peers.homes import rank_candidates

# Entries that compete for one duty; the others send no lease requests to the store.
CANDIDATES_PER_DUTY = 3


def is_candidate(duty: str, entry: str, live_entries: Iterable[str]) -> bool:
    """Return whether an entry should compete for a duty."""
    return entry in rank_candidates(duty, live_entries)[:CANDIDATES_PER_DUTY]
