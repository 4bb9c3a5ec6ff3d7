"""Absences of long-running tasks that lab/find_waits.py finds in logs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import find_waits as lab
import pytest

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
STEP = f"{JOB}.0.0"


def event(at_s: float, name: str, **fields: Any) -> dict[str, Any]:
    return {"timestamp": at_s, "number": 1, "message_type": name, **fields}


def placed(
    at_s: float, number: int, worker: str, epoch: int = 1, **fields: Any
) -> dict[str, Any]:
    row = [0, 0, 0, number, worker, 7]
    known = {"job": JOB, "step": 0, "cell": "c", "epoch": epoch, "placed": [row]}
    return event(at_s, "TASK_PLACED", **known, **fields)


def silent(at_s: float, epoch: int = 1, **fields: Any) -> dict[str, Any]:
    known = {"worker": "w0", "cell": "c", "silent_s": 0.5, "epoch": epoch}
    return event(at_s, "WORKER_SILENT", **{**known, **fields})


def answers(at_s: float, epoch: int = 1) -> dict[str, Any]:
    return event(at_s, "WORKER_ANSWERS", worker="w0", cell="c", epoch=epoch)


def lost(at_s: float, epoch: int = 1, **fields: Any) -> dict[str, Any]:
    attempts = [[TASK, 1, "RUNNING"]]
    known = {"worker": "w0", "cell": "c", "epoch": epoch, "attempts": attempts}
    known["reason"] = "earlier lease expired"
    return event(at_s, "WORKER_LOST", **{**known, **fields})


def taken(at_s: float, epoch: int) -> dict[str, Any]:
    return event(at_s, "CELL_TAKEN", cell="c", epoch=epoch, earlier_lease_s=11.21)


def waits(at_s: float, reason: str, **fields: Any) -> dict[str, Any]:
    known = {"job": JOB, "occurrence": 0, "step": 0, "tasks": 1, "first": [0]}
    known |= {"reason": reason, "away_s": 1.0, "workers": ["w0"], "epoch": 1}
    known |= {"owned_s": 9.0, "long_running": True, "cell": "c"}
    return event(at_s, "TASK_WAITS", **{**known, **fields})


def wait_ended(at_s: float, **fields: Any) -> dict[str, Any]:
    known = {"job": JOB, "occurrence": 0, "step": 0, "tasks": 1, "first": [0]}
    known |= {"away_s": 8.0, "spent_s": {"lease": 7.0}, "phase": "RUNNING", "epoch": 1}
    return event(at_s, "TASK_WAIT_ENDED", **{**known, **fields})


END = event(60, "OTHER")
FIRST = placed(10, 1, "w0")


def absences(*events: dict[str, Any], over_s: float = 4.0) -> list[tuple[float, float]]:
    found = lab.find_absences([*events, END], over_s)
    return [(absence.from_s, absence.to_s) for absence in found]


class TestAbsences:
    @pytest.mark.parametrize(
        "end",
        [
            event(20, "TASK_ENDED_EARLY", task=TASK, attempt=1, how="failed"),
            event(20, "TASK_VANISHED", task=TASK, attempt=1),
            event(20, "STOP_CONFIRMED", task=TASK, attempt=1, verdict="ok"),
            lost(20),
            event(20, "WORKER_REBORN", worker="w0", attempts=[[TASK, 1, "RUNNING"]]),
        ],
        ids=lambda end: end["message_type"],
    )
    def test_it_lasts_from_the_end_to_the_next_placement(
        self, end: dict[str, Any]
    ) -> None:
        assert absences(FIRST, end, placed(27, 2, "w1")) == [(20, 27)]
        assert absences(FIRST, end, placed(23, 2, "w1")) == []

    def test_it_begins_with_the_silence_of_the_worker(self) -> None:
        events = [FIRST, silent(20.5), lost(27), placed(27, 2, "w1")]
        assert absences(*events) == [(20, 27)]

    def test_a_worker_that_answers_goes_on_with_its_tasks(self) -> None:
        assert absences(FIRST, silent(20.5), answers(26)) == []

    def test_a_lapse_that_is_told_after_a_silence_began_with_it(self) -> None:
        lapsed = event(26.1, "TASK_ENDED_EARLY", task=TASK, attempt=1, how="lapsed")
        events = [FIRST, silent(20.5), answers(26), lapsed, placed(26.2, 2, "w1")]
        assert absences(*events) == [(20, 26.2)]

    def test_it_lasts_over_changes_of_the_owner(self) -> None:
        """Lines of a former owner do not end it."""
        events = [FIRST, silent(20.5), taken(22, 2), silent(22.5, 2)]
        events += [answers(23), placed(24, 2, "w9"), lost(33, 2)]
        events += [placed(33, 2, "w1", epoch=2)]
        assert absences(*events) == [(20, 33)]

    def test_a_new_owner_that_hears_the_worker_ends_the_silence(self) -> None:
        assert absences(FIRST, silent(20.5), taken(22, 2)) == []

    def test_the_end_of_the_job_ends_it(self) -> None:
        ended = event(26, "JOB_ENDED", job=JOB, state="CANCELLED")
        assert absences(FIRST, lost(20), ended) == [(20, 26)]

    def test_a_task_that_is_away_at_the_end_of_the_log_is_found(self) -> None:
        assert absences(FIRST, lost(20)) == [(20, 60)]

    def test_the_wait_for_the_first_placement_counts(self) -> None:
        accepted = event(2, "JOB_ACCEPTED", job=JOB, cell="c")
        assert absences(accepted, FIRST) == [(2, 10)]
        assert absences(accepted, placed(10, 1, "w0", away_s=3.0)) == []
        assert absences(waits(20, "no room", away_s=3.0)) == [(17, 60)]

    def test_a_start_that_only_the_end_of_the_wait_tells(self) -> None:
        reborn = event(
            20, "WORKER_REBORN", worker="w0", attempts=[[TASK, 1, "RUNNING"]]
        )
        assert absences(FIRST, reborn, wait_ended(28)) == [(20, 28)]


class TestLastingJobs:
    def test_a_job_that_was_completed_does_not_last(self) -> None:
        ended = event(50, "JOB_ENDED", job=JOB, state="COMPLETED")
        assert absences(FIRST, lost(20), placed(30, 2, "w1"), ended) == []

    def test_a_short_job_of_an_earlier_release_does_not_last(self) -> None:
        ended = event(24, "JOB_ENDED", job=JOB, state="CANCELLED")
        assert absences(FIRST, lost(15), placed(20, 2, "w1"), ended) == []

    def test_lines_tell_which_jobs_last(self) -> None:
        events = [FIRST, lost(20), placed(30, 2, "w1")]
        assert absences(*events, waits(25, "lease", long_running=False)) == []


class TestReasons:
    def reasons(self, *events: dict[str, Any]) -> list[str]:
        found = lab.find_absences([*events, END], 4.0)
        (absence,) = (absence for absence in found if absence.task == TASK)
        return lab.tell_reasons([*events, END], absence)

    def test_lines_of_waits_tell_them(self) -> None:
        first = waits(21, "lease of an earlier owner", left_s=10.2)
        other = waits(22, "no room", first=[4])
        second = waits(24, "open VM order", workers=[])
        ended = wait_ended(28.4, spent_s={"lease of an earlier owner": 3.0})
        events = [FIRST, lost(20), first, other, second, placed(28, 2, "w1"), ended]
        assert self.reasons(*events) == [
            "21.000 lease of an earlier owner, at most 10.2 s"
            " (since 20.000, epoch 1 for 9.0 s, w0)",
            "24.000 open VM order (since 23.000, epoch 1 for 9.0 s)",
            "28.400 ended: lease of an earlier owner 3.0 s",
        ]

    def test_older_lines_tell_them_in_logs_of_earlier_releases(self) -> None:
        events = [FIRST, silent(20.5), taken(22, 2)]
        events += [silent(22.5, 2, earlier_lease_s=10.7), lost(33, 2)]
        events += [placed(33, 2, "w1", epoch=2)]
        assert self.reasons(*events) == [
            "20.500 worker silent, earlier lease 0.0 s, epoch 1",
            "22.000 cell taken, epoch 2, waits 11.21 s for leases",
            "22.500 worker silent, earlier lease 10.7 s, epoch 2",
            "33.000 worker given up: earlier lease expired",
        ]


class TestProgram:
    def test_absences_are_printed_with_reasons_and_lines(
        self, tmp_path: Path, capsys, monkeypatch
    ) -> None:
        events = [FIRST, silent(20.5), lost(27), placed(27, 2, "w1"), END]
        lines = [f"  {line['timestamp'] - 9} m0 {json.dumps(line)}" for line in events]
        path = tmp_path / "m.log"
        path.write_text("\n".join([*lines, "no event", lines[0][:-5]]))
        monkeypatch.setattr("sys.argv", ["find_waits.py", "--over", "6", str(path)])
        lab.main()
        printed = capsys.readouterr().out.splitlines()
        assert printed[0] == (
            f"11.000 {TASK}: away 7.000 s"
            " (from WORKER_LOST, on w0, lease until 11.500; until TASK_PLACED)"
        )
        assert printed[2] == "  - 18.000 worker given up: earlier lease expired"
        names = [line.split()[2] for line in printed[3:-1]]
        assert names == ["WORKER_SILENT", "WORKER_LOST", "TASK_PLACED"]
        assert printed[-1] == "1 absences in 5 events; 1 lines are cut"
