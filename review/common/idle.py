"""The check of LOST: a submission has nothing running though it could run."""

from __future__ import annotations

import asyncio
import time

from deployment import Deployment
from standins import Worker

# For 3 s a submission has nothing running; looked at each tenth of a second.
IDLE_S = 3.0

# The rule counts from this time after the end of the traffic (`finish_s`).
FINISH_S = 14.0


class IdleWatch:
    """Watches submissions that are due, have work left and fit twice over.

    :param workers: workers that may run them
    :param left: number of work units that are not done, by the submission's id
    """

    def __init__(
        self, deployment: Deployment, workers: list[Worker], left: dict[str, int]
    ):
        self._deployment, self._workers, self._total = deployment, workers, left
        self._idle_since_s: dict[str, float] = {}
        self.longest_s: dict[str, float] = dict.fromkeys(left, 0.0)

    def unfinished(self) -> list[str]:
        """Return the submissions with work units that have not ended `done`."""
        done: dict[str, set[str]] = {}
        for _, what, words, _ in self._deployment.events:
            if what == "end" and words[3] == "done":
                done.setdefault(words[1].split(".")[0], set()).add(words[1])
        return [i for i, n in self._total.items() if len(done.get(i, ())) < n]

    async def await_end(self, for_s: float = FINISH_S) -> None:
        """Wait until all is done, for some time at most."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            if not self.unfinished():
                return
            await asyncio.sleep(0.2)

    async def watch(self, for_s: float) -> None:
        """Look for some time, or until all is done."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            unfinished = self.unfinished()
            if not unfinished:
                return
            running = [r for worker in self._workers for r in worker.running.values()]
            used = sum(run.cpu for run in running)
            capacity = sum(worker.cpu for worker in self._workers)
            busy = {run.task.split(".")[0] for run in running}
            now_s = time.monotonic()
            for job in self._total:
                # Under half of the service's capacity may be in use.
                if job in busy or job not in unfinished or used * 2 >= capacity:
                    self._idle_since_s.pop(job, None)
                    continue
                since_s = self._idle_since_s.setdefault(job, now_s)
                self.longest_s[job] = max(self.longest_s[job], now_s - since_s)
            await asyncio.sleep(0.1)

    def verdict(self) -> str:
        """Return how the rule was broken, or an empty text."""
        unfinished = self.unfinished()
        lost = [i for i in unfinished if self.longest_s[i] > IDLE_S]
        for job, idle_s in self.longest_s.items():
            state = "unfinished" if job in unfinished else "done"
            self._deployment.record("submission", job, state, idle_s=round(idle_s, 1))
        if not lost:
            return ""
        longest_s = max(self.longest_s[i] for i in lost)
        return (
            f"LOST: {len(lost)} of {len(self._total)} accepted submissions have "
            f"nothing running for {longest_s:.1f} s in spite of room, and do not end"
        )
