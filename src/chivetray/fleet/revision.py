"""Configuration revisions and the revision in force."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from chivetray.events import Event, log_event
from chivetray.fleet.catalog import Catalog, Change
from chivetray.memory import release_unused_memory

# Changes that an entry keeps for its peers. A peer that is further behind gets
# the whole set.
RECENT_LIMIT_BYTES = 256 * 1024

# Content that leaves enough unused memory behind to give it back.
LARGE_CONTENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Revision:
    """One published revision.

    :ivar full: whether the content is the whole set and not a change
    :ivar content: canonical JSON of a :class:`~chivetray.fleet.catalog.Change`
    """

    number: int
    publish_id: str
    full: bool
    content: str

    def apply_to(self, catalog: Catalog) -> Catalog:
        """Return the catalog that this revision leads to.

        :raises ValueError: when the content cannot be read
        """
        change = Change.from_json(self.content)
        newer = Catalog() if self.full else catalog.copy()
        newer.apply(change)
        return newer


class RevisionState:
    """The revision in force at an entry; its number only rises."""

    def __init__(self) -> None:
        self.number = 0
        self.publish_id = ""
        self.catalog = Catalog()
        self._recent: deque[Revision] = deque()
        self._recent_bytes = 0
        self._changed = anyio.Event()
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function whenever another revision has come into force.

        It is called before anything else happens in this process, so that all
        parts always follow the same revision.
        """
        self._subscribers.append(callback)

    def offer(self, revision: Revision, source: str) -> bool:
        """Put a revision in force if it leads on from the current one.

        :param source: where the revision comes from, for the log
        :returns: whether the revision is now in force
        """
        if not self._leads_on(revision):
            return False
        try:
            catalog = revision.apply_to(self.catalog)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log_event(
                Event.REVISION_DAMAGED,
                revision=revision.number,
                source=source,
                reason=str(error)[:200],
            )
            return False
        self.catalog = catalog
        self.number = revision.number
        self.publish_id = revision.publish_id
        self._remember(revision)
        log_event(Event.REVISION_APPLIED, revision=revision.number, source=source)
        for callback in self._subscribers:
            callback()
        if len(revision.content) >= LARGE_CONTENT_BYTES:
            release_unused_memory()
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        return True

    def _remember(self, revision: Revision) -> None:
        """Keep a change for peers, and forget the oldest beyond the limit."""
        if revision.full:
            # A whole set is made again when a peer asks; keeping its text would
            # double the memory of the set.
            self._recent.clear()
            self._recent_bytes = 0
            return
        self._recent.append(revision)
        self._recent_bytes += len(revision.content)
        while self._recent_bytes > RECENT_LIMIT_BYTES:
            self._recent_bytes -= len(self._recent.popleft().content)

    def _leads_on(self, revision: Revision) -> bool:
        if revision.number <= self.number:
            if revision.number == self.number and (
                revision.publish_id != self.publish_id
            ):
                log_event(
                    Event.REVISION_IGNORED,
                    revision=revision.number,
                    reason="another revision with this number is in force",
                )
            return False
        return revision.full or revision.number == self.number + 1

    def revisions_after(self, number: int) -> list[Revision]:
        """Return what leads a peer from its revision to the one in force."""
        if number >= self.number:
            return []
        newer = [item for item in self._recent if item.number > number]
        if newer and newer[0].number == number + 1:
            return newer
        return [self._whole()]

    def _whole(self) -> Revision:
        change = Change(put=self.catalog.to_object_set())
        return Revision(self.number, self.publish_id, True, change.to_json())

    async def wait_newer(self, number: int) -> int:
        """Return the number in force as soon as it is higher than another."""
        while self.number <= number:
            await self._changed.wait()
        return self.number
