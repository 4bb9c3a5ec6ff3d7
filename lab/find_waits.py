"""Finds long-running tasks that were away for long, and what they waited for, in logs.

Run ``python lab/find_waits.py [--over S] [--all] [FILE ...]`` on the logs of all managers;
standard input by default. A line may have a prefix before its JSON; a time in it, as in
logs of the bench, replaces the time of day in what is shown. A task is away from
the end of its attempt, or the silence of its worker, until its next placement; what
the managers did not log isn't known here, so the times are estimates. A task may have
run on while its worker was silent: ``lease until`` tells how long at most.

Each absence is shown with the lines that led there, and with its reasons: by the lines
``TASK_WAITS`` and ``TASK_WAIT_ENDED``, or by older lines in logs of earlier releases.
Those do not tell which jobs last: a job without an end other than a cancellation, that is
open for longer than 15 s, is taken for one.
"""

from __future__ import annotations

import argparse
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from statistics import median
from typing import Any

from find_overlaps import lines_of, read_lines, step_of

from chivetray.trace import Subject, read_events, render

Event = dict[str, Any]

# Time for which a job is open that is taken for long-running, in logs of earlier releases.
LASTING_AFTER_S = 15.0

# Time within which a worker that answers again tells of the attempts that have ended.
REPORT_S = 2.0

# Time before an absence from which its lines are shown.
LINES_BEFORE_S = 1.5

END_EVENTS = frozenset({"TASK_ENDED_EARLY", "TASK_VANISHED", "STOP_CONFIRMED"})
WAIT_EVENTS = frozenset({"TASK_WAITS", "TASK_WAIT_ENDED"})

STILL_AWAY = "still away at the end of the log"


@dataclass(slots=True)
class Absence:
    """A task that is away.

    :ivar began: name of the event with which it began
    :ivar worker: worker of the attempt before, empty for the first
    :ivar lease_until_s: time until which the attempt may have run at the worker
    :ivar ended: event with which it ended
    """

    task: str
    from_s: float
    began: str
    worker: str = ""
    lease_until_s: float | None = None
    to_s: float = 0.0
    ended: str = ""

    @property
    def away_s(self) -> float:
        return self.to_s - self.from_s


@dataclass(slots=True)
class Silence:
    """Silence of a worker towards the owner of its cell.

    :ivar until_s: time at which it ended, or its owner was replaced; 0 before
    """

    since_s: float
    lease_until_s: float | None
    until_s: float = 0.0


