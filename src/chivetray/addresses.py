"""Addresses of other processes, as text of a host and a port."""

from __future__ import annotations

import ipaddress
import re
from typing import Any

# Limits of host names (RFC 1123, section 2.1, and RFC 1035, section 2.3.4).
HOST_NAME_LIMIT_CHARS = 253
_HOST_LABEL = re.compile(r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?", re.ASCII)

_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
MAX_PORT = 65535


def read_address(value: Any) -> str | None:
    """Return a host and port that a connection can be opened to, or ``None``.

    The host is an IPv4 address, an IPv6 address in brackets, or a host name. The lookup
    of any other text raises errors that tell nothing of the network.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    return f"{host}:{port}" if _is_host(host) else None


def _is_host(host: str) -> bool:
    if host.startswith("[") and host.endswith("]"):
        return _is_ip_address(host[1:-1], ipaddress.IPv6Address)
    labels = host.split(".")
    if len(host) > HOST_NAME_LIMIT_CHARS or not all(map(_HOST_LABEL.fullmatch, labels)):
        return False
    # A name whose last label is a number is an IPv4 address or nothing (RFC 3696).
    return not labels[-1].isdigit() or _is_ip_address(host, ipaddress.IPv4Address)


def _is_ip_address(
    text: str, kind: type[ipaddress.IPv4Address] | type[ipaddress.IPv6Address]
) -> bool:
    try:
        # A scope names a network interface of another VM.
        return "%" not in text and bool(kind(text).packed)
    except ValueError:
        return False
