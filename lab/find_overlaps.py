"""Finds tasks with two attempts at once, and steps with too many tasks away, in logs.

Run ``python lab/find_overlaps.py [--given-up] [FILE ...]`` on the logs of all managers;
standard input by default. A line may have a prefix before its JSON. The findings are
suspicions: they rest on what the managers logged, each with the lines that led there.
An attempt that goes on after its owner gave it up is found without ``--given-up`` only
if a later line shows it at work.

An attempt that is done has no line of its own; its end is taken from ``JOB_ENDED``. A
task that is placed again after it was done is thus found as one whose earlier attempt
has no end. Attempts that ``TASK_COPIED`` allows are not reported. Logs of earlier
releases do not list the attempts of ``TASK_PLACED``; an attempt begins there with the
first line that names it, so most attempts are not seen at all.
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from chivetray.trace import Subject, read_events, render, select_events

Event = dict[str, Any]

NO_END = "no end of the earlier attempt is known"
GIVEN_UP = "the earlier attempt was only given up"
AT_WORK = "the earlier attempt is at work"
DONE_BEFORE = "the task was done before"
TOO_MANY_AWAY = "too many tasks of the step are away"
VM_IN_USE = "a VM is ordered whose worker has tasks"

# Lines after which an attempt does not run.
END_EVENTS = frozenset({"TASK_ENDED_EARLY", "TASK_VANISHED", "END_IGNORED"})

# Lines with which an owner takes attempts for ended that no worker has reported.
GIVING_UP_EVENTS = frozenset({"WORKER_LOST", "WORKER_REBORN", "ATTEMPT_OUTLIVED"})

# Lines of attempts whose start was or may have been sent.
START_EVENTS = frozenset(
    {"ORDER_FAILED", "START_CONFIRMED", "TASK_COPIED", "TASK_EVACUATED"}
)

# Answers to a start after which the owner takes the attempt for not started.
REFUSALS = frozenset({"malformed", "not sent", "room", "ticket", "unhealthy"})


@dataclass(frozen=True, slots=True)
class Finding:
    """A suspicion.

    :ivar subject: identifier of a task or step, or the name of a VM
    :ivar lines: events that led there, in order
    """

    reason: str
    subject: str
    about: str
    at_s: float
    lines: list[Event]


@dataclass(slots=True)
class Attempt:
    """An attempt by what the log says.

    :ivar ended_by: name of the event that ended it, or gave it up
    :ivar copied: whether the step allows another attempt beside it
    :ivar unanswered: whether a start order was not answered
    """

    worker: str
    placed_at_s: float
    ended_by: str = ""
    copied: bool = False
    unanswered: bool = False

    @property
    def may_run(self) -> bool:
        return not self.ended_by


class AttemptLog:
    """Attempts of open jobs, as the log tells them.

    :ivar attempts: attempts by number, by task
    :ivar done: tasks with an end "done" that had no effect
    :ivar limits: greatest number of tasks that may be away, by step, as far as known
    """

    def __init__(self) -> None:
        self.attempts: dict[str, dict[int, Attempt]] = defaultdict(dict)
        self.done: set[str] = set()
        self.limits: dict[str, int] = {}
        self._epochs: dict[str, int] = {}
        self._cells: dict[str, str] = {}

    def is_outdated(self, event: Event) -> bool:
        """Return whether a former owner of a cell logged an event.

        What it decides is not stored.
        """
        job_id = event.get("job") or str(event.get("task", "")).partition(".")[0]
        cell = event.get("cell") or self._cells.get(job_id, "")
        return event.get("epoch", sys.maxsize) < self._epochs.get(cell, 0)

    def apply(self, event: Event) -> None:
        """Record what an event says."""
        name, task = event.get("message_type"), event.get("task", "")
        at_s = event["timestamp"]
        if name == "CELL_TAKEN":
            self._epochs[event["cell"]] = event["epoch"]
        if "job" in event and "cell" in event:
            self._cells[event["job"]] = event["cell"]
        if name == "JOB_ENDED":
            self._forget_job(event["job"])
            return
        if self.is_outdated(event):
            return
        for placed_task, number, worker in find_started(event):
            if number not in self.attempts[placed_task] or name == "TASK_PLACED":
                self.attempts[placed_task][number] = Attempt(worker, at_s)
        if name in GIVING_UP_EVENTS:
            for attempt in self._find_given_up(event):
                attempt.ended_by = attempt.ended_by or name
        attempt = self.attempts.get(task, {}).get(event.get("attempt"))
        if attempt is None:
            return
        if name in END_EVENTS:
            attempt.ended_by = name
        elif name == "TASK_COPIED":
            attempt.copied = True
        elif name == "ORDER_FAILED" and event["order"] == "start":
            if event["verdict"] == "no answer":
                attempt.unanswered = True
            elif event["verdict"] in REFUSALS and not attempt.unanswered:
                attempt.ended_by = name
        if name == "END_IGNORED" and event["how"] == "done":
            self.done.add(task)
        if name in ("TASK_EVACUATED", "STOP_WITHDRAWN"):
            self.limits[step_of(task)] = max(1, event["limit"])

    def running(self, task: str) -> list[tuple[int, Attempt]]:
        """Return the attempts of a task that may run, with their numbers."""
        found = self.attempts.get(task, {})
        return [(number, a) for number, a in found.items() if a.may_run]

    def tasks_on(self, worker: str) -> list[str]:
        """Return the tasks that may run on a worker."""
        return [
            task
            for task in self.attempts
            if any(attempt.worker == worker for _, attempt in self.running(task))
        ]

    def away(self, step: str) -> list[str]:
        """Return the tasks of a step that were placed once and do not run."""
        return [
            task
            for task in self.attempts
            if step_of(task) == step and not self.running(task)
        ]

    def _find_given_up(self, event: Event) -> Iterator[Attempt]:
        if event["message_type"] == "ATTEMPT_OUTLIVED":
            rows = [[event["task"], event["attempt"], event["phase"]]]
        elif "attempts" in event:
            rows = event["attempts"]
        else:
            # Earlier releases name the worker only.
            for task in self.tasks_on(event["worker"]):
                for _, attempt in self.running(task):
                    if attempt.worker == event["worker"]:
                        yield attempt
            return
        for task, number, phase in rows:
            stays = event["message_type"] == "WORKER_REBORN" and phase == "PLACED"
            attempt = self.attempts.get(task, {}).get(number)
            if attempt is not None and not stays:
                yield attempt

    def _forget_job(self, job_id: str) -> None:
        for task in [t for t in self.attempts if t.startswith(f"{job_id}.")]:
            del self.attempts[task]


def step_of(task: str) -> str:
    """Return the identifier of a task's step."""
    return task.rpartition(".")[0]


