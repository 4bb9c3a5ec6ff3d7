"""Chooses the home entry of each endpoint by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()))


def choose_home(endpoint: str, entries: Iterable[str]) -> str | None:
    """Return the entry that is home to an endpoint, or ``None`` without entries.

    When an entry joins or leaves, only its own share of endpoints changes home.
    """
    return next(iter(rank_candidates(endpoint, entries)), None)


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in the order of preference for a key."""
    return sorted(
        candidates, key=lambda name: (rendezvous_score(key, name), name), reverse=True
    )


def digest_endpoints(endpoints: Iterable[str]) -> int:
    """Return a digest of a set of endpoints, to compare two entries' views."""
    return int(xxhash.xxh3_64_intdigest("\0".join(sorted(endpoints)).encode()))