@dataclass(slots=True)
class Attempts:
    """Newest attempts of tasks, and which of the tasks are away.

    :ivar newest: number and worker of the newest attempt, by task
    :ivar away: absences that have not ended, by task
    :ivar silences: last silence by worker
    """

    newest: dict[str, tuple[int, str]] = field(default_factory=dict)
    away: dict[str, Absence] = field(default_factory=dict)
    silences: dict[str, Silence] = field(default_factory=dict)
    accepted_at_s: dict[str, float] = field(default_factory=dict)
    ended: list[Absence] = field(default_factory=list)
    _epochs: dict[str, int] = field(default_factory=dict)
    _cells: dict[str, str] = field(default_factory=dict)

    def apply(self, event: Event) -> None:
        """Record what an event says, unless a former owner logged it."""
        name, at_s = event.get("message_type"), event["timestamp"]
        if name == "CELL_TAKEN":
            self._replace_owner(event["cell"], event["epoch"], at_s)
        if "cell" in event and ("job" in event or "worker" in event):
            self._cells[event.get("job") or event["worker"]] = event["cell"]
        if name == "JOB_ACCEPTED":
            self.accepted_at_s.setdefault(event["job"], at_s)
        if name == "JOB_ENDED":
            for task in [t for t in self.newest if t.startswith(f"{event['job']}.")]:
                self.return_task(task, at_s, name)
                del self.newest[task]
        if self._is_outdated(event):
            return
        if name == "TASK_PLACED":
            self._place(event, at_s)
        elif name == "WORKER_SILENT":
            self._silence(event, at_s)
        elif name == "WORKER_ANSWERS":
            self._hear(event["worker"], at_s)
        elif name in ("WORKER_LOST", "WORKER_REBORN"):
            for task, number, phase in event.get("attempts", []):
                is_known = self.newest.get(task, (0, ""))[0] == number
                if is_known and phase in ("RUNNING", "STOPPING"):
                    self._leave(task, at_s, name)
        elif name == "ATTEMPT_OUTLIVED" or name in END_EVENTS:
            task, number = event["task"], event["attempt"]
            if self.newest.get(task, (0, ""))[0] == number and (
                event.get("verdict", "ok") in ("ok", "old")
            ):
                self._leave(task, at_s, name)
        elif name == "TASK_WAIT_ENDED" and event["phase"] == "RUNNING":
            for task in tasks_of_wait(event):
                self.return_task(task, at_s, name)

    def return_task(self, task: str, at_s: float, by: str) -> None:
        """End the absence of a task, if it is away."""
        absence = self.away.pop(task, None)
        if absence is not None:
            absence.to_s, absence.ended = at_s, by
            self.ended.append(absence)

    def _is_outdated(self, event: Event) -> bool:
        subject = event.get("job") or str(event.get("task", "")).partition(".")[0]
        cell = event.get("cell") or self._cells.get(subject or event.get("worker", ""))
        known = self._epochs.get(cell or "", 0)
        return bool(event.get("epoch", known) < known)

    def _replace_owner(self, cell: str, epoch: int, at_s: float) -> None:
        """Forget which workers are silent: the new owner tells of those it polls."""
        self._epochs[cell] = max(epoch, self._epochs.get(cell, 0))
        for worker in self.silences:
            if self._cells.get(worker) == cell:
                self._hear(worker, at_s)

    def _place(self, event: Event, at_s: float) -> None:
        for occurrence, step, index, number, worker, _ in event.get("placed", []):
            task = f"{event['job']}.{occurrence}.{step}.{index}"
            if task not in self.newest:
                self._add_first(task, step, event, at_s)
            elif task not in self.away and self.newest[task][0] < number:
                self._leave(task, at_s, "no line")
            self.return_task(task, at_s, "TASK_PLACED")
            self.newest[task] = (number, worker)

    def _add_first(self, task: str, step: int, event: Event, at_s: float) -> None:
        """Add the wait of a task for its first placement."""
        accepted_at_s = self.accepted_at_s.get(event["job"])
        if "away_s" in event:
            # The longest of the tasks that were placed together.
            self.away[task] = Absence(task, at_s - event["away_s"], "ready")
        elif accepted_at_s is not None and step == 0:
            self.away[task] = Absence(task, accepted_at_s, "JOB_ACCEPTED")

    def _silence(self, event: Event, at_s: float) -> None:
        worker, since_s = event["worker"], at_s - event.get("silent_s", 0.0)
        left_s = event.get("earlier_lease_s", 0.0)
        if event.get("deadline_ms") and event.get("clock_ms") is not None:
            own_left_s = (event["deadline_ms"] - event["clock_ms"]) / 1000
            left_s = max(left_s, own_left_s)
        before = self.silences.get(worker)
        if before is not None and since_s - before.until_s < REPORT_S:
            since_s = min(since_s, before.since_s)
        self.silences[worker] = Silence(since_s, at_s + left_s)
        for task, (_, task_worker) in self.newest.items():
            if task_worker == worker:
                self._leave(task, since_s, "WORKER_SILENT")

    def _hear(self, worker: str, at_s: float) -> None:
        """Take the tasks of a worker for running that were away by its silence."""
        silence = self.silences.get(worker)
        if silence is not None and not silence.until_s:
            silence.until_s = at_s
        for task, absence in list(self.away.items()):
            if absence.worker == worker and absence.began == "WORKER_SILENT":
                del self.away[task]

    def _leave(self, task: str, at_s: float, by: str) -> None:
        number_and_worker = self.newest.get(task)
        if number_and_worker is None:
            return
        worker = number_and_worker[1]
        if task in self.away:
            absence = self.away[task]
            # An end that is told after a silence is no longer uncertain.
            absence.began = by if absence.began == "WORKER_SILENT" else absence.began
            return
        silence = self.silences.get(worker)
        absence = Absence(task, at_s, by, worker)
        if silence is not None and (
            not silence.until_s or at_s - silence.until_s < REPORT_S
        ):
            absence.from_s = min(at_s, silence.since_s)
            absence.lease_until_s = silence.lease_until_s
        self.away[task] = absence


