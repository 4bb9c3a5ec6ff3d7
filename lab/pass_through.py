"""A bare pass-through of the same HTTP libraries, without any decision."""

from __future__ import annotations

import sys

import anyio
import httpcore

from chivetray.servers import HttpServer, bind_listener


async def main(address: str, port: int, target: str, target_port: int) -> None:
    async with httpcore.AsyncConnectionPool(max_connections=64) as pool:

        async def app(scope, receive, send):
            message = await receive()
            url = httpcore.URL(
                scheme=b"http",
                host=target.encode(),
                port=target_port,
                target=scope["raw_path"],
            )
            response = await pool.request(
                scope["method"],
                url,
                headers=scope["headers"],
                content=message.get("body") or None,
            )
            headers = [(name.lower(), value) for name, value in response.headers]
            head = {"type": "http.response.start", "status": response.status}
            await send({**head, "headers": headers})
            await send({"type": "http.response.body", "body": response.content})

        await HttpServer.from_app(app).serve_on(bind_listener(address, port))


if __name__ == "__main__":
    anyio.run(main, sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4]))
