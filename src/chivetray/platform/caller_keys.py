"""The header in which callers present the key of their organisation."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.organisations.keys import PresentedKey, Refusal, digest_key

KEY_HEADER = b"authorization"
KEY_SCHEME = b"token"

# Header of an answer that asks for a key.
CHALLENGE = (b"www-authenticate", b"Token")


def read_key(headers: Iterable[tuple[bytes, bytes]]) -> PresentedKey:
    """Return the key that a call presents.

    :param headers: names in lower case, and values
    """
    values = [value for name, value in headers if name == KEY_HEADER]
    if not values:
        return PresentedKey(refusal=Refusal.MISSING)
    if len(values) > 1:
        return PresentedKey(refusal=Refusal.DUPLICATED)
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != KEY_SCHEME:
        return PresentedKey(refusal=Refusal.MALFORMED)
    return PresentedKey(digest_key(words[1]))
