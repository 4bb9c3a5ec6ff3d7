"""Authorisation of calls by the key of an organisation."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

# Bytes of a digest that log lines show. They identify a key among those of a
# configuration, and are too few to search for the key.
LOGGED_DIGEST_BYTES = 4


class Refusal(Enum):
    """Reason for which a call is not authorised."""

    MISSING = "missing key"
    MALFORMED = "malformed key"
    DUPLICATED = "several keys"
    UNKNOWN = "unknown key"
    REVOKED = "revoked key"


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """What a call presents to be authorised.

    :ivar digest: digest of the key, empty if it presents none that can be read
    :ivar refusal: reason for which no key can be read
    """

    digest: bytes = b""
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of the authorisation of a call.

    :ivar organisation: organisation of the caller; the former one of a revoked key
    :ivar refusal: ``None`` if the call is authorised
    """

    organisation: str = ""
    refusal: Refusal | None = None


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is known."""
    return hashlib.sha256(key).digest()


def abbreviate_digest(digest: bytes) -> str:
    """Return the part of a digest that may be logged."""
    return digest[:LOGGED_DIGEST_BYTES].hex()


def authorise(
    presented: PresentedKey,
    key_owners: Mapping[bytes, str],
    revoked_keys: Mapping[bytes, str],
) -> Verdict:
    """Decide whether a call is authorised, and on behalf of which organisation.

    :param key_owners: organisation by the digest of each valid key
    :param revoked_keys: organisation by the digest of keys that earlier versions had
    """
    if presented.refusal is not None:
        return Verdict("", presented.refusal)
    owner = _find_owner(presented.digest, key_owners)
    if owner is not None:
        return Verdict(owner)
    former_owner = _find_owner(presented.digest, revoked_keys)
    if former_owner is not None:
        return Verdict(former_owner, Refusal.REVOKED)
    return Verdict("", Refusal.UNKNOWN)


def is_hidden(owner: str, caller: str) -> bool:
    """Return whether a job is treated as absent for a caller.

    A job without an organisation belongs to nobody, and a caller without one has used
    a public route or a configuration without organisations, where nothing is checked.

    :param owner: organisation of the job, empty for none
    :param caller: organisation of the caller, empty for none
    """
    return bool(owner) and bool(caller) and owner != caller


def _find_owner(digest: bytes, owners: Mapping[bytes, str]) -> str | None:
    """Compare a digest with all others, in a time that does not depend on a match."""
    found = None
    for known, owner in owners.items():
        if hmac.compare_digest(known, digest):
            found = owner
    return found
