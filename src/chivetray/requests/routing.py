"""Chooses the service of a request by host and path prefix."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from chivetray.generated.objects import Service

ANY_HOST = ""


class Router:
    """Index of services by host and path prefix.

    The cost of a lookup grows with the segments of the path, not with the number
    of services.
    """

    def __init__(self, services: Iterable[Service]):
        self._routes: dict[tuple[str, str], Service] = {}
        for service in services:
            for host in service.hosts or [ANY_HOST]:
                for prefix in service.path_prefixes or ["/"]:
                    key = (host.lower(), _strip_trailing_slashes(prefix))
                    self._routes[key] = service

    def find_service(self, host: str, raw_path: str) -> Service | None:
        """Return the service with the longest matching prefix.

        A service for the host takes precedence over one for any host.

        :param host: host header, with or without a port
        :param raw_path: path as the caller sent it, without the query
        """
        hostname = host.rsplit(":", 1)[0].lower()
        for host_key in (hostname, ANY_HOST):
            for prefix in _prefixes(raw_path):
                service = self._routes.get((host_key, prefix))
                if service is not None:
                    return service
        return None


def _strip_trailing_slashes(prefix: str) -> str:
    return prefix.rstrip("/")


def _prefixes(raw_path: str) -> Iterator[str]:
    """Yield the path and every prefix that ends before a slash."""
    path = raw_path.rstrip("/")
    while path:
        yield path
        path = path.rpartition("/")[0]
    yield ""
