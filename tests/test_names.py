"""The check of the platform's names finds them outside the adapter."""

from __future__ import annotations

from pathlib import Path

import check_names


class TestNames:
    def test_no_name_of_the_platform_stands_outside_the_adapter(self) -> None:
        assert check_names.find_names() == []

    def test_a_name_is_found(self, tmp_path: Path, monkeypatch) -> None:
        monkeypatch.setattr(check_names, "ROOT", tmp_path)
        (tmp_path / "module.py").write_text('body["FencingToken"] = 1\n')
        places = check_names.find_names(tmp_path)
        assert places == ["module.py:1: FencingToken"]
