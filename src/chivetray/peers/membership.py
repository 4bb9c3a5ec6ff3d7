"""Known entries, and those with an open stream."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.peers.homes import rank_candidates


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address at which an entry accepts streams from other entries."""

    name: str
    zone: str
    address: str
    port: int


@dataclass(slots=True)
class LivePeer:
    """An entry with an open stream.

    :ivar revision: newest revision that the entry has reported
    :ivar heard_at_s: time at which the last bytes arrived, also of a message under way
    :ivar leaving: whether the entry takes no new requests
    """

    name: str
    zone: str
    incarnation: str
    revision: int
    heard_at_s: float
    leaving: bool = False


class Membership:
    """Known and live entries, as one entry sees them.

    :param name: name of this entry
    :param zone: availability zone of this entry
    :param far_peers: number of entries of other zones to connect to
    """

    def __init__(self, name: str, zone: str, far_peers: int):
        self.name = name
        self.zone = zone
        self._far_peers = far_peers
        self._seeds: dict[str, PeerAddress] = {}
        self._listed: dict[str, PeerAddress] = {}
        self._removed: set[str] = set()
        self._live: dict[str, LivePeer] = {}

    def set_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Set the entries that are named in the settings."""
        self._seeds = {seed.name: seed for seed in seeds}

    def list_entry(self, address: PeerAddress) -> None:
        """Add an entry of the VM list or update its address."""
        self._listed[address.name] = address
        self._removed.discard(address.name)

    def list_gone(self, name: str) -> None:
        """Remove an entry whose VM the VM list shows as gone."""
        self._listed.pop(name, None)
        self._removed.add(name)

    def known_entries(self) -> dict[str, PeerAddress]:
        """Return the other entries by name; the VM list takes precedence over seeds."""
        addresses = {**self._seeds, **self._listed}
        return {
            name: peer
            for name, peer in addresses.items()
            if name != self.name and name not in self._removed
        }

    def dial_targets(self) -> list[PeerAddress]:
        """Return the entries to which this one opens a stream.

        Within a zone all pairs of entries are connected, and the entry whose name
        sorts first dials. A few entries of other zones are chosen by rendezvous
        hashing.
        """
        known = self.known_entries()
        same_zone = [
            peer
            for peer in known.values()
            if peer.zone == self.zone and self.name < peer.name
        ]
        other_zones = {
            name: peer for name, peer in known.items() if peer.zone != self.zone
        }
        chosen = rank_candidates(self.name, other_zones)[: self._far_peers]
        return same_zone + [other_zones[name] for name in chosen]

    def mark_connected(self, peer: LivePeer) -> LivePeer | None:
        """Record an open stream and return the previous state of the entry."""
        previous = self._live.get(peer.name)
        self._live[peer.name] = peer
        return previous

    def mark_disconnected(self, name: str) -> None:
        """Record that an entry has no open stream."""
        self._live.pop(name, None)

    def get(self, name: str) -> LivePeer | None:
        """Return a live entry, or ``None`` when it has no open stream."""
        return self._live.get(name)

    def live(self) -> list[LivePeer]:
        """Return the other entries with an open stream."""
        return list(self._live.values())

    def zone_entries(self) -> list[str]:
        """Return the names of the live entries of this zone, including this one."""
        names = [peer.name for peer in self._live.values() if peer.zone == self.zone]
        return sorted([self.name, *names])
