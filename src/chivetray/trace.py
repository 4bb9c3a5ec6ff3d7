"""The story of a job from the logs of managers."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

# Fields of every line that say nothing of the job.
_PLUMBING = ("task_uuid", "task_level", "timestamp", "message_type", "number")


def find_events(lines: Iterable[str], job_id: str) -> Iterator[dict[str, Any]]:
    """Yield the events that name a job, or a change of owner of its cell.

    Lines may carry a prefix before their JSON, such as the name of a process.
    """
    events = [event for line in lines if (event := _parse(line)) is not None]
    events.sort(key=lambda event: float(event.get("timestamp", 0.0)))
    cells = {
        event["cell"] for event in events if _names(event, job_id) and "cell" in event
    }
    owners = ("CELL_TAKEN", "CELL_LEFT", "CELL_SUSPECTED", "CELL_YIELDED")
    named = [i for i, event in enumerate(events) if _names(event, job_id)]
    if not named:
        return
    for event in events[named[0] : named[-1] + 1]:
        change = event.get("message_type") in owners and event.get("cell") in cells
        if change or _names(event, job_id):
            yield event


def render(event: dict[str, Any]) -> str:
    """Return one line for a person."""
    fields = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in _PLUMBING
    )
    at_s = float(event.get("timestamp", 0.0))
    return f"{at_s:.3f} {event.get('number')} {event.get('message_type')} {fields}"


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    prefix = line[:start].strip()
    try:
        event = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    if not isinstance(event, dict):
        return None
    return {**event, "from": prefix} if prefix else event


def _names(event: dict[str, Any], job_id: str) -> bool:
    if event.get("job") == job_id:
        return True
    return str(event.get("task", "")).startswith(f"{job_id}.")
