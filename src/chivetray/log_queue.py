"""A queue of log lines that never blocks the process.

A thread writes the lines of a bounded queue. When the reader of the output is too
slow, lines are dropped and counted, and the count is written later.
"""

from __future__ import annotations

import select
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import orjson

# Length of the queue; at about 400 bytes a line it stays below 2 MB.
LINES_LIMIT = 4000

# Most bytes of one write. A pipe takes such a write whole or not at all, also when it
# is full, when the process is killed, and when other processes write to it.
WRITE_LIMIT_BYTES = select.PIPE_BUF

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
            if self.dropped > self._reported_dropped:
                count = self.dropped - self._reported_dropped
                self._reported_dropped = self.dropped
                message = self._build_dropped_message(count)
                self._lines.appendleft(orjson.dumps(message))
            chunk = self._take_chunk()
            try:
                self._write(b"\n".join(chunk) + b"\n")
            except (OSError, ValueError):
                # The output is closed, so the failure cannot be logged either.
                self.dropped += len(chunk)
                return

    def _take_chunk(self) -> list[bytes]:
        """Take as many lines from the queue as one write may hold, at least one."""
        chunk = [self._lines.popleft()]
        size = len(chunk[0]) + 1
        while self._lines and size + len(self._lines[0]) < WRITE_LIMIT_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1]) + 1
        return chunk

    def _write(self, data: bytes) -> None:
        """Write all of the data, also to an output that takes less in one call.

        Neither layer above the raw output does that when the output does not block:
        the text stream ignores how much was taken, the buffer raises an error and
        keeps a part.
        """
        buffer = getattr(self._stream, "buffer", None)
        if buffer is None:
            self._stream.write(data.decode())
            return
        output = getattr(buffer, "raw", buffer)
        rest = memoryview(data)
        while rest:
            count = output.write(rest[:WRITE_LIMIT_BYTES])
            if count:
                rest = rest[count:]
            else:
                time.sleep(FULL_OUTPUT_PAUSE_S)
