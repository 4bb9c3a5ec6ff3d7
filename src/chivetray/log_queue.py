"""A queue of log lines that never blocks the process.

A thread writes the lines of a bounded queue. When the reader of the output is too
slow, lines are dropped and counted, and the count is written later.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import orjson

# Length of the queue; at about 400 bytes a line it stays below 2 MB.
LINES_LIMIT = 4000

# Pause before the next write when the output takes nothing.
FULL_OUTPUT_PAUSE_S = 0.01


class LogQueue:
    """Writes messages to a stream from a thread.

    :param dropped_message: returns the message that reports the number of dropped lines
    :param limit: largest number of queued lines; further ones are dropped
    :ivar dropped: lines dropped so far
    """

    def __init__(
        self,
        stream: TextIO,
        dropped_message: Callable[[int], dict[str, Any]],
        limit: int = LINES_LIMIT,
    ):
        self._build_dropped_message = dropped_message
        self.dropped = 0
        self._stream = stream
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._has_lines = threading.Event()
        self._reported_dropped = 0
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        thread.start()

    def put(self, message: dict[str, Any]) -> None:
        """Enqueue one message, or drop it when the queue is full; never blocks."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
            return
        self._lines.append(orjson.dumps(message, default=str))
        self._has_lines.set()

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        while self._lines:
            chunk = [self._lines.popleft() for _ in range(min(50, len(self._lines)))]
            if self.dropped > self._reported_dropped:
                count, self._reported_dropped = (
                    self.dropped - self._reported_dropped,
                    self.dropped,
                )
                chunk.append(orjson.dumps(self._build_dropped_message(count)))
            try:
                self._write(b"\n".join(chunk) + b"\n")
            except (OSError, ValueError):
                # The output is closed, so the failure cannot be logged either.
                self.dropped += len(chunk)
                return

    def _write(self, data: bytes) -> None:
        """Write all of the data, also to an output that takes less in one call.

        An unbuffered text stream ignores how much its output has taken.
        """
        output = getattr(self._stream, "buffer", None)
        if output is None:
            self._stream.write(data.decode())
            return
        rest = memoryview(data)
        while rest:
            count = output.write(rest)
            if count:
                rest = rest[count:]
            else:
                time.sleep(FULL_OUTPUT_PAUSE_S)
        output.flush()
