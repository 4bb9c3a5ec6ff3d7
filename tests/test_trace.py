"""Events of a job, a step or a task in the logs of managers."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from chivetray.cmdline import main
from chivetray.exceptions import ChivetrayError
from chivetray.trace import Subject, read_events, select_events

JOB = "00000000000000aa"
OTHER = "00000000000000bb"
TASK = f"{JOB}.0.1.2"


def line(at_s: float, message_type: str, **fields: Any) -> str:
    """Return a log line with the name of a process before it."""
    event = {"timestamp": at_s, "number": 1, "message_type": message_type, **fields}
    return f"m0 {json.dumps(event)}"


LINES = [
    line(1, "WORKER_SILENT", worker="w0", cell="c"),
    line(2, "JOB_ACCEPTED", job=JOB, cell="c"),
    line(
        3,
        "TASK_PLACED",
        job=JOB,
        step=1,
        cell="c",
        placed=[
            [0, 1, 1, 1, "w1", 7],
            [0, 1, 2, 1, "w0", 7],
            [0, 1, 22, 1, "w4", 7],
            [1, 1, 2, 1, "w5", 7],
        ],
    ),
    line(4, "TASK_PLACED", job=JOB, step=2, cell="c", placed=[[0, 2, 2, 1, "w6", 7]]),
    line(5, "CELL_TAKEN", cell="c"),
    line(6, "CELL_TAKEN", cell="d"),
    line(7, "WORKER_SILENT", worker="w0", cell="c"),
    line(8, "WORKER_SILENT", worker="w1", cell="c"),
    line(9, "WORKER_LISTED", worker="w6", cell="c"),
    line(
        10,
        "WORKER_LOST",
        worker="w0",
        attempts=[
            [TASK, 1, "RUNNING"],
            [f"{JOB}.0.1.22", 1, "RUNNING"],
            [f"{OTHER}.0.1.2", 1, "RUNNING"],
        ],
    ),
    line(11, "TASK_PLACED", job=JOB, step=1, placed=[[0, 1, 2, 2, "w2", 8]]),
    line(12, "START_CONFIRMED", task=TASK, attempt=2, worker="w2"),
    line(13, "START_CONFIRMED", task=f"{JOB}.0.1.22", attempt=1, worker="w4"),
    line(14, "VM_ORDERED", worker="w2", vm="v", tasks=1),
    line(15, "WORKER_REBORN", worker="w3", attempts=[[TASK, 3, "COPY"]]),
    line(16, "WORKER_ANSWERS", worker="w3"),
    line(17, "JOB_ENDED", job=JOB, cell="c"),
    line(18, "WORKER_ANSWERS", worker="w0", cell="c"),
]


def find_events(lines: list[str], subject: Subject) -> list[dict[str, Any]]:
    return list(select_events(read_events(lines), subject))


def times(lines: list[str], subject: str) -> list[int]:
    return [event["timestamp"] for event in find_events(lines, Subject.parse(subject))]


class TestSubjects:
    def test_a_task_comes_with_the_events_of_its_workers(self) -> None:
        found = times(LINES, TASK)
        assert found == [2, 3, 5, 7, 10, 11, 12, 14, 15, 16, 17]

    def test_a_step_comes_with_the_workers_of_all_its_tasks(self) -> None:
        found = times(LINES, f"{JOB}.0.1")
        assert found == [2, 3, 5, 7, 8, 10, 11, 12, 13, 14, 15, 16, 17]

    def test_a_job_comes_without_the_events_of_workers(self) -> None:
        assert times(LINES, JOB) == [2, 3, 4, 5, 11, 12, 13, 17]

    def test_lists_of_attempts_hold_those_of_the_task(self) -> None:
        events = {e["timestamp"]: e for e in find_events(LINES, Subject.parse(TASK))}
        assert events[3]["placed"] == [[0, 1, 2, 1, "w0", 7]]
        assert events[10]["attempts"] == [[TASK, 1, "RUNNING"]]

    def test_lists_of_attempts_of_a_job_are_complete(self) -> None:
        events = {e["timestamp"]: e for e in find_events(LINES, Subject.parse(JOB))}
        assert len(events[3]["placed"]) == 4

    def test_another_occurrence_is_another_task(self) -> None:
        (placed,) = (
            event
            for event in find_events(LINES, Subject.parse(f"{JOB}.1.1.2"))
            if event["message_type"] == "TASK_PLACED"
        )
        assert placed["placed"] == [[1, 1, 2, 1, "w5", 7]]

    def test_lines_without_attempts_are_told_by_their_step(self) -> None:
        lines = [
            line(1, "TASK_PLACED", job=JOB, step=1, workers=["w0"]),
            line(2, "WORKER_LOST", worker="w0"),
            line(3, "TASK_PLACED", job=JOB, step=2, workers=["w1"]),
            line(4, "TASK_VANISHED", task=TASK, worker="w0"),
        ]
        assert times(lines, TASK) == [1, 2, 4]

    def test_waits_of_a_step_come_with_the_tasks_that_may_be_meant(self) -> None:
        """A line of a wait names the first tasks only, and the workers waited for."""
        fields = {"job": JOB, "occurrence": 0, "step": 1, "cell": "c"}
        lines = [
            line(1, "TASK_WAITS", **fields, tasks=2, first=[1, 2], workers=["w0"]),
            line(2, "TASK_WAITS", **fields, tasks=1, first=[3], workers=["w1"]),
            line(3, "TASK_WAITS", **fields, tasks=5, first=[3, 4], workers=[]),
            line(4, "WORKER_SILENT", worker="w0"),
            line(5, "WORKER_SILENT", worker="w1"),
            line(6, "CELL_LOADED", cell="c"),
            line(7, "TASK_WAITS", **{**fields, "step": 2}, tasks=1, first=[2]),
            line(8, "TASK_WAIT_ENDED", **fields, tasks=1, first=[2]),
        ]
        assert times(lines, TASK) == [1, 3, 4, 6, 8]
        assert times(lines, f"{JOB}.0.1") == [1, 2, 3, 4, 5, 6, 8]
        assert times(lines, JOB) == [1, 2, 3, 6, 7, 8]

    @pytest.mark.parametrize(
        "subject",
        [
            "",
            "00000000000000a",
            "00000000000000ag",
            f"{JOB}.",
            f"{JOB}.0",
            f"{JOB}.0.1.2.3",
            f"{JOB}.0.x",
            f"{JOB}.0.-1.2",
            f"{JOB}.0..2",
            f"{JOB}.0.1.²",
        ],
    )
    def test_malformed_subjects_are_refused(self, subject: str) -> None:
        with pytest.raises(ChivetrayError, match="is no job"):
            Subject.parse(subject)


class TestCommand:
    @pytest.fixture
    def log(self, tmp_path: Path) -> str:
        path = tmp_path / "m1.log"
        path.write_text("\n".join(LINES))
        return str(path)

    def test_a_task_is_printed(self, log: str, capsys) -> None:
        assert main(["trace", TASK, log]) == 0
        printed = capsys.readouterr().out.splitlines()
        assert len(printed) == 11
        assert "WORKER_LOST worker=w0" in printed[4]

    @pytest.mark.parametrize(
        ("subject", "message"),
        [
            (OTHER, f"no log line mentions job {OTHER}"),
            (f"{JOB}.0.3", f"no log line mentions step {JOB}.0.3"),
            (f"{JOB}.0.1.9", f"no log line mentions task {JOB}.0.1.9"),
            (f"{JOB}.0.1.x", f"'{JOB}.0.1.x' is no job"),
        ],
    )
    def test_unknown_and_malformed_subjects_are_errors(
        self, log: str, capsys, subject: str, message: str
    ) -> None:
        assert main(["trace", subject, log]) != 0
        output = capsys.readouterr()
        assert not output.out
        assert output.err.startswith("error ") and message in output.err
