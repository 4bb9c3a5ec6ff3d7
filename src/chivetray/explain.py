"""Describes in sentences what an entry knows about an object."""

from __future__ import annotations

from dataclasses import asdict

from chivetray.fleet.revision import RevisionState
from chivetray.fleet.vm_states import VmStates


def explain_name(
    name: str, revisions: RevisionState, states: VmStates, ejected: set[str]
) -> list[str]:
    """Return sentences about all objects that have a name."""
    lines = []
    for kind, item in revisions.catalog.find(name):
        lines.append(f"{kind[:-1]} {name} in revision {revisions.number}:")
        for field, value in asdict(item).items():
            lines.append(f"  {field}: {value}")
    if name in states.unavailable():
        lines.append("it is leaving, gone or drained: it gets no new requests")
    if name in ejected:
        lines.append(
            "it failed several requests in a row and is ejected or being probed"
        )
    return lines
