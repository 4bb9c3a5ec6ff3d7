"""Changes of a manager's settings file while the manager starts."""

from __future__ import annotations

import asyncio
from pathlib import Path

import yaml

from chivetray import manager as manager_module
from chivetray.connection_pool import share_limits
from chivetray.events import Event
from chivetray.manager import Manager
from chivetray.peers.stream import share_stream_limits


def write(path: Path, grace_s: int) -> None:
    listen = dict.fromkeys(("callers", "ready", "peers", "store"), "127.0.0.1:1")
    names = {"name": "m0", "zone": "z1", "address": "127.0.0.1"}
    path.write_text(yaml.safe_dump({**names, **listen, "grace_s": grace_s}))


class TestChangeDuringTheStart:
    def test_a_change_after_the_file_was_read_is_followed(
        self, tmp_path: Path, monkeypatch
    ) -> None:
        """The first check once took a change made after the read as already applied."""
        monkeypatch.setattr(manager_module, "SETTINGS_CHECK_INTERVAL_S", 0.05)
        path = tmp_path / "m0.yaml"
        write(path, 3)

        async def main() -> float:
            started = Manager.from_file(path)
            write(path, 2)
            following = asyncio.ensure_future(started._follow_settings())
            await asyncio.sleep(0.3)
            following.cancel()
            await started._session.aclose()
            return started._settings.grace_s

        assert asyncio.run(main()) == 2


class TestReload:
    def test_a_file_that_is_no_text_changes_nothing(self, tmp_path: Path) -> None:
        """The process once ended at the next check of such a file."""
        path = tmp_path / "m0.yaml"
        write(path, 3)

        async def main() -> float:
            started = Manager.from_file(path)
            path.write_bytes(b"\xff\xfe grace_s: 2")
            assert started._read_settings_text() == ""
            started._reload()
            await started._session.aclose()
            return started._settings.grace_s

        assert asyncio.run(main()) == 3

    def test_a_signal_and_the_next_check_apply_a_change_once(
        self, tmp_path: Path, monkeypatch
    ) -> None:
        monkeypatch.setattr(manager_module, "SETTINGS_CHECK_INTERVAL_S", 0.02)
        path = tmp_path / "m0.yaml"
        write(path, 3)
        reloads = []
        monkeypatch.setattr(
            manager_module, "log_event", lambda event, **_: reloads.append(event)
        )

        async def main() -> None:
            started = Manager.from_file(path)
            write(path, 2)
            started._reload()
            following = asyncio.ensure_future(started._follow_settings())
            await asyncio.sleep(0.1)
            following.cancel()
            await started._session.aclose()

        asyncio.run(main())
        assert reloads.count(Event.SETTINGS_RELOADED) == 1

    def test_a_new_share_of_the_processor_counts_in_its_own_rank(
        self, tmp_path: Path
    ) -> None:
        """Peers once ranked the process by the new share, itself by the old one."""
        path = tmp_path / "m0.yaml"
        write(path, 3)

        async def main() -> tuple[int, int]:
            started = Manager.from_file(path)
            before = started._directory.capacity
            path.write_text(path.read_text() + "cpu_share: 0.25\ncores: 1\n")
            started._reload()
            await started._session.aclose()
            return before, started._directory.capacity

        before, after = asyncio.run(main())
        assert after == 250 != before


class TestLimitsOfTheProcess:
    """Guards against a manager that does not start where its limits are not told."""

    def test_limits_that_are_not_told_are_the_default(self, tmp_path: Path) -> None:
        path = tmp_path / "m0.yaml"
        write(path, 3)
        told = yaml.safe_load(path.read_text())
        path.write_text(
            yaml.safe_dump({**told, "memory_mb": None, "max_descriptors": None})
        )

        async def main() -> None:
            started = Manager.from_file(path)
            await started._session.aclose()

        asyncio.run(main())
        assert share_limits(None, None, 1.0) == share_limits(300, 4100, 1.0)
        assert share_stream_limits(None) == share_stream_limits(4100)
