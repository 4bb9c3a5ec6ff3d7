from __future__ import annotations

import argparse
import json
import re
from pathlib import Path

import pytest
import yaml

from chivetray import cmdline
from chivetray.events import Event
from chivetray.results import ResultCode

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = str(ROOT / "examples" / "consorzio.yaml")


def all_parsers():
    pending = [cmdline.build_parser()]
    while pending:
        parser = pending.pop()
        actions = [
            a for a in parser._actions if isinstance(a, argparse._SubParsersAction)
        ]
        if not actions:
            yield parser
        for action in actions:
            pending += action.choices.values()


class TestCommands:
    def test_every_command_has_help_with_an_example(self):
        parsers = list(all_parsers())
        assert len(parsers) >= 14
        for parser in parsers:
            assert "example: chivetray" in parser.format_help()

    def test_a_manager_without_a_settings_file_says_so(self, capsys, monkeypatch):
        monkeypatch.delenv("CHIVETRAY_BOOT", raising=False)
        assert cmdline.main(["manager"]) != 0
        assert "no settings file" in capsys.readouterr().err

    def test_check_prints_the_counts(self, capsys):
        assert cmdline.main(["check", EXAMPLE]) == 0
        assert "40 vms" in capsys.readouterr().out

    def test_check_prints_every_fault_as_json(self, tmp_path, capsys):
        objects = yaml.safe_load(Path(EXAMPLE).read_text())
        objects["vms"][0]["pool"] = "nowhere"
        objects["services"][0]["dead_line_s"] = 1
        path = tmp_path / "bad.yaml"
        path.write_text(yaml.safe_dump(objects))
        assert cmdline.main(["check", str(path), "--json"]) == 1
        faults = json.loads(capsys.readouterr().out)["faults"]
        assert {311, 307} <= {fault["code"] for fault in faults}
        assert all(fault["line"] > 0 and fault["file"] for fault in faults)

    def test_unreachable_platform_is_an_error_with_a_code(self, capsys):
        platform = "http://127.0.0.1:9"
        assert cmdline.main(["history", "--platform", platform]) == 4
        assert capsys.readouterr().err.startswith("error 400: ")

    def test_settings_show_where_each_comes_from(self, tmp_path, capsys):
        path = tmp_path / "entry.yaml"
        path.write_text(
            "format_version: 1\n"
            "entry: {name: e1, zone: z, address: 127.0.0.1}\n"
            "platform: {url: 'http://127.0.0.1:1'}\n"
            "retries: {budget_ratio: 0.2}\n"
        )
        assert cmdline.main(["settings", "--settings", str(path)]) == 0
        out = capsys.readouterr().out
        assert "retries.budget_ratio: 0.2  (file)" in out
        assert "retries.attempts_limit: 3  (default)" in out

    def test_bad_settings_are_all_reported(self, tmp_path, capsys):
        path = tmp_path / "entry.yaml"
        path.write_text("format_version: 1\nentry: {name: E, zne: z}\n")
        assert cmdline.main(["settings", "--settings", str(path)]) == 1
        err = capsys.readouterr().err
        assert "did you mean 'zone'?" in err
        assert "'platform' is missing" in err


class TestCatalogues:
    def test_numbers_are_unique(self):
        for catalogue in (Event, ResultCode):
            numbers = [item.number for item in catalogue]
            assert len(set(numbers)) == len(numbers)

    @pytest.mark.parametrize(
        ("kind", "catalogue"), [("Event", Event), ("ResultCode", ResultCode)]
    )
    def test_every_entry_is_used_in_the_code(self, kind, catalogue):
        text = "".join(path.read_text() for path in (ROOT / "src").rglob("*.py"))
        used = set(re.findall(rf"\b{kind}\.([A-Z_]+)", text))
        assert {item.name for item in catalogue} - used == set()
