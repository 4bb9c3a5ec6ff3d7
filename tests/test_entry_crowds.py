"""Entries under crowds of clients that do not behave."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

import crowds
import httpcore
import pytest
import trustme
from crowds import MB, Clients, Trial
from helpers import PEERS_PORT, Fleet, FleetPlan, send, wait_until

from chivetray.generated.messages import Hello
from chivetray.peers.codec import encode_message

pytestmark = pytest.mark.crowd

ENTRY = "zone-1-e1"
MEMORY_MB = 160
DESCRIPTORS = 400

HTTP_PORTS = {"callers": 8080, "operators": 8081}
READY_PATH = "/readyz"
SERVICE_PATH = "/work"

# Largest body of a request where the settings set no other.
BODY_BYTES = 1048576

each_http_port = pytest.mark.parametrize("listener", HTTP_PORTS)


@pytest.fixture(autouse=True)
def alone() -> Iterator[None]:
    with crowds.one_crowd_at_a_time():
        yield


@pytest.fixture
def fleet(tmp_path) -> Iterator[Fleet]:
    fleet = Fleet(FleetPlan(endpoints_per_zone=1), tmp_path)
    yield fleet
    fleet.close()


@pytest.fixture
def start_trial(fleet) -> Iterator[Callable[..., Trial]]:
    """Return a function that starts an entry with its limits lowered."""
    trials: list[Trial] = []

    def start(max_descriptors: int = DESCRIPTORS) -> Trial:
        limits = {"memory_mb": MEMORY_MB, "max_descriptors": max_descriptors}
        fleet.plan.settings["entry"] = limits
        fleet.start()
        trial = Trial(
            fleet.processes[ENTRY],
            fleet.address(ENTRY),
            MEMORY_MB,
            max_descriptors,
            lambda: _check_answers(fleet),
        )
        trials.append(trial)
        return trial

    yield start
    for trial in trials:
        trial.close()


@pytest.fixture
def trial(start_trial) -> Trial:
    return start_trial()


def _check_answers(fleet: Fleet) -> None:
    """Check that each listener answers an ordinary request."""

    def status(path: str) -> int:
        return send(fleet.operators_url(ENTRY, path)).status

    wait_until(lambda: send(fleet.url(ENTRY, SERVICE_PATH)).status == 200, "an answer")
    wait_until(lambda: status(READY_PATH) in (200, 503), "the readiness")
    wait_until(lambda: status("/metrics") == 200, "the metrics")


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
        first = crowds.chunked_head(SERVICE_PATH) + b"1\r\nx\r\n0\r\n"
        plan = Clients(HTTP_PORTS[listener], lambda _: first, crowds.trailers())
        trial.play(plan)
        trial.check()


class TestChunkExtensions:
    """Guards against extensions of chunks that are gathered without a limit."""

    @each_http_port
    def test_extensions_without_end_are_bounded(self, trial, listener) -> None:
        first = crowds.chunked_head(SERVICE_PATH) + b"1"
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
        requests = crowds.requests(READY_PATH)
        trial.play(Clients(HTTP_PORTS[listener], repeated=requests))
        trial.check()

    def test_requests_with_bodies_are_bounded(self, trial) -> None:
        request = crowds.requests_with_bodies(SERVICE_PATH, "a", 20 * crowds.KB)
        trial.play(Clients(HTTP_PORTS["callers"], repeated=request))
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

    @pytest.mark.parametrize("listener", [*HTTP_PORTS, "peers"])
    def test_idle_connections_stay_within_the_descriptors(
        self, start_trial, listener
    ) -> None:
        trial = start_trial(max_descriptors=1000)
        port = {**HTTP_PORTS, "peers": PEERS_PORT}[listener]
        trial.play(Clients(port, number=3000))
        trial.check()

    def test_requests_are_answered_beside_idle_connections(self, start_trial) -> None:
        trial = start_trial(max_descriptors=1000)
        trial.play(Clients(HTTP_PORTS["callers"], number=3000))
        trial.check_answers()

    def test_bodies_that_stop_are_bounded_together(self, start_trial) -> None:
        trial = start_trial(max_descriptors=1200)
        head = f"POST {SERVICE_PATH} HTTP/1.1\r\nHost: a\r\n"
        head += f"Content-Length: {BODY_BYTES}\r\n\r\n"
        plan = Clients(
            HTTP_PORTS["callers"],
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
    """Return the first message of an entry that nobody knows, of another zone."""
    return encode_message(Hello(f"x{number}", "zone-x", f"{number:032x}", 0))


# The start of a message with a value that is almost as large as a message may be, or
# that is an array of as many arrays; and what follows.
LARGE_MESSAGES = {
    "content": (b"\x92\x05\xc6\x00\xff\x00\x00", b"x"),
    "items": (b"\x92\x05\xdd\x00\xff\x00\x00", b"\x90"),
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
    """Guards against requests that run twice beside a crowd."""

    def test_requests_beside_a_crowd_run_once(self, trial, fleet) -> None:
        trailers = crowds.chunked_head(SERVICE_PATH) + b"1\r\nx\r\n0\r\n"
        ahead = crowds.requests_without_headers()
        start, item = LARGE_MESSAGES["content"]
        callers, operators = HTTP_PORTS["callers"], HTTP_PORTS["operators"]
        plans = [
            Clients(callers, lambda _: trailers, crowds.trailers(), number=6),
            Clients(callers, repeated=ahead, number=6),
            Clients(operators, repeated=ahead, number=6),
            Clients(PEERS_PORT, lambda _: start, item * 65536, number=6),
        ]
        with ThreadPoolExecutor(1) as executor:
            posted = executor.submit(_post_requests, fleet)
            trial.play(*plans)
            trial.close()
            answered = posted.result()
        trial.check()
        runs = fleet.ledger()
        assert all(runs[request] == 1 for request in answered)
        assert all(count == 1 for count in runs.values()), runs


def _post_requests(fleet: Fleet) -> list[str]:
    """Post requests one after another and return those that were answered."""
    answered = []
    for _ in range(20):
        url = fleet.url(ENTRY, SERVICE_PATH)
        reply = send(url, "POST", body=b"x", timeout_s=5.0)
        if reply.status == 200:
            answered.append(reply.headers["x-request-id"])
    return answered


class TestHandshakes:
    """Guards against TLS handshakes that never end and hold memory or descriptors."""

    @pytest.fixture
    def context(self, fleet, tmp_path) -> ssl.SSLContext:
        """Let the entry serve over TLS, and return what its callers trust."""
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1", "localhost")
        chain, key = tmp_path / "chain.pem", tmp_path / "key.pem"
        chain.write_bytes(b"".join(b.bytes() for b in certificate.cert_chain_pems))
        key.write_bytes(certificate.private_key_pem.bytes())
        files = {"certificate_file": str(chain), "key_file": str(key)}
        fleet.plan.settings["listeners"] = {"callers_tls": files}
        context = ssl.create_default_context()
        authority.configure_trust(context)
        context.check_hostname = False
        return context

    def test_idle_ones_stay_within_the_descriptors(
        self, fleet, start_trial, context
    ) -> None:
        trial = start_trial(max_descriptors=1000)
        trial.check_answers = lambda: _check_answer_over_tls(fleet, context)
        trial.play(Clients(HTTP_PORTS["callers"], number=1500))
        trial.check()

    def test_parts_of_a_hello_are_bounded_together(
        self, fleet, start_trial, context
    ) -> None:
        trial = start_trial(max_descriptors=1000)
        trial.check_answers = lambda: _check_answer_over_tls(fleet, context)
        # A record of 16 KB that would hold all of the client's hello.
        record = b"\x16\x03\x01\x40\x00\x01\x00\x3f\xfc\x03\x03"
        plan = Clients(
            HTTP_PORTS["callers"],
            lambda _: record,
            repeated=b"x" * 1024,
            number=600,
            connection_bytes=16_000,
        )
        trial.play(plan)
        trial.check()


def _check_answer_over_tls(fleet: Fleet, context: ssl.SSLContext) -> None:
    """Check that the callers' listener answers an ordinary request."""
    url = f"https://{fleet.address(ENTRY)}:{HTTP_PORTS['callers']}{SERVICE_PATH}"

    def is_answered() -> bool:
        timeout = {"connect": 5.0, "read": 5.0, "write": 5.0, "pool": 5.0}
        with httpcore.ConnectionPool(ssl_context=context) as pool:
            try:
                answer = pool.request("GET", url, extensions={"timeout": timeout})
            except (httpcore.NetworkError, httpcore.TimeoutException):
                return False
            return answer.status == 200

    wait_until(is_answered, "an answer over TLS")
