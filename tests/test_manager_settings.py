"""Changes of a manager's settings file while the manager starts."""

from __future__ import annotations

import asyncio
from pathlib import Path

import yaml

from chivetray import manager as manager_module
from chivetray.manager import Manager


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
