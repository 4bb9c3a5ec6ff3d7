"""Chooses the home entry of each endpoint by rendezvous hashing.

The home of an endpoint is the entry that grants the endpoint's slots to the
entries of the zone.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the hash weight of a candidate for a key."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()))


def choose_home(endpoint: str, entries: Iterable[str]) -> str | None:
    """Return the home of an endpoint, or ``None`` when there are no entries.

    When an entry joins or leaves, only the endpoints of that entry change home.
    """
    return next(iter(rank_candidates(endpoint, entries)), None)


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates for a key, most preferred first."""
    return sorted(
        candidates, key=lambda name: (rendezvous_score(key, name), name), reverse=True
    )


def digest_endpoints(endpoints: Iterable[str]) -> int:
    """Return an order-independent digest of endpoint names.

    Two entries compare the digests to find out whether they agree on the homes.
    """
    return int(xxhash.xxh3_64_intdigest("\0".join(sorted(endpoints)).encode()))
