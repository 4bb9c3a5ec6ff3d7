"""Configuration revisions, and the one that is in force at an entry."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from chivetray.events import Event, log_event
from chivetray.fleet.catalog import Catalog, Change
from chivetray.memory import release_unused_memory

# Size of the recent changes that an entry keeps for its peers. A peer that is
# further behind receives the full object set.
RECENT_CHANGES_LIMIT_BYTES = 256 * 1024

# Size from which decoding a revision frees enough memory to return it to the
# operating system.
LARGE_CONTENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Revision:
    """One published revision.

    :ivar full: whether the content holds the full object set instead of a change
    :ivar content: canonical JSON of a :class:`~chivetray.fleet.catalog.Change`
    """

    number: int
    publish_id: str
    full: bool
    content: str

    def apply_to(self, catalog: Catalog) -> Catalog:
        """Return the catalog that results from applying this revision.

        :raises ValueError: when the content is not a valid change
        """
        change = Change.from_json(self.content)
        newer = Catalog() if self.full else catalog.copy()
        newer.apply(change)
        return newer


class RevisionState:
    """The revision in force at an entry; its number never decreases."""

    def __init__(self) -> None:
        self.number = 0
        self.publish_id = ""
        self.catalog = Catalog()
        self._recent_changes: deque[Revision] = deque()
        self._recent_bytes = 0
        self._changed = anyio.Event()
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to call whenever a new revision comes into force.

        It is called synchronously, before any other task of this process runs, so
        that all components always use the same revision.
        """
        self._subscribers.append(callback)

    def apply_if_newer(self, revision: Revision, source: str) -> bool:
        """Put a revision in force if it is full and newer, or the next change.

        :param source: where the revision comes from, for the log
        :return: whether the revision is now in force
        """
        if not self._is_applicable(revision):
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
        self._keep_for_peers(revision)
        log_event(Event.REVISION_APPLIED, revision=revision.number, source=source)
        for callback in self._subscribers:
            callback()
        if len(revision.content) >= LARGE_CONTENT_BYTES:
            release_unused_memory()
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
        return True

    def _keep_for_peers(self, revision: Revision) -> None:
        """Keep a change for peers, and drop the oldest ones beyond the size limit."""
        if revision.full:
            # A full set is serialised again when a peer asks for it. Keeping its
            # text as well would double the memory of the set.
            self._recent_changes.clear()
            self._recent_bytes = 0
            return
        self._recent_changes.append(revision)
        self._recent_bytes += len(revision.content)
        while self._recent_bytes > RECENT_CHANGES_LIMIT_BYTES:
            self._recent_bytes -= len(self._recent_changes.popleft().content)

    def _is_applicable(self, revision: Revision) -> bool:
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
        """Return the revisions that bring a peer from its number up to date."""
        if number >= self.number:
            return []
        newer = [item for item in self._recent_changes if item.number > number]
        if newer and newer[0].number == number + 1:
            return newer
        return [self._full_revision()]

    def _full_revision(self) -> Revision:
        change = Change(put=self.catalog.to_object_set())
        return Revision(self.number, self.publish_id, True, change.to_json())

    async def wait_until_newer(self, number: int) -> int:
        """Wait until the number in force exceeds the given one, and return it."""
        while self.number <= number:
            await self._changed.wait()
        return self.number
