"""Extracts the events of a job from the logs of managers."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

# Fields that every line has and that say nothing about the job.
_COMMON_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type", "number")


def find_events(lines: Iterable[str], job_id: str) -> Iterator[dict[str, Any]]:
    """Yield the events of a job, and the owner changes of its cell among them.

    A line may have a prefix before its JSON, such as the name of a process.
    """
    events = [event for line in lines if (event := _parse(line)) is not None]
    events.sort(key=lambda event: float(event.get("timestamp", 0.0)))
    cells = {
        event["cell"]
        for event in events
        if _concerns_job(event, job_id) and "cell" in event
    }
    owner_events = ("CELL_TAKEN", "CELL_LEFT", "CELL_SUSPECTED", "CELL_YIELDED")
    indexes = [
        index for index, event in enumerate(events) if _concerns_job(event, job_id)
    ]
    if not indexes:
        return
    for event in events[indexes[0] : indexes[-1] + 1]:
        is_owner_change = (
            event.get("message_type") in owner_events and event.get("cell") in cells
        )
        if is_owner_change or _concerns_job(event, job_id):
            yield event


def render(event: dict[str, Any]) -> str:
    """Format an event as one readable line."""
    fields = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in _COMMON_FIELDS
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


def _concerns_job(event: dict[str, Any], job_id: str) -> bool:
    if event.get("job") == job_id:
        return True
    return str(event.get("task", "")).startswith(f"{job_id}.")
