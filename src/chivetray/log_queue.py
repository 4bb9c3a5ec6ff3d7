"""Log lines that never hold the process up.

Lines go into a bounded queue, which a thread writes out. When the reader of the
output is too slow, lines are dropped and counted, and the count is written later.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import orjson

# Lines that wait; at about 400 bytes each they stay below 2 MB.
LINES_LIMIT = 4000


class LogQueue:
    """Writes messages to a stream from a thread.

    :param dropped_message: returns the message that tells how many were dropped
    :ivar dropped: lines dropped so far
    """

    def __init__(
        self,
        stream: TextIO,
        dropped_message: Callable[[int], dict[str, Any]],
        limit: int = LINES_LIMIT,
    ):
        self._dropped_message = dropped_message
        self.dropped = 0
        self._stream = stream
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._ready = threading.Event()
        self._reported = 0
        thread = threading.Thread(target=self._write, name="log", daemon=True)
        thread.start()

    def put(self, message: dict[str, Any]) -> None:
        """Take one message; never waits."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
            return
        self._lines.append(orjson.dumps(message, default=str))
        self._ready.set()

    def _write(self) -> None:
        while True:
            self._ready.wait()
            self._ready.clear()
            self._write_waiting()

    def _write_waiting(self) -> None:
        while self._lines:
            chunk = [self._lines.popleft() for _ in range(min(50, len(self._lines)))]
            if self.dropped > self._reported:
                count, self._reported = self.dropped - self._reported, self.dropped
                chunk.append(orjson.dumps(self._dropped_message(count)))
            try:
                self._stream.write(b"\n".join(chunk).decode() + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # The reader is gone; there is nobody left to tell.
                return
