"""Managers under crowds of clients that do not behave."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import crowds
import pytest
from crowds import MB, Clients, Trial
from helpers import send
from job_fleet import (
    CALLERS_PORT,
    METRICS_PORT,
    PEERS_PORT,
    READY_PORT,
    JobFleet,
    job_body,
    wait_for,
)

from chivetray.generated.messages import NodeHello
from chivetray.peers.codec import encode_message
from chivetray.standins.jobs import TRY_HOST, TRY_PREFIX

pytestmark = pytest.mark.crowd

MEMORY_MB = 160
DESCRIPTORS = 400

HTTP_PORTS = {"callers": CALLERS_PORT, "ready": READY_PORT, "metrics": METRICS_PORT}
READY_PATH = "/chivetray/ready"
QUEUE_PATH = f"{TRY_PREFIX}00000000000000aa"

# Largest body of a job where the operator sets no other.
BODY_BYTES = 262144

each_http_port = pytest.mark.parametrize("listener", HTTP_PORTS)


@pytest.fixture(autouse=True)
def alone() -> Iterator[None]:
    with crowds.one_crowd_at_a_time():
        yield


@pytest.fixture
def fleet(tmp_path) -> Iterator[JobFleet]:
    fleet = JobFleet(tmp_path, managers=1, workers=1)
    yield fleet
    fleet.close()


@pytest.fixture
def start_trial(fleet) -> Iterator[Callable[..., Trial]]:
    """Return a function that starts a manager with its limits lowered."""
    trials: list[Trial] = []

    def start(max_descriptors: int = DESCRIPTORS) -> Trial:
        fleet.settings = {"memory_mb": MEMORY_MB, "max_descriptors": max_descriptors}
        fleet.start()
        process, address = fleet.processes["m0"], fleet.manager_address("m0")
        trial = Trial(
            process, address, MEMORY_MB, max_descriptors, lambda: _check_answers(fleet)
        )
        trials.append(trial)
        return trial

    yield start
    for trial in trials:
        trial.close()


@pytest.fixture
def trial(start_trial) -> Trial:
    return start_trial()


def _check_answers(fleet: JobFleet) -> None:
    """Check that each listener answers an ordinary request."""
    address = fleet.manager_address("m0")
    ready, metrics = f"{address}:{READY_PORT}", f"{address}:{METRICS_PORT}"
    wait_for(lambda: _accepts_a_job(fleet))
    wait_for(lambda: send(f"http://{ready}{READY_PATH}").status in (200, 503))
    wait_for(lambda: b"chivetray_" in send(f"http://{metrics}/metrics").body)


def _accepts_a_job(fleet: JobFleet) -> bool:
    body = job_body(count=1, work_s=0.1)
    return fleet.call("m0", "POST", "00000000000000c1", body)[0] == 200


class TestHeads:
    """Guards against heads that are taken apart before their size is looked at."""

    @each_http_port
    def test_headers_without_end_are_bounded(self, trial, listener) -> None:
        first = b"GET / HTTP/1.1\r\n"
        plan = Clients(
            HTTP_PORTS[listener],
            lambda _: first,
            repeated=b"a:\r\n" * 4096,
            number=100,
            connections=400,
        )
        trial.play(plan)
        trial.check()


class TestTrailers:
    """Guards against trailers that are gathered without a limit."""

    @each_http_port
    def test_trailers_without_end_are_bounded(self, trial, listener) -> None:
        first = crowds.chunked_head(QUEUE_PATH, TRY_HOST) + b"1\r\nx\r\n0\r\n"
        plan = Clients(HTTP_PORTS[listener], lambda _: first, crowds.trailers())
        trial.play(plan)
        trial.check()


class TestChunkExtensions:
    """Guards against extensions of chunks that are gathered without a limit."""

    @each_http_port
    def test_extensions_without_end_are_bounded(self, trial, listener) -> None:
        first = crowds.chunked_head(QUEUE_PATH, TRY_HOST) + b"1"
        plan = Clients(HTTP_PORTS[listener], lambda _: first, crowds.chunk_extensions())
        trial.play(plan)
        trial.check()


class TestRequestsSentAhead:
    """Guards against requests that are queued without a limit behind an answer."""

    @each_http_port
    def test_requests_without_headers_are_bounded(self, trial, listener) -> None:
        requests = crowds.requests_without_headers()
        trial.play(Clients(HTTP_PORTS[listener], repeated=requests))
        trial.check()

    @each_http_port
    def test_requests_at_the_ready_path_are_bounded(self, trial, listener) -> None:
        requests = crowds.requests(READY_PATH, TRY_HOST)
        trial.play(Clients(HTTP_PORTS[listener], repeated=requests))
        trial.check()

    def test_requests_with_bodies_are_bounded(self, trial) -> None:
        request = crowds.requests_with_bodies(QUEUE_PATH, TRY_HOST, 20 * crowds.KB)
        trial.play(Clients(CALLERS_PORT, repeated=request))
        trial.check()

    @each_http_port
    def test_requests_of_half_closed_connections_are_bounded(
        self, trial, listener
    ) -> None:
        plan = Clients(
            HTTP_PORTS[listener],
            repeated=crowds.requests_without_headers(),
            connection_bytes=2 * MB,
            half_closes=True,
        )
        trial.play(plan)
        trial.check()


class TestConnections:
    """Guards against connections that use up memory or descriptors together."""

    def test_idle_connections_stay_within_the_descriptors(self, start_trial) -> None:
        trial = start_trial(max_descriptors=1000)
        trial.play(Clients(CALLERS_PORT, number=3000))
        trial.check()

    def test_requests_are_answered_beside_idle_connections(self, start_trial) -> None:
        trial = start_trial(max_descriptors=1000)
        trial.play(Clients(CALLERS_PORT, number=3000))
        trial.check_answers()

    @pytest.mark.parametrize("listener", ["ready", "metrics", "peers"])
    def test_idle_connections_elsewhere_stay_within_the_descriptors(
        self, start_trial, listener
    ) -> None:
        trial = start_trial(max_descriptors=1000)
        port = {**HTTP_PORTS, "peers": PEERS_PORT}[listener]
        trial.play(Clients(port, number=3000))
        trial.check()

    def test_bodies_that_stop_are_bounded_together(self, start_trial) -> None:
        trial = start_trial(max_descriptors=1200)
        head = f"POST {QUEUE_PATH} HTTP/1.1\r\nHost: {TRY_HOST}\r\n"
        head += f"Content-Length: {BODY_BYTES}\r\n\r\n"
        plan = Clients(
            CALLERS_PORT,
            lambda _: head.encode(),
            repeated=b"x" * 1024,
            number=800,
            connection_bytes=250_000,
        )
        trial.play(plan)
        trial.check()

    @each_http_port
    def test_a_crowd_that_reconnects_is_bounded(self, trial, listener) -> None:
        plan = Clients(
            HTTP_PORTS[listener],
            repeated=crowds.requests_without_headers(),
            connection_bytes=100_000,
            connections=5000,
        )
        trial.play(plan)
        trial.check()


def _hello(number: int) -> bytes:
    """Return the first message of a manager that nobody knows."""
    return encode_message(NodeHello(f"x{number}", "z1", f"{number:032x}", ""))


# The start of a call whose content is almost as large as a message may be, or that is
# an array of as many arrays; and what follows.
LARGE_MESSAGES = {
    "content": (b"\x94\x09\x01\xa1x\xc6\x00\xff\x00\x00", b"x"),
    "items": (b"\x94\x09\x01\xa1x\xdd\x00\xff\x00\x00", b"\x90"),
}


class TestPeers:
    """Guards against messages that grow in memory before they are refused."""

    @pytest.mark.parametrize("message", LARGE_MESSAGES)
    def test_a_message_without_end_before_hello_is_bounded(
        self, trial, message
    ) -> None:
        start, item = LARGE_MESSAGES[message]
        plan = Clients(PEERS_PORT, lambda _: start, item * crowds.PIECE_BYTES)
        trial.play(plan)
        trial.check()

    @pytest.mark.parametrize("message", LARGE_MESSAGES)
    def test_a_message_without_end_after_hello_is_bounded(self, trial, message) -> None:
        start, item = LARGE_MESSAGES[message]
        plan = Clients(
            PEERS_PORT,
            lambda number: _hello(number) + start,
            item * crowds.PIECE_BYTES,
        )
        trial.play(plan)
        trial.check()


class TestMixture:
    """Guards against accepted jobs that a crowd loses or doubles."""

    def test_jobs_beside_a_crowd_complete_and_run_once(self, trial, fleet) -> None:
        trailers = crowds.chunked_head(QUEUE_PATH, TRY_HOST) + b"1\r\nx\r\n0\r\n"
        ahead = crowds.requests_without_headers()
        bodies = crowds.requests_with_bodies(QUEUE_PATH, TRY_HOST, 20 * crowds.KB)
        start, item = LARGE_MESSAGES["content"]
        plans = [
            Clients(CALLERS_PORT, lambda _: trailers, crowds.trailers(), number=6),
            Clients(CALLERS_PORT, repeated=ahead, number=6),
            Clients(CALLERS_PORT, repeated=bodies, number=6),
            Clients(READY_PORT, repeated=ahead, number=3),
            Clients(PEERS_PORT, lambda _: start, item * 65536, number=3),
        ]
        with ThreadPoolExecutor(1) as executor:
            posted = executor.submit(_post_jobs, fleet)
            trial.play(*plans)
            trial.close()
            accepted = posted.result()
        trial.check()
        for job_id in accepted:
            wait_for(lambda j=job_id: fleet.state("m0", j) == "completed")
        starts = Counter(fleet.starts())
        assert all(count == 1 for count in starts.values()), starts
        for job_id in accepted:
            tasks = [task for task in starts if task.startswith(job_id)]
            assert len(tasks) == 2


def _post_jobs(fleet: JobFleet) -> list[str]:
    """Post jobs one after another and return those that were accepted."""
    accepted = []
    for number in range(20):
        job_id = f"00000000000001{number:02x}"
        body: Any = job_body(count=2, work_s=0.1)
        if fleet.call("m0", "POST", job_id, body)[0] == 200:
            accepted.append(job_id)
    return accepted