def find_started(event: Event) -> Iterator[tuple[str, int, str]]:
    """Yield task, attempt and worker of the attempts that an event places or starts."""
    name = event.get("message_type")
    if name == "TASK_PLACED":
        for occurrence, step, index, attempt, worker, _ in event.get("placed", []):
            yield f"{event['job']}.{occurrence}.{step}.{index}", attempt, worker
    elif name in START_EVENTS and event.get("order", "start") == "start":
        yield event["task"], event["attempt"], event["worker"]


def find_overlaps(events: list[Event], given_up: bool = False) -> list[Finding]:
    """Find tasks that may have had two attempts at once, or ran again.

    :param given_up: report also attempts that were given up before the next one
    """
    log, findings = AttemptLog(), []
    seen: set[tuple[str, int, str]] = set()
    for event in events:
        if not log.is_outdated(event):
            for task, earlier, later, reason in _check_attempts(log, event):
                if (task, earlier, reason) in seen or (
                    reason == GIVEN_UP and not given_up
                ):
                    continue
                seen.add((task, earlier, reason))
                first = log.attempts[task].get(earlier)
                at_s = event["timestamp"]
                lines = lines_of(
                    events, task, first.placed_at_s if first else 0.0, at_s
                )
                about = f"attempts {earlier} and {later}"
                findings.append(Finding(reason, task, about, at_s, lines))
        log.apply(event)
    return findings


