from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from build_binary import build
from helpers import Fleet, FleetPlan, send

# The interpreter outside the virtual environment, without any package.
INTERPRETER = [sys._base_executable, "-I", "-S"]


class BinaryFleet(Fleet):
    """A fleet whose processes all run the single file."""

    binary: Path

    def run(self, name: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        command = [*INTERPRETER, str(self.binary), *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)


class TestSingleFile:
    @pytest.fixture(scope="class")
    @classmethod
    def binary(cls, tmp_path_factory):
        return build(tmp_path_factory.mktemp("binary") / "chivetray")

    def test_version_is_printed(self, binary):
        command = [*INTERPRETER, str(binary), "--version"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert done.stdout == "chivetray 0.1.0\n", done.stderr

    def test_request_is_answered_by_processes_of_the_file(self, binary, tmp_path):
        fleet = BinaryFleet(FleetPlan(), tmp_path)
        fleet.binary = binary
        try:
            fleet.start()
            reply = send(fleet.url("zone-1-e1"))
            children = Path(f"/proc/{fleet.processes['zone-1-e1'].pid}/task").glob(
                "*/children"
            )
            assert reply.status == 200
            assert {path.read_text() for path in children} == {""}
        finally:
            fleet.close()
