"""Double runs and outages of steps that lab/find_overlaps.py finds in logs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import find_overlaps as lab
import pytest

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
STEP = f"{JOB}.0.0"


def event(at_s: float, name: str, **fields: Any) -> dict[str, Any]:
    return {"timestamp": at_s, "number": 1, "message_type": name, **fields}


def placed(at_s: float, *rows: list[Any], epoch: int = 1) -> dict[str, Any]:
    """Return the line of a placement of tasks, by index, attempt and worker."""
    full_rows = [[0, 0, *row, 7] for row in rows]
    return event(
        at_s, "TASK_PLACED", job=JOB, step=0, cell="c", epoch=epoch, placed=full_rows
    )


def of_task(at_s: float, name: str, attempt: int = 1, **fields: Any) -> dict[str, Any]:
    fields.setdefault("worker", "w0")
    return event(at_s, name, task=TASK, attempt=attempt, **fields)


def reasons(events: list[dict[str, Any]], given_up: bool = True) -> list[str]:
    return [found.reason for found in lab.find_overlaps(events, given_up)]


PLACED, AGAIN = placed(1, [0, 1, "w0"]), placed(5, [0, 2, "w1"])
START = {"order": "start", "epoch": 1}


class TestOverlaps:
    def test_an_attempt_without_an_end_before_the_next(self) -> None:
        silent = event(2, "WORKER_SILENT", worker="w0")
        elsewhere = event(3, "WORKER_SILENT", worker="w9")
        (found,) = lab.find_overlaps([PLACED, silent, elsewhere, AGAIN])
        assert (found.reason, found.subject) == (lab.NO_END, TASK)
        assert found.about == "attempts 1 and 2"
        assert [line["timestamp"] for line in found.lines] == [1, 2, 5]

    @pytest.mark.parametrize(
        "end",
        [
            of_task(2, "TASK_ENDED_EARLY", how="failed"),
            of_task(2, "TASK_VANISHED"),
            of_task(2, "END_IGNORED", how="stopped"),
            of_task(2, "ORDER_FAILED", **START, verdict="room"),
            of_task(2, "TASK_COPIED", silent=True),
            event(2, "JOB_ENDED", job=JOB, state="FAILED"),
        ],
        ids=lambda end: end["message_type"],
    )
    def test_an_end_or_a_copy_allows_the_next(self, end: dict[str, Any]) -> None:
        assert reasons([PLACED, end, AGAIN]) == []

    def test_a_refusal_after_a_try_without_answer_is_no_end(self) -> None:
        lost = of_task(2, "ORDER_FAILED", **START, verdict="no answer")
        refused = of_task(3, "ORDER_FAILED", **START, verdict="unhealthy")
        assert reasons([PLACED, lost, refused, AGAIN]) == [lab.NO_END]

    @pytest.mark.parametrize(
        "line",
        [
            event(2, "WORKER_LOST", worker="w0", attempts=[[TASK, 1, "RUNNING"]]),
            event(2, "WORKER_LOST", worker="w0"),
            event(2, "WORKER_REBORN", worker="w0", attempts=[[TASK, 1, "RUNNING"]]),
            of_task(2, "ATTEMPT_OUTLIVED", phase="RUNNING"),
        ],
    )
    def test_an_attempt_that_was_given_up_is_told_on_request(
        self, line: dict[str, Any]
    ) -> None:
        assert reasons([PLACED, line, AGAIN]) == [lab.GIVEN_UP]
        assert reasons([PLACED, line, AGAIN], given_up=False) == []

    def test_a_placed_attempt_stays_on_a_restarted_worker(self) -> None:
        line = event(2, "WORKER_REBORN", worker="w0", attempts=[[TASK, 1, "PLACED"]])
        assert reasons([PLACED, line, AGAIN]) == [lab.NO_END]

    def test_an_attempt_at_work_after_it_was_given_up(self) -> None:
        lost = event(2, "WORKER_LOST", worker="w0", attempts=[[TASK, 1, "RUNNING"]])
        unknown = of_task(6, "ATTEMPT_UNKNOWN")
        later = of_task(7, "ATTEMPT_UNKNOWN")
        events = [PLACED, lost, AGAIN, unknown, later]
        assert reasons(events, given_up=False) == [lab.AT_WORK]

    def test_a_copy_at_work_is_allowed(self) -> None:
        copied = of_task(2, "TASK_COPIED", silent=True)
        assert reasons([PLACED, copied, AGAIN, of_task(6, "ATTEMPT_UNKNOWN")]) == []

    def test_a_task_that_was_done_is_placed_again(self) -> None:
        copied = of_task(2, "TASK_COPIED", silent=True)
        done = of_task(3, "END_IGNORED", how="done")
        assert reasons([PLACED, copied, done, AGAIN]) == [lab.DONE_BEFORE]

    def test_placements_that_were_not_stored_do_not_count(self) -> None:
        """A former owner's, and one whose number the next owner uses again."""
        taken = event(3, "CELL_TAKEN", cell="c", epoch=2)
        same_number = placed(4, [0, 1, "w1"], epoch=2)
        outdated = placed(5, [0, 2, "w2"], epoch=1)
        assert reasons([PLACED, taken, same_number, outdated]) == []

    def test_an_attempt_of_an_earlier_release_begins_with_its_first_line(self) -> None:
        events = [
            event(1, "TASK_PLACED", job=JOB, step=0, tasks=1, workers=["w0"]),
            of_task(2, "ORDER_FAILED", order="start", verdict="no answer"),
            of_task(3, "ORDER_FAILED", 2, order="start", verdict="no answer"),
        ]
        assert reasons(events) == [lab.NO_END]


