"""Streams between managers: damaged messages, stalled readers, streams opened twice."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from narrow_links import Link, LinkStream
from virtual_loop import virtual_time

from chivetray.fleet.catalog import Catalog, Change
from chivetray.fleet.revision import RevisionState
from chivetray.generated.messages import (
    CellClaim,
    Hello,
    NodeAnswer,
    NodeCall,
    NodeHeartbeat,
    NodeHello,
    RevisionPush,
)
from chivetray.generated.settings import PeerSettings
from chivetray.peers.codec import (
    MessageDecoder,
    PeerProtocolError,
    decode_content,
    encode_content,
    encode_message,
)
from chivetray.peers.mesh import (
    FREQUENT_PEERS,
    HEARTBEAT_INTERVAL_S,
    PEER_TIMEOUT_S,
    Mesh,
    Peer,
)
from chivetray.peers.node import PeerNode
from chivetray.peers.stream import PeerStream

LIMIT_S = 5.0


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_heartbeat() -> NodeHeartbeat:
    return NodeHeartbeat(1000, 1, False, True, 400, [CellClaim("a", 1, {}, True)])


def make_mesh(name: str) -> Mesh:
    address = free_address()
    return Mesh(name, "z1", f"i-{name}", address, make_heartbeat, lambda: None)


@contextlib.asynccontextmanager
async def running(*meshes: Mesh) -> AsyncIterator[None]:
    """Run meshes that know each other."""
    for mesh in meshes:
        for other in meshes:
            mesh.add_address(other.name, other.address)
    async with anyio.create_task_group() as tasks:
        for mesh in meshes:
            tasks.start_soon(mesh.run)
        await until(lambda: all(len(m.peers) == len(meshes) - 1 for m in meshes))
        yield
        tasks.cancel_scope.cancel()


async def until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(LIMIT_S):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


async def open_stream(mesh: Mesh, name: str) -> PeerStream:
    """Open a stream to a mesh as another manager."""
    host, _, port = mesh.address.rpartition(":")
    while True:
        try:
            stream = await PeerStream.connect(host, int(port))
            break
        except OSError:
            # The mesh does not listen yet.
            await anyio.sleep(0.02)
    await stream.send(NodeHello(name, "z1", f"i-{name}", ""))
    await until(lambda: name in mesh.peers)
    return stream


async def call_until_answered(mesh: Mesh, other: Mesh) -> None:
    """Call one mesh from another; a stream that both opened may be closed meanwhile."""

    async def echo(_peer: str, argument: Any) -> Any:
        return argument

    other.handlers["echo"] = echo
    with anyio.fail_after(LIMIT_S):
        while await mesh.call(other.name, "echo", 7, timeout_s=0.5) != 7:  # noqa: ASYNC110
            await anyio.sleep(0.05)


class TestDamagedMessages:
    """A bad frame costs the connection that it came on, and nothing else."""

    @pytest.mark.parametrize(
        "send",
        [
            lambda stream, _: stream.send(NodeCall(1, "echo", b"\xc1")),
            lambda stream, _: stream._stream.send(b"\xc1\xc1\xc1"),
            lambda stream, number: stream.send(NodeAnswer(number, b"\xc1")),
        ],
        ids=["call", "frame", "answer"],
    )
    def test_the_stream_is_closed_and_the_others_go_on(self, send: Any) -> None:
        async def main() -> None:
            first, second = make_mesh("m1"), make_mesh("m2")
            async with running(first, second), anyio.create_task_group() as tasks:
                stream = await open_stream(first, "m3")
                peer = first.peers["m3"]
                tasks.start_soon(first.call, "m3", "x", None)
                await until(lambda: bool(peer.pending_calls))
                await send(stream, next(iter(peer.pending_calls)))
                await until(lambda: "m3" not in first.peers)
                await call_until_answered(second, first)
                await stream.aclose()

        anyio.run(main)

    def test_a_handler_that_fails_leaves_the_streams_open(self) -> None:
        async def fail(_peer: str, _argument: Any) -> None:
            raise AttributeError("a defect")

        async def main() -> None:
            first, second = make_mesh("m1"), make_mesh("m2")
            first.handlers["fail"] = fail
            async with running(first, second):
                assert await second.call("m1", "fail", None, timeout_s=0.1) is None
                await call_until_answered(second, first)

        anyio.run(main)


class TestStalledReader:
    def test_heartbeats_that_were_cut_short_leave_the_frames_whole(self) -> None:
        """A heartbeat is given up after 50 ms, also while its bytes are written."""

        async def main() -> int:
            mesh = make_mesh("m1")
            big = NodeHeartbeat(
                1000, 1, False, True, 400, [CellClaim("a" * 2**20, 1, {}, True)]
            )
            mesh._make_heartbeat = lambda: big
            seen = 0
            async with running(mesh):
                stream = await open_stream(mesh, "m2")
                for _ in range(5):
                    mesh.request_heartbeat()
                    await anyio.sleep(0.06)
                with anyio.move_on_after(LIMIT_S):
                    async for message in stream.messages():
                        seen += isinstance(message, NodeHeartbeat)
                        mesh.request_heartbeat()
                        await stream.send(make_heartbeat())
                        if seen == 4:
                            break
                await stream.aclose()
            return seen

        assert anyio.run(main) == 4


class TestLargeMessages:
    # Guards against CONFIG: a manager that sent a large content over a narrow link
    # counted as silent meanwhile, and the content began again at the next one.
    def test_their_sender_is_not_lost_while_they_are_under_way(self) -> None:
        async def answer(_peer: str, size_bytes: int) -> bytes:
            return b"x" * size_bytes

        async def main() -> tuple[Any, bool]:
            meshes = [
                Mesh(f"m{n}", "z", f"i{n}", "a:1", make_heartbeat, lambda: None)
                for n in (1, 2)
            ]
            links = [Link(2.0) for _ in meshes]
            near, far = LinkStream(links[0]), LinkStream(links[1])
            near.reach(far, links[1])
            far.reach(near, links[0])
            meshes[1].handlers["content"] = answer
            async with anyio.create_task_group() as tasks:
                for mesh, end in zip(meshes, (near, far), strict=True):
                    mesh._tasks = tasks
                    tasks.start_soon(mesh._send_heartbeats)
                    tasks.start_soon(mesh._remove_unresponsive)
                    tasks.start_soon(mesh._serve_stream, PeerStream(end), end is near)
                await anyio.sleep(1.0)
                peer = meshes[0].peers["m2"]
                content = await meshes[0].call("m2", "content", 750_000, timeout_s=5.0)
                is_same = meshes[0].peers.get("m2") is peer
                tasks.cancel_scope.cancel()
            return content, is_same

        with virtual_time() as loop:
            content, is_same = loop.run_until_complete(main())
        assert is_same
        assert content is not None and len(content) == 750_000

    def test_a_peer_that_sends_nothing_is_lost(self) -> None:
        async def main() -> bool:
            mesh = Mesh("m1", "z", "i1", "a:1", make_heartbeat, lambda: None)
            link = Link(2.0)
            near, far = LinkStream(link), LinkStream(link)
            near.reach(far, link)
            far.reach(near, link)
            async with anyio.create_task_group() as tasks:
                mesh._tasks = tasks
                tasks.start_soon(mesh._remove_unresponsive)
                tasks.start_soon(mesh._serve_stream, PeerStream(near), True)
                await PeerStream(far).send(NodeHello("m2", "z", "i2", "a:1"))
                await anyio.sleep(PEER_TIMEOUT_S / 2)
                assert "m2" in mesh.peers
                await anyio.sleep(PEER_TIMEOUT_S)
                is_lost = "m2" not in mesh.peers
                tasks.cancel_scope.cancel()
            return is_lost

        with virtual_time() as loop:
            assert loop.run_until_complete(main())


class TestLargeRevisions:
    # Guards against late revisions: an entry that sent a large one over a narrow link
    # counted as silent meanwhile.
    def test_their_sender_is_not_lost_while_they_are_under_way(self) -> None:
        async def main() -> tuple[set[str], int]:
            peers = PeerSettings(heartbeat_interval_s=0.2, heartbeat_timeout_s=1.0)
            entry = SimpleNamespace(name="e1", zone="z1", address="127.0.0.1")
            config = SimpleNamespace(entry=entry, peers=peers)
            revisions = RevisionState()
            node = PeerNode(config, revisions, "i1", lambda: None, dict, print)  # type: ignore[arg-type]
            link = Link(2.0)
            near, far = LinkStream(Link(2.0)), LinkStream(link)
            near.reach(far, Link(2.0))
            far.reach(near, link)
            sender = PeerStream(far)
            content = Change(put=Catalog().to_object_set()).to_json() + " " * 750_000
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node._serve_stream, PeerStream(near))
                tasks.start_soon(node._send_heartbeats)
                await sender.send(Hello("e2", "z1", "i2", 1))
                await sender.send(RevisionPush(1, "p", True, content))
                live = {peer.name for peer in node.membership.live()}
                await anyio.sleep(0.9)
                tasks.cancel_scope.cancel()
            return live, revisions.number

        with virtual_time() as loop:
            assert loop.run_until_complete(main()) == ({"e2"}, 1)


class TestOpening:
    def test_one_slow_peer_is_dialed_once_at_a_time(self) -> None:
        """Each check for missing peers once opened one more stream."""

        async def main() -> int:
            mesh = make_mesh("m1")
            accepted = []
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)

            async def accept(stream: Any) -> None:
                accepted.append(stream)
                await anyio.sleep(LIMIT_S)

            mesh.add_address("m2", f"127.0.0.1:{port}")
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, accept)
                tasks.start_soon(mesh.run)
                await anyio.sleep(0.7)
                tasks.cancel_scope.cancel()
            return len(accepted)

        assert anyio.run(main) == 1


class TestFuzzedStream:
    MESSAGES = (
        NodeHello("m1", "z1", "i", "127.0.0.1:1"),
        NodeHeartbeat(1000, 3, False, True, 400, [CellClaim("a", 2, {"q": 1}, True)]),
        NodeCall(1, "submitted", encode_content(["x", 1])),
        NodeAnswer(1, encode_content(None)),
    )

    @given(st.binary(max_size=400))
    @settings(max_examples=300, deadline=None)
    def test_any_bytes_are_decoded_or_refused(self, content: bytes) -> None:
        with contextlib.suppress(PeerProtocolError):
            list(MessageDecoder().feed(content))
        with contextlib.suppress(PeerProtocolError):
            decode_content(content)

    @given(st.data())
    @settings(max_examples=300, deadline=None)
    def test_a_changed_message_is_decoded_or_refused(self, data: st.DataObject) -> None:
        content = bytearray(encode_message(data.draw(st.sampled_from(self.MESSAGES))))
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] = data.draw(st.integers(0, 255))
        with contextlib.suppress(PeerProtocolError):
            list(MessageDecoder().feed(bytes(content)))

    @given(
        st.recursive(
            st.none() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            max_leaves=20,
        )
    )
    @settings(max_examples=300, deadline=None)
    def test_any_value_is_decoded_or_refused(self, value: Any) -> None:
        with contextlib.suppress(PeerProtocolError):
            list(MessageDecoder().feed(bytes(msgpack.packb(value))))


class CountingStream:
    """A stream that counts the messages of a given number of bytes."""

    def __init__(self) -> None:
        self.sent = 0

    async def send_encoded(self, _content: bytes) -> None:
        self.sent += 1


def send_for(seconds: float, peers: int, owned: int) -> tuple[int, Mesh]:
    """Return the messages that a manager sends to its peers in some seconds."""
    claims = [CellClaim(f"c{number}", 1, {}, True) for number in range(owned)]

    async def main() -> tuple[int, Mesh]:
        mesh = make_mesh("m1")
        mesh._make_heartbeat = lambda: NodeHeartbeat(1000, 1, False, True, 0, claims)
        streams = [CountingStream() for _ in range(peers)]
        for number, stream in enumerate(streams):
            name = f"p{number}"
            mesh.peers[name] = Peer(name, "z", "i", "a:1", stream, True, 0.0)  # type: ignore[arg-type]
        sending = asyncio.ensure_future(mesh._send_heartbeats())
        await asyncio.sleep(seconds)
        sending.cancel()
        return sum(stream.sent for stream in streams), mesh

    with virtual_time() as loop:
        return loop.run_until_complete(main())


class TestHeartbeatsOfLargeFleets:
    """Guards against messages that grow with the square of the fleet.

    At 97 managers more than half of their processor time went into heartbeats.
    """

    @pytest.mark.parametrize("peers", [17, 96, 447, 999])
    def test_a_manager_without_cells_sends_no_more_in_a_larger_fleet(
        self, peers: int
    ) -> None:
        sent, _ = send_for(200.0, peers, owned=0)
        assert sent / 200.0 <= 1.1 * FREQUENT_PEERS / HEARTBEAT_INTERVAL_S + peers / 200

    def test_an_owner_shows_each_peer_soon_that_it_is_alive(self) -> None:
        sent, _ = send_for(20.0, 96, owned=1)
        assert sent >= 96 * 20 * 0.95 / HEARTBEAT_INTERVAL_S

    def test_a_small_fleet_notices_every_silence_as_soon_as_before(self) -> None:
        sent, mesh = send_for(20.0, 5, owned=0)
        assert sent >= 5 * 20 * 0.95 / HEARTBEAT_INTERVAL_S
        assert mesh._build_heartbeat().interval_ms == 1000 * HEARTBEAT_INTERVAL_S

    def test_a_manager_that_sends_seldom_is_not_taken_for_lost(self) -> None:
        _, mesh = send_for(1.0, 96, owned=0)
        peer = mesh.peers["p0"]
        peer.heartbeat = mesh._build_heartbeat()
        assert peer.timeout_s > 2 * peer.heartbeat.interval_ms / 1000
        owner = NodeHeartbeat(1000, 1, False, True, 400, [])
        assert replace(peer, heartbeat=owner).timeout_s == PEER_TIMEOUT_S
