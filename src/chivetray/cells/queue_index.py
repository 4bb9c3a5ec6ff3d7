"""Finds queues by host and path, and their services by key."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.jobs.model import QUEUE_NAME_CHARS
from chivetray.platform.stored_records import Queue


class QueueIndex:
    """Queues of one configuration by their hosts and keys."""

    def __init__(self, queues: Iterable[Queue] = ()):
        self._by_host: dict[str, list[Queue]] = {}
        self._services_by_key: dict[str, str] = {}
        # The longest prefix of a path decides.
        for queue in sorted(queues, key=lambda queue: -len(queue.path_prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)
            key = queue.key[:QUEUE_NAME_CHARS]
            self._services_by_key.setdefault(key, queue.service)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of a path, if any."""
        host = host.rsplit(":", 1)[0].lower()
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def service_of(self, queue_key: str) -> str | None:
        """Return the service that runs the jobs of a queue, if there is one.

        :param queue_key: key of the queue, or as much of it as a part's name holds
        """
        return self._services_by_key.get(queue_key[:QUEUE_NAME_CHARS])
