"""Refuses jobs that would end too late to be of use, if they are not stored."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import anyio

from chivetray.cells.acceptance import SETTLE_S, JobAcceptor
from chivetray.cells.claims import newest_claims
from chivetray.cells.directory import CellDirectory
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.jobs.model import JobSpec
from chivetray.peers.mesh import Mesh
from chivetray.platform.store import RowId, Store, StoreUnavailableError
from chivetray.scheduling.admission import Verdict, judge_job
from chivetray.scheduling.prediction import Backlog, decode_backlog

# Time in which the store has to tell that a job is not stored. A store that takes
# longer may also carry out an earlier call late, and the job is accepted.
READ_TIMEOUT_S = 0.3


class Refusal(NamedTuple):
    """Refusal of a job that is not stored.

    :ivar retry_after_s: delay after which the caller may retry
    """

    message: str
    retry_after_s: float


class LateJobGate:
    """Decides on each submitted job whether it is refused.

    A caller that got no answer repeats its submission, at any manager, and the first
    one may be stored. So a job is refused only if one read shows that it is not, and if
    no manager is known to have a call open that may still store it.

    :param draw: returns random numbers from 0 to 1, which spread the retries
    """

    def __init__(
        self,
        mesh: Mesh,
        store: Store,
        directory: CellDirectory,
        acceptor: JobAcceptor,
        draw: Callable[[], float] = random.random,
    ):
        self._mesh = mesh
        self._store = store
        self._directory = directory
        self._acceptor = acceptor
        self._draw = draw
        self._started_at_s = boot_time_s()

    def is_unsettled(self) -> bool:
        """Return whether a job may still be stored by a call without an answer."""
        return self._acceptor.is_unsettled(boot_time_s())

    async def check(self, spec: JobSpec, row: RowId) -> Refusal | None:
        """Return the refusal of a job, or ``None`` if it is to be stored.

        :param row: row in which the job would be stored
        """
        backlog, age_s = self._find_backlog(spec.cell)
        verdict = judge_job(spec, backlog, age_s, self._draw())
        if not verdict.refused:
            return None
        doubt = self._find_doubt(boot_time_s())
        is_stored = False
        if not doubt:
            try:
                with anyio.fail_after(READ_TIMEOUT_S):
                    is_stored = await self._store.read_row(row) is not None
            except (StoreUnavailableError, TimeoutError):
                doubt = "the store does not answer in time"
            doubt = doubt or self._find_doubt(boot_time_s())
        if is_stored:
            return None
        if not doubt and self._acceptor.is_storing(row):
            doubt = "it is being stored"
        self._log(spec, verdict, backlog, age_s, doubt)
        if doubt:
            return None
        message = (
            f"the job would end in about {verdict.predicted_s:.1f} s, and is of use "
            f"for {verdict.latest_s:.1f} s; it was not stored"
        )
        return Refusal(message, verdict.retry_after_s)

    def _log(
        self,
        spec: JobSpec,
        verdict: Verdict,
        backlog: Backlog | None,
        age_s: float,
        doubt: str,
    ) -> None:
        event = Event.LATE_JOB_ACCEPTED if doubt else Event.LATE_JOB_REFUSED
        fields = {"verdict": doubt} if doubt else {}
        log_event(
            event,
            job=spec.job_id,
            queue=spec.queue,
            cell=spec.cell,
            predicted_s=round(verdict.predicted_s or 0.0, 3),
            latest_s=round(verdict.latest_s, 3),
            retry_after_s=round(verdict.retry_after_s, 3),
            digest=[] if backlog is None else backlog.encode(int(1000 * age_s)),
            **fields,
        )

    def _find_backlog(self, cell: str) -> tuple[Backlog | None, float]:
        """Return the digest of a cell's newest owner, and the age of the digest."""
        newest = newest_claims(self._directory.claims(), self._mesh.peers.values())
        known = newest.get(cell)
        if known is None or not known.claim.loaded:
            return None, 0.0
        decoded = decode_backlog(known.claim.backlog)
        if decoded is None:
            return None, 0.0
        backlog, age_s = decoded
        if known.peer is not None:
            age_s += boot_time_s() - known.peer.heartbeat_at_s + known.peer.interval_s
        return backlog, age_s

    def _find_doubt(self, now_s: float) -> str:
        """Return why a job that is not found may still be stored by an earlier call."""
        if now_s - self._started_at_s < SETTLE_S:
            return "this manager has just started"
        if self._acceptor.is_unsettled(now_s):
            return "the store left a call without an answer"
        if now_s - self._mesh.last_loss_at_s < SETTLE_S:
            return "a manager was lost"
        for peer in self._mesh.peers.values():
            if peer.heartbeat is None or peer.heartbeat.unsettled:
                return "the store left a call of another manager without an answer"
            if now_s - peer.heartbeat_at_s > 2 * peer.interval_s:
                return "another manager is silent"
        return ""
