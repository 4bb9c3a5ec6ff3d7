"""Entries that this entry knows, and those that are alive."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.peers.homes import rank_candidates


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where an entry listens for other entries."""

    name: str
    zone: str
    address: str
    port: int


@dataclass(slots=True)
class LivePeer:
    """An entry with an open stream.

    :ivar heard_at_s: time of the last message
    """

    name: str
    zone: str
    incarnation: str
    revision: int
    heard_at_s: float
    leaving: bool = False


class Membership:
    """Known and live entries, seen from one entry.

    :param name: this entry
    :param zone: availability zone of this entry
    :param far_peers: entries of other zones to connect to
    """

    def __init__(self, name: str, zone: str, far_peers: int):
        self.name = name
        self.zone = zone
        self._far_peers = far_peers
        self._seeds: dict[str, PeerAddress] = {}
        self._listed: dict[str, PeerAddress] = {}
        self._gone: set[str] = set()
        self._live: dict[str, LivePeer] = {}

    def set_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """Set the entries that the settings name."""
        self._seeds = {seed.name: seed for seed in seeds}

    def list_entry(self, address: PeerAddress) -> None:
        """Add an entry of the VM list, or move it to a new address."""
        self._listed[address.name] = address
        self._gone.discard(address.name)

    def list_gone(self, name: str) -> None:
        """Remove an entry that the VM list shows as gone."""
        self._listed.pop(name, None)
        self._gone.add(name)

    def known(self) -> dict[str, PeerAddress]:
        """Return the other entries by name; the VM list goes before the seeds."""
        known = {**self._seeds, **self._listed}
        return {
            name: peer
            for name, peer in known.items()
            if name != self.name and name not in self._gone
        }

    def dial_targets(self) -> list[PeerAddress]:
        """Return the entries to which this one opens a stream.

        Within a zone every pair is connected, and the first by name dials. Of
        the other zones a few entries are chosen by rendezvous hashing.
        """
        known = self.known()
        near = [p for p in known.values() if p.zone == self.zone and self.name < p.name]
        far = {name: p for name, p in known.items() if p.zone != self.zone}
        chosen = rank_candidates(self.name, far)[: self._far_peers]
        return near + [far[name] for name in chosen]

    def join(self, peer: LivePeer) -> LivePeer | None:
        """Record an open stream and return the earlier state of the entry."""
        earlier = self._live.get(peer.name)
        self._live[peer.name] = peer
        return earlier

    def lose(self, name: str) -> None:
        """Record that an entry has no open stream."""
        self._live.pop(name, None)

    def get(self, name: str) -> LivePeer | None:
        """Return a live entry."""
        return self._live.get(name)

    def live(self) -> list[LivePeer]:
        """Return the other entries that are alive."""
        return list(self._live.values())

    def zone_entries(self) -> list[str]:
        """Return the live entries of this zone that keep slots, this one among them."""
        names = [p.name for p in self._live.values() if p.zone == self.zone]
        return sorted([self.name, *names])