def _check_attempts(
    log: AttemptLog, event: Event
) -> Iterator[tuple[str, int, int, str]]:
    """Yield task, earlier attempt, later attempt and reason for each suspicion."""
    name = event.get("message_type")
    for task, number, _ in find_started(event):
        known = log.attempts.get(task, {})
        if number in known and name == "TASK_PLACED":
            # The first placement was not stored, since its number is used again.
            continue
        if number not in known and task in log.done:
            yield task, max(known, default=0), number, DONE_BEFORE
        for earlier, attempt in known.items():
            if number in known or earlier >= number or attempt.copied:
                continue
            if attempt.may_run:
                yield task, earlier, number, NO_END
            elif attempt.ended_by in GIVING_UP_EVENTS:
                yield task, earlier, number, GIVEN_UP
    if name in ("ATTEMPT_UNKNOWN", "START_CONFIRMED"):
        task, number = event["task"], event["attempt"]
        attempt = log.attempts.get(task, {}).get(number)
        if attempt is not None and attempt.copied:
            return
        for later, other in log.running(task):
            if later > number and not other.copied:
                yield task, number, later, AT_WORK


def find_outages(events: list[Event]) -> list[Finding]:
    """Find orders that leave more tasks of a step away than the step allows.

    The limit of a step is known once a task of it was evacuated. The number of tasks
    away is the greater one of what the order's line and what the lines before it say.
    """
    log, findings = AttemptLog(), []
    for event in events:
        name, at_s = event.get("message_type"), event["timestamp"]
        if name == "TASK_EVACUATED" and not event["draining"]:
            step, allowed = step_of(event["task"]), max(1, event["limit"])
            away = {*log.away(step), event["task"]}
            count = max(len(away), event["unavailable_count"] + 1)
            if count > allowed:
                findings.append(_tell_outage(events, step, at_s, count, allowed))
        if name == "VM_ORDERED" and event.get("tasks", 0) > 0:
            tasks = log.tasks_on(event["worker"])
            about = f"{event['tasks']} tasks, {event['order']} of {event['worker']}"
            findings.append(Finding(VM_IN_USE, event["vm"], about, at_s, [event]))
            for step in sorted({step_of(task) for task in tasks} & set(log.limits)):
                away = {*log.away(step), *(t for t in tasks if step_of(t) == step)}
                allowed = log.limits[step]
                if len(away) > allowed:
                    findings.append(
                        _tell_outage(events, step, at_s, len(away), allowed)
                    )
        log.apply(event)
    return findings


def _tell_outage(
    events: list[Event], step: str, at_s: float, count: int, allowed: int
) -> Finding:
    about = f"{count} away, {allowed} allowed"
    return Finding(TOO_MANY_AWAY, step, about, at_s, lines_of(events, step, 0.0, at_s))


def lines_of(
    events: Iterable[Event], subject: str, from_s: float, to_s: float
) -> list[Event]:
    """Return the events of a task or step between two times."""
    selected = [event for event in events if from_s <= event["timestamp"] <= to_s]
    return list(select_events(selected, Subject.parse(subject)))


def read_lines(paths: list[Path]) -> Iterator[str]:
    """Yield the lines of files with their names, or of standard input."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            yield f"{path.stem} {line}" if len(paths) > 1 else line


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("files", nargs="*", type=Path, metavar="FILE")
    parser.add_argument(
        "--given-up",
        action="store_true",
        help="report also attempts that were given up before the next one",
    )
    arguments = parser.parse_args()
    lines = list(read_lines(arguments.files))
    events = [event for event in read_events(lines) if "timestamp" in event]
    cut = sum('"number":' in line for line in lines) - len(events)
    findings = find_overlaps(events, arguments.given_up) + find_outages(events)
    for finding in sorted(findings, key=lambda found: found.at_s):
        print(f"{finding.at_s:.3f} {finding.subject}: {finding.reason}", end="")
        print(f" ({finding.about})")
        for event in finding.lines:
            print(f"    {render(event)}")
    print(f"{len(findings)} findings in {len(events)} events; {cut} lines are cut")


if __name__ == "__main__":
    main()
