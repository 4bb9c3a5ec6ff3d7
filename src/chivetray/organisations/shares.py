"""Shares of an organisation's cap, as its row in the store holds them.

Each cell has a share, and uses at most that much. A write changes the row on condition
of its version, so the sum of the shares bounds what runs in all cells. A resource whose
cap is 0 has no limit; no shares of it are kept.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import msgpack

from chivetray.organisations.model import Resources

# Amount of a resource without a limit.
UNLIMITED = 2**62

NOTHING = Resources()
EVERYTHING = Resources(UNLIMITED, UNLIMITED, UNLIMITED)


@dataclass(frozen=True, slots=True)
class CellShare:
    """Share of one cell.

    :ivar epoch: epoch of the owner that has claimed it
    """

    epoch: int
    share: Resources


@dataclass(frozen=True, slots=True)
class Shares:
    """Content of the row of an organisation.

    :ivar version: version of the configuration that the cap is from
    :ivar cap: cap under which shares are granted
    """

    version: int = 0
    cap: Resources = NOTHING
    cells: dict[str, CellShare] = field(default_factory=dict)

    def total(self) -> Resources:
        """Return the sum of all shares."""
        amounts = [_amounts(held.share) for held in self.cells.values()]
        return Resources(*(sum(column) for column in zip(*amounts, strict=True)))

    def share_of(self, cell: str) -> Resources:
        """Return the share of a cell."""
        held = self.cells.get(cell)
        return held.share if held is not None else NOTHING

    def free(self) -> Resources:
        """Return what no cell holds."""
        return subtract(as_limit(self.cap), self.total())

    def may_change(self, cell: str, epoch: int) -> bool:
        """Return whether no later owner has claimed the share of a cell."""
        held = self.cells.get(cell)
        return held is None or held.epoch <= epoch

    def encode(self) -> bytes:
        """Return the shares as they are stored in the row."""
        cells = {
            cell: [held.epoch, *_amounts(held.share)]
            for cell, held in sorted(self.cells.items())
        }
        return bytes(msgpack.packb([self.version, _amounts(self.cap), cells]))

    @classmethod
    def decode(cls, content: bytes) -> Shares | None:
        """Return the shares in a row, or ``None`` when it cannot be decoded."""
        try:
            version, cap, cells = msgpack.unpackb(content)
            decoded = {
                str(cell): CellShare(_count(epoch), _decode_amounts(amounts))
                for cell, (epoch, *amounts) in cells.items()
            }
            return cls(_count(version), _decode_amounts(cap), decoded)
        except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
            return None


@dataclass(frozen=True, slots=True)
class Demand:
    """Tasks that lack share.

    :ivar unit: what has to fit at once: one task, or all of a gang
    """

    unit: Resources
    count: int = 1


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu_milli, resources.mem_mb, resources.gpu


def _count(value: object) -> int:
    """Return a stored number.

    :raises ValueError: when it is not a natural number
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"{value!r} is not a natural number")
    return value


def _decode_amounts(values: Iterable[object]) -> Resources:
    cpu_milli, mem_mb, gpu = (_count(value) for value in values)
    return Resources(cpu_milli, mem_mb, gpu)


def add(first: Resources, second: Resources) -> Resources:
    """Return the sum of two amounts."""
    pairs = zip(_amounts(first), _amounts(second), strict=True)
    return Resources(*(a + b for a, b in pairs))


def subtract(first: Resources, second: Resources) -> Resources:
    """Return the difference of two amounts, at least 0."""
    pairs = zip(_amounts(first), _amounts(second), strict=True)
    return Resources(*(max(0, a - b) for a, b in pairs))


def multiply(amount: Resources, count: int) -> Resources:
    """Return a multiple of an amount."""
    return Resources(*(value * count for value in _amounts(amount)))


def largest(first: Resources, second: Resources) -> Resources:
    """Return the larger amount of each resource."""
    return Resources(*map(max, _amounts(first), _amounts(second)))


def smallest(first: Resources, second: Resources) -> Resources:
    """Return the smaller amount of each resource."""
    return Resources(*map(min, _amounts(first), _amounts(second)))


def fits(amount: Resources, room: Resources) -> bool:
    """Return whether a room has enough of each resource."""
    return all(a <= b for a, b in zip(_amounts(amount), _amounts(room), strict=True))


