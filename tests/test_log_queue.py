"""Logging with a reader that has stopped reading."""

from __future__ import annotations

import fcntl
import io
import json
import os
import subprocess
import sys
import termios
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


class ForgetfulOutput(SlowOutput):
    """An output that silently loses what is behind 8,192 bytes of a write."""

    def write(self, data) -> int:
        self.taken += bytes(data[:8192])
        return len(data)


class TestOutputThatLosesTheRest:
    def test_no_line_is_cut_in_a_burst_or_by_its_length(self) -> None:
        """A cut line of a played day ends 8,192 bytes after the start of a write."""
        output = ForgetfulOutput()
        queue = LogQueue(io.TextIOWrapper(output, write_through=True), _dropped)
        for number in range(100):
            queue.put(
                {"number": number, "text": "x" * (20_000 if number == 7 else 400)}
            )
        deadline_s = time.monotonic() + 5
        while output.taken.count(b"\n") < 100 and time.monotonic() < deadline_s:
            time.sleep(0.01)
        lines = output.taken.decode().splitlines()
        assert [json.loads(line)["number"] for line in lines] == list(range(100))


class TestPipes:
    """Lines on played days ended in the middle, with the next one glued to them."""

    @staticmethod
    def read_slowly(reader: int, parts: list[bytes], pause_s: float) -> None:
        while part := os.read(reader, 1000):
            parts.append(part)
            time.sleep(pause_s)

    @staticmethod
    def fill(queue: LogQueue, writer: int, lines: int = 300) -> None:
        for number in range(lines):
            queue.put({"writer": writer, "number": number, "text": "x" * 400})

    def test_no_line_is_cut_that_a_full_pipe_does_not_take(self) -> None:
        """A pipe that another process has set to not block takes a part of a write."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        stream = os.fdopen(writer, "w")
        queue = LogQueue(stream, _dropped)
        self.fill(queue, 0)
        parts: list[bytes] = []
        arguments = (reader, parts, 0.001)
        threading.Thread(target=self.read_slowly, args=arguments, daemon=True).start()
        deadline_s = time.monotonic() + 10
        while b"".join(parts).count(b"\n") < 300 and time.monotonic() < deadline_s:
            time.sleep(0.02)
        lines = b"".join(parts).decode().splitlines()
        assert [json.loads(line)["number"] for line in lines] == list(range(300))
        assert queue.dropped == 0

    def test_lines_of_several_writers_of_one_pipe_are_whole(self) -> None:
        reader, writer = os.pipe()
        streams = [os.fdopen(os.dup(writer), "w") for _ in range(3)]
        for number, stream in enumerate(streams):
            self.fill(LogQueue(stream, _dropped), number)
        parts: list[bytes] = []
        arguments = (reader, parts, 0.0)
        threading.Thread(target=self.read_slowly, args=arguments, daemon=True).start()
        deadline_s = time.monotonic() + 10
        while b"".join(parts).count(b"\n") < 900 and time.monotonic() < deadline_s:
            time.sleep(0.02)
        lines = [json.loads(line) for line in b"".join(parts).decode().splitlines()]
        for number in range(3):
            own = [line["number"] for line in lines if line["writer"] == number]
            assert own == list(range(300))

    def test_the_last_line_of_a_killed_process_is_whole(self) -> None:
        """The next process on the same pipe would go on in the middle of that line."""
        program = (
            "import sys, time; from chivetray.log_queue import LogQueue\n"
            "queue = LogQueue(sys.stdout, lambda count: {})\n"
            "for number in range(1000): queue.put({'text': 'x' * 391})\n"
            "time.sleep(60)"
        )
        reader, writer = os.pipe()
        with subprocess.Popen(
            [sys.executable, "-c", program], stdout=writer
        ) as process:
            os.close(writer)
            # The pipe is full once nothing more arrives there.
            size, before = 0, -1
            while size != before or not size:
                time.sleep(0.5)
                before = size
                answer = fcntl.ioctl(reader, termios.FIONREAD, b"    ")
                size = int.from_bytes(answer, sys.byteorder)
            process.kill()
        with os.fdopen(reader, "rb") as stream:
            written = stream.read()
        assert written.endswith(b"\n")


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
