"""An event loop in virtual time, on which several processes run that can freeze."""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from contextvars import ContextVar, copy_context
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from chivetray import clocks, events

# Virtual time of the start; above 0, since 0 stands for "never" in some fields.
START_S = 1000.0

# Callbacks at one moment of virtual time above which a busy loop is assumed.
CALLBACKS_LIMIT = 200_000

PROCESS: ContextVar[SimulatedProcess | None] = ContextVar("PROCESS", default=None)


class SimulatedProcess:
    """A process that shares the event loop with others.

    Whatever its tasks start belongs to it. While it is frozen, none of its callbacks
    runs, and its timers are late.
    """

    def __init__(self, name: str, loop: VirtualLoop):
        self.name = name
        self.loop = loop
        self.frozen = False
        self.dead = False
        self.context = copy_context()
        self.context.run(PROCESS.set, self)
        self._root: asyncio.Task[None] | None = None

    def start(self, main: Coroutine[Any, Any, None]) -> None:
        self._root = self.loop.create_task(main, context=self.context)
        self._root.add_done_callback(self._note_end)

    def _note_end(self, root: asyncio.Task[None]) -> None:
        if not self.dead:
            self.loop.failures.append({"process": self.name, "task": repr(root)})

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        self.loop.release_held()

    def kill(self) -> None:
        """End the process; it gets no time for a last message."""
        self.dead = True
        self.thaw()
        if self._root is not None:
            self._root.cancel()


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop whose clock jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = START_S
        self._held: deque[asyncio.Handle] = deque()
        self._callbacks = 0
        self.failures: list[dict[str, Any]] = []
        self.set_exception_handler(lambda _, context: self.failures.append(context))

    def time(self) -> float:
        return self._now_s

    def release_held(self) -> None:
        """Let the callbacks of processes run that are not frozen any more."""
        self._ready.extend(self._held)
        self._held.clear()

    def _run_once(self) -> None:
        while self._scheduled and self._scheduled[0]._cancelled:
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._ready:
            assert self._scheduled, "nothing is left to wait for"
            due_s = self._scheduled[0].when()
            if due_s > self._now_s:
                self._now_s, self._callbacks = due_s, 0
        while self._scheduled and self._scheduled[0].when() <= self._now_s:
            handle = heapq.heappop(self._scheduled)
            handle._scheduled = False
            self._ready.append(handle)
        for _ in range(len(self._ready)):
            handle = self._ready.popleft()
            if handle._cancelled:
                continue
            process = handle._context.get(PROCESS)
            if process is not None and process.frozen:
                self._held.append(handle)
                continue
            self._callbacks += 1
            assert self._callbacks < CALLBACKS_LIMIT, "a busy loop"
            handle._run()
        handle = None

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass


@contextmanager
def virtual_time() -> Iterator[VirtualLoop]:
    """Run a block with a loop in virtual time, from which all clocks are derived.

    Events are only passed to observers, and those of the block end with it.
    """
    loop = VirtualLoop()
    clock = SimpleNamespace(
        CLOCK_BOOTTIME=0,
        clock_gettime=lambda _: loop.time(),
        time_ns=lambda: int(loop.time() * 1e9),
    )
    silent = SimpleNamespace(log_message=lambda **_: None)
    with (
        patch.object(clocks, "time", clock),
        patch.object(events, "eliot", silent),
        patch.object(events, "_observers", []),
    ):
        try:
            yield loop
        finally:
            _cancel_all(loop)
            loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(gathered)
