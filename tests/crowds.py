"""Crowds of clients that do not behave, bounded in connections, bytes and time."""

from __future__ import annotations

import itertools
import os
import random
import select
import socket
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

MB = 1_000_000
KB = 1024

CROWD_S = 8.0
SAMPLE_INTERVAL_S = 0.05
POLL_S = 0.02

# Largest piece that is sent at once, and the clients' receive buffer: answers that are
# not read soon fill it.
PIECE_BYTES = 65536
RECEIVE_BUFFER_BYTES = 4096

# A crowd ends once the process uses this many times its bound.
STOP_FACTOR = 2

LOCK_ADDRESS = ("127.59.255.254", 18099)

# State of a listening socket in /proc/net/tcp, whose receive queue counts connections.
LISTENS = "0A"


@dataclass(frozen=True)
class Clients:
    """Clients that do the same.

    :ivar port: port that they connect to
    :ivar first: returns what a client sends once, by its number
    :ivar repeated: what it sends again and again after that
    :ivar number: clients at once
    :ivar connection_bytes: most bytes that are sent over one connection
    :ivar half_closes: whether clients close their side once they have sent all bytes
    :ivar connections: most connections of all clients together; a client opens
        another one when its last one has ended
    """

    port: int
    first: Callable[[int], bytes] = lambda number: b""
    repeated: bytes = b""
    number: int = 24
    connection_bytes: int = 16 * MB
    half_closes: bool = False
    connections: int = 0

    def piece(self, number: int, offset: int, size: int) -> bytes:
        """Return a part of what a client sends; nothing at the end."""
        size = min(size, self.connection_bytes - offset)
        first = self.first(number)
        if offset < len(first):
            return first[offset : offset + size]
        if not self.repeated:
            return b""
        start = (offset - len(first)) % len(self.repeated)
        repeats = (start + size) // len(self.repeated) + 1
        return (self.repeated * repeats)[start : start + size]


class Usage:
    """Peak use of memory and descriptors by a process.

    Bytes that lie received and unread in the sockets of its address count as memory:
    those in the receive queues of ``/proc/net/tcp``, also of connections that wait to
    be accepted.

    :ivar memory_bytes: peak of the peak resident size plus the unread bytes
    :ivar resident_bytes: peak resident size alone
    :ivar unread_bytes: peak of the unread bytes alone
    :ivar descriptors: peak of the open descriptors
    """

    def __init__(self, pid: int, address: str):
        self.memory_bytes = 0
        self.resident_bytes = 0
        self.unread_bytes = 0
        self.descriptors = 0
        self._process = Path(f"/proc/{pid}")
        packed = socket.inet_aton(address)[::-1]
        self._address = packed.hex().upper() + ":"

    def sample(self) -> None:
        """Read the use of this moment; an ended process uses nothing."""
        with suppress(OSError, StopIteration):
            status = (self._process / "status").read_text().splitlines()
            peak = next(line for line in status if line.startswith("VmHWM:"))
            unread_bytes = self._read_unread_bytes()
            self.resident_bytes = int(peak.split()[1]) * KB
            memory_bytes = self.resident_bytes + unread_bytes
            self.memory_bytes = max(self.memory_bytes, memory_bytes)
            self.unread_bytes = max(self.unread_bytes, unread_bytes)
            count = len(os.listdir(self._process / "fd"))
            self.descriptors = max(self.descriptors, count)

    def __str__(self) -> str:
        resident_mb, unread_mb = self.resident_bytes // MB, self.unread_bytes // MB
        return (
            f"{self.memory_bytes // MB} MB of memory (resident {resident_mb}, "
            f"unread {unread_mb}), {self.descriptors} descriptors"
        )

    def _read_unread_bytes(self) -> int:
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues = line.split()[:5]
            if local.startswith(self._address) and state != LISTENS:
                total += int(queues.partition(":")[2], 16)
        return total


class _Client:
    """One client and its open connection."""

    def __init__(self, plan: Clients, number: int):
        self.plan = plan
        self.number = number
        self.offset = 0
        self.socket = socket.socket()

    def connect(self, address: str) -> None:
        self.offset = 0
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.socket.connect_ex((address, self.plan.port))

    def send(self, size: int) -> bool:
        """Send a piece and return whether more is to be sent.

        :raises OSError: when the connection has ended
        """
        piece = self.plan.piece(self.number, self.offset, size)
        if piece:
            with suppress(BlockingIOError):
                self.offset += self.socket.send(piece)
            return True
        if self.plan.half_closes:
            self.socket.shutdown(socket.SHUT_WR)
        return False


