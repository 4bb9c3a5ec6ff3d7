from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import pytest
from helpers import Fleet, FleetPlan
from hypothesis import settings

from chivetray import events

# The same verdict every time; lab runs search with other seeds.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


# Tests that KNOWN-RED.txt lists, each as ``test: ID`` on a line of its own, or as
# ``flaky: ID`` if they fail in some runs only.
KNOWN_RED = re.findall(
    r"^\s+(test|flaky): (\S+)$",
    (Path(__file__).parent.parent / "KNOWN-RED.txt").read_text(),
    re.MULTILINE,
)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes must leave the list."""
    strict_by_id = {node_id: kind == "test" for kind, node_id in KNOWN_RED}
    for item in items:
        if item.nodeid in strict_by_id:
            strict = strict_by_id[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=strict))


@pytest.fixture(scope="class")
def start_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator:
    """Return a function that starts a fleet; all fleets end with the class."""
    fleets: list[Fleet] = []

    def start(plan: FleetPlan) -> Fleet:
        fleet = Fleet(plan, tmp_path_factory.mktemp("fleet"))
        fleets.append(fleet)
        fleet.start()
        return fleet

    yield start
    for fleet in fleets:
        fleet.close()


class LoggedEvents(list[tuple[events.Event, dict[str, Any]]]):
    """Events in the order in which they were logged."""

    def of(self, event: events.Event) -> list[dict[str, Any]]:
        """Return the fields of each line of an event."""
        return [fields for logged, fields in self if logged == event]


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> LoggedEvents:
    """Return the events that the test logs."""
    found = LoggedEvents()

    def observe(event: events.Event, fields: Mapping[str, Any]) -> None:
        found.append((event, dict(fields)))

    monkeypatch.setattr(events, "_observers", [observe])
    return found
