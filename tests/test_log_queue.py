"""Logging with a reader that has stopped reading."""

from __future__ import annotations

import io
import json
import os
import threading
import time

from chivetray.events import Event
from chivetray.log_queue import LogQueue
from chivetray.log_repeats import RepeatFilter


def _dropped(count: int) -> dict[str, object]:
    return {"message_type": Event.LINES_DROPPED.name, "lines": count}


class TestReaderThatHasStopped:
    def test_no_message_waits_and_what_is_lost_is_counted(self) -> None:
        reader, writer = os.pipe()
        queue = LogQueue(os.fdopen(writer, "w"), _dropped, limit=100)
        began_s = time.monotonic()
        for number in range(20_000):
            queue.put({"number": number, "text": "x" * 200})
        assert time.monotonic() - began_s < 2.0
        assert queue.dropped > 10_000
        lost: list[int] = []

        def read() -> None:
            with os.fdopen(reader) as stream:
                for line in stream:
                    message = json.loads(line)
                    if message.get("message_type") == Event.LINES_DROPPED.name:
                        lost.append(message["lines"])
                        return

        thread = threading.Thread(target=read, daemon=True)
        thread.start()
        thread.join(5)
        assert lost and lost[0] > 0


class TestOutputThatIsClosed:
    def test_the_lines_that_could_not_be_written_are_counted(self) -> None:
        stream = io.StringIO()
        stream.close()
        queue = LogQueue(stream, _dropped)
        for number in range(3):
            queue.put({"number": number})
        deadline_s = time.monotonic() + 5
        while queue.dropped < 3 and time.monotonic() < deadline_s:
            queue._has_lines.set()
            time.sleep(0.01)
        assert queue.dropped == 3


class TestReaderThatReads:
    def test_every_message_is_written_in_order(self) -> None:
        stream = io.StringIO()
        queue = LogQueue(stream, _dropped)
        for number in range(200):
            queue.put({"number": number})
        deadline_s = time.monotonic() + 5
        while stream.getvalue().count("\n") < 200 and time.monotonic() < deadline_s:
            time.sleep(0.01)
        numbers = [json.loads(line)["number"] for line in stream.getvalue().split()]
        assert numbers == list(range(200))
        assert queue.dropped == 0


class SlowOutput(io.RawIOBase):
    """An output that takes at most 300 bytes in one call, and often nothing.

    :ivar taken: what it has taken
    """

    def __init__(self) -> None:
        self.taken = b""
        self.calls = 0

    def writable(self) -> bool:
        return True

    def write(self, data) -> int | None:
        self.calls += 1
        if self.calls % 3 == 0:
            return None
        part = bytes(data[:300])
        self.taken += part
        return len(part)


class TestOutputThatTakesLess:
    def test_no_part_of_a_line_is_lost(self) -> None:
        """Lines were cut, and others lost without being counted, behind 8,192 bytes."""
        output = SlowOutput()
        stream = io.TextIOWrapper(output, write_through=True)
        queue = LogQueue(stream, _dropped)
        for number in range(50):
            queue.put({"number": number, "text": "é" * 200})
        deadline_s = time.monotonic() + 10
        while output.taken.count(b"\n") < 50 and time.monotonic() < deadline_s:
            time.sleep(0.01)
        lines = output.taken.decode().splitlines()
        assert [json.loads(line)["number"] for line in lines] == list(range(50))
        assert queue.dropped == 0


class TestRepeats:
    def test_a_subject_is_written_once_a_second_with_the_suppressed_count(self) -> None:
        repeats = RepeatFilter()
        answers = [
            repeats.admit("STORE_LOST", {"during": "scan", "reason": str(n)}, n / 10)
            for n in range(11)
        ]
        assert answers == [0, *[None] * 9, 9]

    def test_other_subjects_are_not_suppressed(self) -> None:
        repeats = RepeatFilter()
        assert repeats.admit("CELL_TAKE_FAILED", {"cell": "a"}, 0.0) == 0
        assert repeats.admit("CELL_TAKE_FAILED", {"cell": "b"}, 0.1) == 0
        assert repeats.admit("COMMIT_FAILED", {"cell": "a"}, 0.2) == 0