def evacuated(at_s: float, **fields: Any) -> dict[str, Any]:
    known = {"draining": False, "limit": 1, "unavailable_count": 0}
    return of_task(at_s, "TASK_EVACUATED", **{**known, **fields})


class TestOutages:
    TASKS = placed(1, [0, 1, "w0"], [1, 1, "w1"], [2, 1, "w2"])
    ENDED = event(2, "TASK_VANISHED", task=f"{STEP}.1", attempt=1, worker="w1")

    def outages(self, *events: dict[str, Any]) -> list[tuple[str, str, str]]:
        found = lab.find_outages([self.TASKS, *events])
        return [(outage.reason, outage.subject, outage.about) for outage in found]

    def test_a_task_may_leave_alone(self) -> None:
        assert self.outages(evacuated(3)) == []

    def test_a_task_leaves_while_another_is_unavailable(self) -> None:
        expected = [(lab.TOO_MANY_AWAY, STEP, "2 away, 1 allowed")]
        assert self.outages(evacuated(3, unavailable_count=1)) == expected
        assert self.outages(evacuated(3, unavailable_count=1, limit=2)) == []
        assert self.outages(evacuated(3, unavailable_count=1, draining=True)) == []

    def test_the_log_knows_of_another_that_the_order_did_not_count(self) -> None:
        expected = [(lab.TOO_MANY_AWAY, STEP, "2 away, 1 allowed")]
        assert self.outages(self.ENDED, evacuated(3)) == expected
        assert self.outages(self.ENDED, placed(2.5, [1, 2, "w3"]), evacuated(3)) == []

    def test_a_vm_is_ordered_whose_worker_has_tasks(self) -> None:
        back = of_task(4, "TASK_ENDED_EARLY", how="stopped")
        order = {"order": "move", "vm": "v", "worker": "w2"}
        ordered = event(6, "VM_ORDERED", **order, tasks=1)
        in_use = (lab.VM_IN_USE, "v", "1 tasks, move of w2")
        away = (lab.TOO_MANY_AWAY, STEP, "2 away, 1 allowed")
        assert self.outages(evacuated(3), back, ordered) == [in_use, away]
        again = placed(5, [0, 2, "w3"])
        assert self.outages(evacuated(3), back, again, ordered) == [in_use]
        empty = event(6, "VM_ORDERED", **order, tasks=0)
        assert self.outages(evacuated(3), back, empty) == []


class TestProgram:
    def test_findings_are_printed_with_their_lines(
        self, tmp_path: Path, capsys, monkeypatch
    ) -> None:
        lines = [f"  1.5 m0 {json.dumps(line)}" for line in (AGAIN, PLACED)]
        path = tmp_path / "m.log"
        path.write_text("\n".join([*lines, "no event", lines[0][:-5]]))
        monkeypatch.setattr("sys.argv", ["find_overlaps.py", str(path)])
        lab.main()
        printed = capsys.readouterr().out.splitlines()
        assert printed[0] == f"5.000 {TASK}: {lab.NO_END} (attempts 1 and 2)"
        assert [line.split()[2] for line in printed[1:3]] == ["TASK_PLACED"] * 2
        assert printed[3] == "1 findings in 2 events; 1 lines are cut"
