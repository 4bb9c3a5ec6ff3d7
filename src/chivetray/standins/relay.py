"""Stand-in of a network path: a TCP relay that can lose track of connections.

``SIGUSR1`` silences the open connections for good while new ones work.
``SIGUSR2`` silences the open connections and accepts no new ones, until the
second ``SIGUSR2``.
"""

from __future__ import annotations

import signal

import anyio
from anyio.abc import SocketStream

RECEIVE_BYTES = 65536


class Relay:
    """Passes bytes on between clients and one target.

    :param address: address of the target
    :param port: port of the target
    """

    def __init__(self, address: str, port: int):
        self._address = address
        self._port = port
        self._cut = False
        self._silent = anyio.Event()

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
                    self._cut = not self._cut
                silenced, self._silent = self._silent, anyio.Event()
                silenced.set()

    async def _relay(self, client: SocketStream) -> None:
        if self._cut:
            await anyio.aclose_forcefully(client)
            return
        silenced = self._silent
        try:
            target = await anyio.connect_tcp(self._address, self._port)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        async with target, anyio.create_task_group() as tasks:
            tasks.start_soon(self._pump, client, target, silenced)
            tasks.start_soon(self._pump, target, client, silenced)

    async def _pump(
        self, source: SocketStream, sink: SocketStream, silenced: anyio.Event
    ) -> None:
        """Pass bytes on in one direction until the end or a silence."""
        try:
            async for content in source:
                if silenced.is_set():
                    await anyio.sleep_forever()
                await sink.send(content)
            if silenced.is_set():
                await anyio.sleep_forever()
            await sink.send_eof()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # The other direction ends by itself.
            return