def tasks_of_wait(event: Event) -> list[str]:
    """Return the tasks that a line of a wait names."""
    step = f"{event['job']}.{event['occurrence']}.{event['step']}"
    return [f"{step}.{index}" for index in event["first"]]


def find_lasting_jobs(events: Iterable[Event]) -> set[str]:
    """Return the jobs with long-running tasks, as far as the log tells."""
    lasting, told = set(), set()
    first_at_s: dict[str, float] = {}
    last_at_s: dict[str, float] = {}
    done: set[str] = set()
    end_s = 0.0
    for event in events:
        name, end_s = event.get("message_type"), event["timestamp"]
        job_id = event.get("job") or str(event.get("task", "")).partition(".")[0]
        if "long_running" in event:
            told.add(job_id)
            if event["long_running"]:
                lasting.add(job_id)
        if name == "TASK_EVACUATED":
            lasting.add(job_id)
        elif name == "TASK_PLACED":
            first_at_s.setdefault(job_id, end_s)
        elif name == "JOB_ENDED":
            last_at_s[job_id] = end_s
            if event.get("state") != "CANCELLED":
                done.add(job_id)
    for job_id, at_s in first_at_s.items():
        open_s = last_at_s.get(job_id, end_s) - at_s
        if job_id not in done | told and open_s > LASTING_AFTER_S:
            lasting.add(job_id)
    return lasting - done


def find_absences(
    events: list[Event], over_s: float, all_jobs: bool = False
) -> list[Absence]:
    """Return the absences of long-running tasks that are longer than a time.

    :param all_jobs: return those of all other tasks, too
    """
    lasting = find_lasting_jobs(events)
    attempts = Attempts()
    for event in events:
        attempts.apply(event)
    end_s = events[-1]["timestamp"] if events else 0.0
    for task in list(attempts.away):
        attempts.return_task(task, end_s, STILL_AWAY)
    known = {absence.task for absence in attempts.ended}
    found = [*attempts.ended, *_find_never_placed(events, attempts, known)]
    return [
        absence
        for absence in found
        if absence.away_s > over_s
        and (all_jobs or absence.task.partition(".")[0] in lasting)
    ]


def _find_never_placed(
    events: list[Event], attempts: Attempts, known: set[str]
) -> Iterator[Absence]:
    """Yield the absences of tasks that only lines of waits name."""
    never: dict[str, Absence] = {}
    for event in events:
        if event.get("message_type") not in WAIT_EVENTS:
            continue
        at_s = event["timestamp"]
        for task in tasks_of_wait(event):
            if task in known or task in attempts.newest:
                continue
            from_s = at_s - event["away_s"]
            absence = never.setdefault(task, Absence(task, from_s, "ready"))
            absence.to_s, absence.ended = at_s, event["message_type"]
            if event["message_type"] == "TASK_WAITS":
                absence.to_s, absence.ended = events[-1]["timestamp"], STILL_AWAY
    yield from never.values()


