"""Newest claims of cells, of this process and its peers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.generated.messages import CellClaim
from chivetray.peers.mesh import Peer


@dataclass(frozen=True, slots=True)
class KnownClaim:
    """A claim of a cell and the peer that told it, ``None`` for this process."""

    claim: CellClaim
    peer: Peer | None


def newest_claims(
    own: Iterable[CellClaim], peers: Iterable[Peer]
) -> dict[str, KnownClaim]:
    """Return the claim with the highest epoch of each cell.

    Of two claims of a cell, as while its owner changes, the newer one counts.
    """
    newest: dict[str, KnownClaim] = {}
    known = [KnownClaim(claim, None) for claim in own]
    known += [KnownClaim(claim, peer) for peer in peers for claim in peer.claims()]
    for item in known:
        before = newest.get(item.claim.cell)
        if before is None or item.claim.epoch > before.claim.epoch:
            newest[item.claim.cell] = item
    return newest