def count_units(room: Resources, unit: Resources, most: int) -> int:
    """Return how many of some units fit into a room, at most a number."""
    pairs = zip(_amounts(room), _amounts(unit), strict=True)
    return min(most, *(have // need if need else most for have, need in pairs))


def as_limit(cap: Resources) -> Resources:
    """Return a cap with the largest amount for each resource without a limit."""
    return Resources(*(value or UNLIMITED for value in _amounts(cap)))


def limited(amount: Resources, cap: Resources) -> Resources:
    """Return an amount without the resources that a cap does not limit."""
    pairs = zip(_amounts(amount), _amounts(cap), strict=True)
    return Resources(*(a if c else 0 for a, c in pairs))


def newly_limited(before: Resources, after: Resources) -> bool:
    """Return whether a cap limits a resource that it did not limit before."""
    pairs = zip(_amounts(before), _amounts(after), strict=True)
    return any(b and not a for a, b in pairs)


def effective_share(share: Resources, cap: Resources, granted: Resources) -> Resources:
    """Return how much a cell may use of a share under a cap.

    The other cells may use all of what was granted but for the share. So a start that
    stays within the result keeps all cells together within the cap. This is at most
    the share scaled by the ratio of the cap to what was granted.

    :param granted: upper bound of the sum of all shares
    """
    excess = subtract(granted, as_limit(cap))
    values = zip(_amounts(subtract(share, excess)), _amounts(cap), strict=True)
    return Resources(*(value if limit else UNLIMITED for value, limit in values))


def adopt_cap(
    shares: Shares, version: int, cap: Resources, must_record: bool
) -> Shares:
    """Return the shares under the cap of a configuration, unless they have a newer one.

    An owner with an older configuration finds the newer cap here and grants nothing
    under its own.

    :param must_record: whether to record the version even if the cap is the same
    """
    if version <= shares.version or (cap == shares.cap and not must_record):
        return shares
    cells = {
        cell: replace(held, share=limited(held.share, cap))
        for cell, held in shares.cells.items()
    }
    return Shares(version, cap, cells)


def _with_share(shares: Shares, cell: str, epoch: int, share: Resources) -> Shares:
    held = CellShare(epoch, limited(share, shares.cap))
    return replace(shares, cells={**shares.cells, cell: held})


def claim(shares: Shares, cell: str, epoch: int, use: Resources) -> Shares:
    """Return the shares after an owner has claimed the share of its cell.

    What already runs beyond the share counts as granted, so that the other cells leave
    room for it. This happens when a resource gets its first cap.
    """
    share = largest(shares.share_of(cell), use)
    return _with_share(shares, cell, epoch, share)


def take(
    shares: Shares, cell: str, epoch: int, use: Resources, demands: Iterable[Demand]
) -> Shares:
    """Return the shares after a cell has taken what is free for its demand.

    A gang takes nothing unless it fits as a whole, so that two of them never hold one
    half each.

    :param use: what the cell uses of its share
    :param demands: tasks that lack share, in their order of scheduling
    """
    share = shares.share_of(cell)
    limit = add(share, shares.free())
    wanted = use
    for demand in demands:
        count = count_units(subtract(limit, wanted), demand.unit, demand.count)
        wanted = add(wanted, multiply(demand.unit, count))
    if fits(limited(wanted, shares.cap), share):
        return shares
    return _with_share(shares, cell, epoch, largest(share, wanted))


def give_back(shares: Shares, cell: str, epoch: int, kept: Resources) -> Shares:
    """Return the shares after a cell has given back all but what it keeps."""
    share = smallest(shares.share_of(cell), kept)
    return _with_share(shares, cell, epoch, share)


def shrink(shares: Shares, cell: str, epoch: int, use: Resources) -> Shares:
    """Return the shares after a cell has followed a lowered cap.

    It keeps its part of the cap, or what it uses if that is more.
    """
    total, share = shares.total(), shares.share_of(cell)
    values = zip(_amounts(share), _amounts(shares.cap), _amounts(total), strict=True)
    scaled = Resources(
        *(s * cap // t if cap and t > cap else s for s, cap, t in values)
    )
    return give_back(shares, cell, epoch, largest(scaled, smallest(use, share)))


def exceeds(shares: Shares) -> bool:
    """Return whether more is granted than the cap, after it was lowered."""
    return not fits(shares.total(), as_limit(shares.cap))
