"""Chooses the few entries that try to hold a duty."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.peers.homes import rank_candidates

# Entries that try to hold one duty; the others leave the store alone.
CANDIDATES = 3


def is_candidate(duty: str, entry: str, live_entries: Iterable[str]) -> bool:
    """Return whether an entry should try to hold a duty."""
    return entry in rank_candidates(duty, live_entries)[:CANDIDATES]
