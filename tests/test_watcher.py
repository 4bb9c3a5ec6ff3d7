"""Polling of a platform that has been away for long."""

from __future__ import annotations

from types import SimpleNamespace

from chivetray.records.watcher import PlatformWatcher


class TestBackoff:
    def test_it_stays_bounded_after_any_number_of_failures(self) -> None:
        """After 1,024 failures in a row the delay once overflowed and polling ended."""
        watcher = PlatformWatcher.__new__(PlatformWatcher)
        watcher._settings = SimpleNamespace(  # type: ignore[assignment]
            poll_interval_s=0.5, max_backoff_s=30.0
        )
        assert all(
            0.5 <= watcher._next_delay_s(failures, 1) <= 30.0
            for failures in (1, 10, 1_000, 5_000, 10**6)
        )
