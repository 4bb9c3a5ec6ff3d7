"""Which formats of stored jobs all managers read.

A manager of an earlier release that takes a cell over does not know jobs in a later
format, and lets workers forget the ends of their tasks, so that these would run again.
So a later format is used only while every connected manager is known to read it.
"""

from __future__ import annotations

from typing import Any

import anyio

from chivetray.clocks import boot_time_s
from chivetray.jobs.job import SPLIT_FORMAT_VERSION
from chivetray.peers.mesh import Mesh, Peer

FORMAT_CALL = "job formats"

# Time for the answers of peers; earlier releases do not answer.
ANSWER_TIMEOUT_S = 0.3

# Time for which a peer that has not answered is not asked again.
ASK_AGAIN_AFTER_S = 5.0

# Time after the start within which managers have discovered each other.
DISCOVERY_S = 5.0


class PeerFormats:
    """Asks peers for the latest format of stored jobs that they read."""

    def __init__(self, mesh: Mesh):
        self._mesh = mesh
        self._started_at_s = boot_time_s()
        self._formats: dict[tuple[str, str], int] = {}
        self._asked_at_s: dict[tuple[str, str], float] = {}
        mesh.handlers[FORMAT_CALL] = self._tell_format

    async def read_split_progress(self) -> bool:
        """Return whether all connected managers read jobs whose progress is split."""
        now_s = boot_time_s()
        if now_s - self._started_at_s < DISCOVERY_S:
            return False
        peers = {(p.name, p.incarnation): p for p in self._mesh.peers.values()}
        self._formats = {key: v for key, v in self._formats.items() if key in peers}
        self._asked_at_s = {k: s for k, s in self._asked_at_s.items() if k in peers}
        unknown = peers.keys() - self._formats.keys()
        if any(
            now_s - self._asked_at_s.get(key, 0.0) < ASK_AGAIN_AFTER_S
            for key in unknown
        ):
            return False
        async with anyio.create_task_group() as task_group:
            for key in unknown:
                self._asked_at_s[key] = now_s
                task_group.start_soon(self._ask, key, peers[key])
        return all(self._formats.get(key, 0) >= SPLIT_FORMAT_VERSION for key in peers)

    async def _ask(self, key: tuple[str, str], peer: Peer) -> None:
        answer = await self._mesh.call(peer.name, FORMAT_CALL, None, ANSWER_TIMEOUT_S)
        if isinstance(answer, int):
            self._formats[key] = answer

    async def _tell_format(self, _peer: str, _argument: Any) -> Any:
        return SPLIT_FORMAT_VERSION
