"""Versions of the configuration that are newer than the one in force."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.clocks import boot_time_s

# Versions of which the time is remembered; further ones take the place of the last.
MAX_VERSIONS = 100


class NewerVersions:
    """Which newer versions are known, since when, and which peers have them.

    :ivar peers: newer version that each peer has in force
    """

    def __init__(self) -> None:
        self.peers: dict[str, int] = {}
        self._in_force = 0
        self._unreadable = 0
        self._known_at_s: dict[int, float] = {}

    @property
    def newest(self) -> int:
        """Newest version that is known, 0 if none is newer than the one in force."""
        return max(self._known_at_s, default=0)

    @property
    def since_s(self) -> float:
        """Time at which the oldest of them became known, 0 if there is none."""
        return min(self._known_at_s.values(), default=0.0)

    def note(self, version: int, peer: str = "") -> bool:
        """Record a version; return whether it is the newest one so far.

        :param peer: peer that has it in force
        """
        if version <= max(self._in_force, self._unreadable):
            return False
        if peer:
            self.peers[peer] = version
        if version <= self.newest:
            return False
        if len(self._known_at_s) >= MAX_VERSIONS:
            self._known_at_s.popitem()
        self._known_at_s[version] = boot_time_s()
        return True

    def put_in_force(self, version: int) -> None:
        """Forget the versions up to one that is in force now."""
        self._in_force = version
        self._forget_up_to(version)

    def give_up(self, version: int) -> None:
        """Forget the versions up to one that this release cannot read."""
        self._unreadable = max(self._unreadable, version)
        self._forget_up_to(version)

    def forget_others(self, peers: Iterable[str]) -> None:
        """Forget all peers but some."""
        kept = set(peers)
        self.peers = {
            peer: version for peer, version in self.peers.items() if peer in kept
        }

    def forget_all(self) -> None:
        """Forget all versions, such as when neither the store nor a peer has them."""
        self.peers.clear()
        self._known_at_s.clear()

    def _forget_up_to(self, version: int) -> None:
        self._known_at_s = {v: s for v, s in self._known_at_s.items() if v > version}
        self.peers = {peer: v for peer, v in self.peers.items() if v > version}