class Crowd:
    """Clients at one address, which play until a limit is reached.

    :param bound_bytes: memory bound of the process; the crowd ends at a multiple of it
    :ivar opened: connections that were opened
    :ivar ended: connections that the process ended
    :ivar sent_bytes: bytes that the process or its sockets took
    """

    def __init__(
        self,
        plans: list[Clients],
        address: str,
        usage: Usage,
        bound_bytes: int,
        seed: int = 1,
    ):
        self.opened = 0
        self.ended = 0
        self.sent_bytes = 0
        self._plans = plans
        self._address = address
        self._usage = usage
        self._stop_bytes = STOP_FACTOR * bound_bytes
        self._random = random.Random(seed)
        self._poll = select.epoll()
        self._clients: dict[int, _Client] = {}
        self._connections_left = {id(plan): plan.connections for plan in plans}

    def play(self, duration_s: float = CROWD_S) -> None:
        """Open all connections and send until a limit is reached."""
        for plan in self._plans:
            for number in range(plan.number):
                self._open(_Client(plan, number))
        deadline_s = time.monotonic() + duration_s
        sample_at_s = 0.0
        while self._clients and time.monotonic() < deadline_s:
            if time.monotonic() >= sample_at_s:
                sample_at_s = time.monotonic() + SAMPLE_INTERVAL_S
                self._usage.sample()
                if self._usage.memory_bytes > self._stop_bytes:
                    return
            for descriptor, events in self._poll.poll(POLL_S):
                self._serve(self._clients[descriptor], events)
        self._usage.sample()

    def __str__(self) -> str:
        return (
            f"{self.opened} connections opened, {self.ended} ended by the process, "
            f"{self.sent_bytes / MB:.1f} MB sent"
        )

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.socket.close()
        self._clients.clear()
        self._poll.close()

    def _open(self, client: _Client) -> None:
        client.connect(self._address)
        self.opened += 1
        self._clients[client.socket.fileno()] = client
        self._poll.register(client.socket, select.EPOLLOUT | select.EPOLLRDHUP)

    def _serve(self, client: _Client, events: int) -> None:
        try:
            if events & (select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
                self.ended += 1
                self._end(client)
                return
            before = client.offset
            more = client.send(self._random.randint(1, PIECE_BYTES))
            self.sent_bytes += client.offset - before
        except OSError:
            self.ended += 1
            self._end(client)
            return
        if more:
            return
        if self._connections_left[id(client.plan)]:
            self._end(client)
        else:
            self._poll.modify(client.socket, select.EPOLLRDHUP)

    def _end(self, client: _Client) -> None:
        """Close a connection, and open the client's next one if it may."""
        del self._clients[client.socket.fileno()]
        client.socket.close()
        if self._connections_left[id(client.plan)]:
            self._connections_left[id(client.plan)] -= 1
            self._open(client)


class Trial:
    """A process whose limits are lowered, and crowds against it.

    :param check_answers: checks that the process answers ordinary requests
    """

    def __init__(
        self,
        process: subprocess.Popen[bytes],
        address: str,
        memory_mb: int,
        max_descriptors: int,
        check_answers: Callable[[], None],
    ):
        self.check_answers = check_answers
        self._process = process
        self._address = address
        self._memory_bytes = memory_mb * MB
        self._max_descriptors = max_descriptors
        self._usage = Usage(process.pid, address)
        self._crowds: list[Crowd] = []

    def play(self, *plans: Clients) -> None:
        """Let clients play, and leave their connections open."""
        crowd = Crowd(list(plans), self._address, self._usage, self._memory_bytes)
        self._crowds.append(crowd)
        crowd.play()
        print(f"{self._usage}; {crowd}")

    def check(self) -> None:
        """Check that the process is within its limits, and answers afterwards."""
        self.close()
        assert self._process.poll() is None, "the process has ended"
        self._check_usage()
        self.check_answers()
        self._usage.sample()
        self._check_usage()

    def close(self) -> None:
        """Close the connections of all crowds."""
        for crowd in self._crowds:
            crowd.close()
        self._crowds.clear()

    def _check_usage(self) -> None:
        assert self._usage.memory_bytes < self._memory_bytes, str(self._usage)
        assert self._usage.descriptors < self._max_descriptors, str(self._usage)


@contextmanager
def one_crowd_at_a_time() -> Iterator[None]:
    """Wait until no other test on the machine plays a crowd."""
    lock = socket.socket()
    for attempt in itertools.count():
        try:
            lock.bind(LOCK_ADDRESS)
            break
        except OSError:
            assert attempt < 6000, "another crowd has not ended"
            time.sleep(0.1)
    yield
    lock.close()


# What clients send


def requests_without_headers(count: int = 4096) -> bytes:
    """Return the shortest requests that a parser takes."""
    return b"GET / HTTP/1.1\r\n\r\n" * count


def requests(path: str, host: str = "a", count: int = 512) -> bytes:
    """Return requests with the usual headers."""
    head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: */*\r\n\r\n"
    return head.encode() * count


def requests_with_bodies(path: str, host: str, body_bytes: int) -> bytes:
    """Return one request with a body that is no job."""
    head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {body_bytes}\r\n"
    return head.encode() + b"\r\n" + b"x" * body_bytes


def chunked_head(path: str = "/", host: str = "a") -> bytes:
    """Return the head of a request whose body comes in chunks."""
    lines = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nTransfer-Encoding: chunked\r\n"
    return lines.encode() + b"\r\n"


def trailers() -> bytes:
    """Return trailers, which follow the last chunk of a body."""
    return b"".join(b"x-%d: %s\r\n" % (n, b"y" * 40) for n in range(1024))


def chunk_extensions() -> bytes:
    """Return extensions of the size of a chunk."""
    return b";name=value" * 1024
