"""Socket options that detect connections whose peer no longer responds."""

from __future__ import annotations

import socket

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3

SocketOption = tuple[int, int, int]


def socket_options(unacknowledged_timeout_s: float) -> list[SocketOption]:
    """Return the options of a TCP socket.

    :param unacknowledged_timeout_s: time after which the kernel closes a connection
        whose data is not acknowledged
    """
    timeout_ms = int(unacknowledged_timeout_s * 1000)
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms),
    ]
