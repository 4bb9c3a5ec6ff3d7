"""Stand-in for a network path: a TCP relay that can stop forwarding.

``SIGUSR1`` stops forwarding on the open connections for good, without closing them;
new connections work. ``SIGUSR2`` does the same and also closes every new connection
at once, until the next ``SIGUSR2``.
"""

from __future__ import annotations

import signal

import anyio
from anyio.abc import SocketStream


class Relay:
    """Forwards bytes between clients and one target.

    :param address: address of the target
    :param port: port of the target
    """

    def __init__(self, address: str, port: int):
        self._address = address
        self._port = port
        self._rejects_connections = False
        self._silenced = anyio.Event()

    async def serve(self, address: str, port: int) -> None:
        """Relay connections until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=address, local_port=port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive_signals)
            await listener.serve(self._relay)

    async def _receive_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGUSR1, signal.SIGUSR2) as signals:
            async for number in signals:
                if number == signal.SIGUSR2:
                    self._rejects_connections = not self._rejects_connections
                silenced, self._silenced = self._silenced, anyio.Event()
                silenced.set()

    async def _relay(self, client: SocketStream) -> None:
        if self._rejects_connections:
            await anyio.aclose_forcefully(client)
            return
        silenced = self._silenced
        try:
            target = await anyio.connect_tcp(self._address, self._port)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        async with target, anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward, client, target, silenced)
            tasks.start_soon(self._forward, target, client, silenced)

    async def _forward(
        self, source: SocketStream, sink: SocketStream, silenced: anyio.Event
    ) -> None:
        """Forward bytes in one direction until it ends or is silenced."""
        try:
            async for content in source:
                if silenced.is_set():
                    await anyio.sleep_forever()
                await sink.send(content)
            if silenced.is_set():
                await anyio.sleep_forever()
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # The task of the other direction ends on its own.
            return