def tell_reasons(events: Iterable[Event], absence: Absence) -> list[str]:
    """Return what a task waited for, by the lines of waits or by older lines."""
    subject = Subject.parse(absence.task)
    waits, older = [], []
    for event in events:
        at_s, name = event["timestamp"], event.get("message_type")
        if not absence.from_s - 0.1 <= at_s <= absence.to_s + REPORT_S:
            continue
        if name in WAIT_EVENTS and _concerns_wait(event, subject):
            since_s = at_s - event["away_s"]
            if name == "TASK_WAITS" and at_s <= absence.to_s:
                left = f", at most {event['left_s']} s" if "left_s" in event else ""
                workers = ", ".join(event["workers"])
                waits.append(
                    f"{at_s:.3f} {event['reason']}{left}"
                    f" (since {since_s:.3f}, epoch {event['epoch']}"
                    f" for {event['owned_s']} s{', ' if workers else ''}{workers})"
                )
            elif name == "TASK_WAIT_ENDED" and since_s < absence.to_s:
                spent = ", ".join(f"{r} {s} s" for r, s in event["spent_s"].items())
                waits.append(f"{at_s:.3f} ended: {spent}")
        elif at_s > absence.to_s:
            continue
        elif name == "WORKER_LOST" and any(
            row[0] == absence.task for row in event.get("attempts", [])
        ):
            older.append(f"{at_s:.3f} worker given up: {event['reason']}")
        elif name == "WORKER_SILENT" and event["worker"] == absence.worker:
            earlier_s = event.get("earlier_lease_s", 0.0)
            older.append(
                f"{at_s:.3f} worker silent, earlier lease {earlier_s} s,"
                f" epoch {event.get('epoch')}"
            )
        elif name == "CELL_TAKEN" and event["cell"] in _cells_of(events, subject):
            older.append(
                f"{at_s:.3f} cell taken, epoch {event['epoch']},"
                f" waits {event['earlier_lease_s']} s for leases"
            )
    return waits or older


def _concerns_wait(event: Event, subject: Subject) -> bool:
    if event["job"] != subject.job_id:
        return False
    occurrence, step, index = subject.key
    if (event["occurrence"], event["step"]) != (occurrence, step):
        return False
    return index in event["first"] or len(event["first"]) < event["tasks"]


def _cells_of(events: Iterable[Event], subject: Subject) -> set[str]:
    return {
        event["cell"]
        for event in events
        if event.get("job") == subject.job_id and "cell" in event
    }


def shift_times(events: list[Event]) -> None:
    """Count the times of events as the prefixes of their lines do, if they have times."""
    offsets_s = []
    for event in events:
        for word in str(event.get("from", "")).split():
            try:
                offsets_s.append(event["timestamp"] - float(word))
            except ValueError:
                continue
    if offsets_s:
        offset_s = median(offsets_s)
        for event in events:
            event["timestamp"] -= offset_s


def gather(absences: Iterable[Absence]) -> list[list[Absence]]:
    """Gather absences of one step that began and ended together, longest first."""
    groups: dict[tuple[object, ...], list[Absence]] = defaultdict(list)
    for absence in absences:
        moment = (round(absence.from_s, 1), round(absence.to_s, 1))
        groups[step_of(absence.task), absence.worker, moment].append(absence)
    return sorted(groups.values(), key=lambda group: -group[0].away_s)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("files", nargs="*", type=Path, metavar="FILE")
    parser.add_argument(
        "--over", type=float, default=4.0, metavar="S", help="shortest absence shown"
    )
    parser.add_argument("--all", action="store_true", help="tasks of all jobs")
    parser.add_argument(
        "--brief", action="store_true", help="without the lines that led there"
    )
    arguments = parser.parse_args()
    lines = list(read_lines(arguments.files))
    events = [event for event in read_events(lines) if "timestamp" in event]
    cut = sum('"number":' in line for line in lines) - len(events)
    shift_times(events)
    absences = find_absences(events, arguments.over, arguments.all)
    for group in gather(absences):
        first = group[0]
        more = f" and {len(group) - 1} more of its step" if len(group) > 1 else ""
        print(
            f"{first.from_s:.3f} {first.task}{more}: away {first.away_s:.3f} s", end=""
        )
        worker = f", on {first.worker}" if first.worker else ""
        lease = ""
        if first.lease_until_s is not None:
            lease = f", lease until {first.lease_until_s:.3f}"
        print(f" (from {first.began}{worker}{lease}; until {first.ended})")
        for reason in tell_reasons(events, first):
            print(f"  - {reason}")
        if arguments.brief:
            continue
        for event in lines_of(events, first.task, -inf, first.to_s):
            if event["timestamp"] >= first.from_s - LINES_BEFORE_S:
                print(f"    {render(event)}")
    print(f"{len(absences)} absences in {len(events)} events; {cut} lines are cut")


if __name__ == "__main__":
    main()
