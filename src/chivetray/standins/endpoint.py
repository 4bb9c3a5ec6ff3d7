"""Stand-in for an endpoint that records the requests it ran and injects faults."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import Any

import anyio

ATTEMPT_HEADER = b"x-attempt-id"
NOT_RUN_HEADER = b"x-not-run"
REQUEST_HEADER = b"x-request-id"
CONTROL_PATH = "/_standin"

# Time for which an unanswered request stays open; longer than any timeout.
STALL_S = 3600.0

Message = dict[str, Any]


@dataclass(slots=True)
class EndpointFaults:
    """Faults to inject; the fields are set by name through the control path.

    :ivar delay_s: run time of a request
    :ivar stalled: run the request and never answer it
    :ivar truncate: send only half of the answer
    :ivar wrong_attempt: answer with the identifier of another attempt
    :ivar error_after_run: run the request and answer with status 500
    :ivar refuse: answer that the request was not run
    :ivar down: close the connection of every request without an answer
    """

    delay_s: float = 0.0
    stalled: bool = False
    truncate: bool = False
    wrong_attempt: bool = False
    error_after_run: bool = False
    refuse: bool = False
    down: bool = False


@dataclass(slots=True)
class EndpointState:
    """Counts of the stand-in; the fields are reported by name on the control path.

    :ivar ledger: number of runs by request identifier
    :ivar ledger_file: file to which every run is appended, or empty for none
    :ivar running: requests that are in progress
    :ivar most_running: most requests that were in progress at once
    :ivar over_admissions: requests that arrived while all slots were in use
    :ivar requests: runs of all requests
    """

    name: str
    slots: int
    ledger_file: str = ""
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    ledger: dict[str, int] = field(default_factory=dict)
    running: int = 0
    most_running: int = 0
    over_admissions: int = 0
    requests: int = 0
    last_request_at_s: float = 0.0

    def record_run(self, request: str) -> None:
        """Record one run of a request."""
        self.requests += 1
        self.last_request_at_s = anyio.current_time()
        self.ledger[request] = self.ledger.get(request, 0) + 1
        if self.ledger_file:
            # Unlike the counts in memory, the file survives a kill of this process.
            with open(self.ledger_file, "a") as file:
                file.write(f"{request}\n")


class EndpointApp:
    """ASGI application that answers with a description of the request."""

    def __init__(self, state: EndpointState):
        self.state = state

    async def __call__(self, scope: Message, receive: Any, send: Any) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        body = await _read_body(receive)
        if scope["path"].startswith(CONTROL_PATH):
            await self._serve_control(scope, body, send)
            return
        state = self.state
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        state.over_admissions += state.running > state.slots
        try:
            await self._handle_request(scope, body, send)
        finally:
            state.running -= 1

    async def _handle_request(self, scope: Message, body: bytes, send: Any) -> None:
        faults = self.state.faults
        if faults.down:
            raise RuntimeError("injected fault: the endpoint is down")
        headers = dict(scope["headers"])
        attempt = headers.get(ATTEMPT_HEADER, b"")
        if faults.refuse:
            await _send_response(
                send,
                503,
                b"refused",
                [(ATTEMPT_HEADER, attempt), (NOT_RUN_HEADER, b"1")],
            )
            return
        request = headers.get(REQUEST_HEADER, attempt).decode("latin-1")
        self.state.record_run(request)
        if faults.stalled:
            await anyio.sleep(STALL_S)
        await anyio.sleep(faults.delay_s)
        if faults.error_after_run:
            await _send_response(
                send, 500, b"failed after running", [(ATTEMPT_HEADER, attempt)]
            )
            return
        if faults.wrong_attempt:
            attempt = b"another-attempt"
        content = self._describe_request(scope, body, request)
        await _send_response(
            send, 200, content, [(ATTEMPT_HEADER, attempt)], faults.truncate
        )

    def _describe_request(self, scope: Message, body: bytes, request: str) -> bytes:
        description = {
            "endpoint": self.state.name,
            "request": request,
            "method": scope["method"],
            "path": scope["raw_path"].decode("latin-1"),
            "query": scope["query_string"].decode("latin-1"),
            "body_bytes": len(body),
        }
        padding_bytes = int(dict(scope["headers"]).get(b"x-answer-bytes", b"0"))
        return json.dumps(description).encode() + b"\n" + b"x" * padding_bytes

    async def _serve_control(self, scope: Message, body: bytes, send: Any) -> None:
        """Set the faults on ``POST``, and report the counts."""
        if scope["method"] == "POST":
            self.state.faults = EndpointFaults(**json.loads(body))
        content = json.dumps(asdict(self.state)).encode()
        await _send_response(send, 200, content, [])


async def _read_body(receive: Any) -> bytes:
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            break
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            break
    return b"".join(parts)


async def _send_response(
    send: Any,
    status: int,
    content: bytes,
    headers: list[tuple[bytes, bytes]],
    truncate: bool = False,
) -> None:
    length = (b"content-length", str(len(content)).encode())
    await send(
        {"type": "http.response.start", "status": status, "headers": [*headers, length]}
    )
    if truncate:
        await send(
            {
                "type": "http.response.body",
                "body": content[: len(content) // 2],
                "more_body": True,
            }
        )
        raise RuntimeError("injected fault: the answer is truncated")
    await send({"type": "http.response.body", "body": content})
