from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from chivetray.exceptions import FaultsError
from chivetray.fleet.checker import check_files

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@pytest.fixture
def check(tmp_path):
    """Return a function that changes the Régie example and returns the codes."""

    def run(change):
        objects = yaml.safe_load((EXAMPLES / "regie.yaml").read_text())
        change(objects)
        path = tmp_path / "objects.yaml"
        path.write_text(yaml.safe_dump(objects))
        try:
            check_files([path])
        except FaultsError as error:
            return [fault.code.number for fault in error.faults]
        return []

    return run


class TestExamples:
    @pytest.mark.parametrize(
        ("name", "zones", "vms"), [("consorzio", 4, 40), ("regie", 3, 30)]
    )
    def test_example_has_no_fault(self, name, zones, vms):
        checked = check_files([EXAMPLES / f"{name}.yaml"])
        assert len(checked.objects.zones) == zones
        assert len(checked.objects.vms) == vms
        assert len(checked.objects.pools) == 5


class TestFaults:
    def test_five_faults_are_all_found(self, check):
        def change(objects):
            objects["vms"][0]["pool"] = "nowhere"
            objects["vms"][2]["address"] = objects["vms"][1]["address"]
            objects["services"][0]["deadline"] = 5
            objects["budgets"][0]["max_unavailable_vms"] = 6
            objects["waves"][0]["window_end"] = "2026-12-12T18:05:00Z"

        assert {311, 314, 307, 315, 316} <= set(check(change))

    @pytest.mark.parametrize(
        ("code", "change"),
        [
            (310, lambda o: o["pools"].append(dict(o["pools"][0]))),
            (311, lambda o: o["services"][0].update(budget="none")),
            (312, lambda o: o["waves"][0]["pools"].append("timber")),
            (313, lambda o: o["vms"].append({**o["vms"][0], "pool": "paint"})),
            (315, lambda o: o["budgets"][0].update(min_available_vms=7)),
            (316, lambda o: o["budgets"][0].update(max_unavailable_vms=0)),
            (316, lambda o: o["waves"][0].update(drain_s=86400)),
            (317, lambda o: o["zones"].append({"name": "empty"})),
            (318, lambda o: o["services"][0].update(path_prefixes=[])),
            (318, lambda o: o["services"][0].update(path_prefixes=["/paint"])),
            (308, lambda o: o["services"][0].update(path_prefixes=["timber"])),
            (308, lambda o: o["waves"][0].update(window_end="2026-12-14T00:00:00")),
            (319, lambda o: o["pools"][0].update(floor_vms=7)),
            (320, lambda o: o["budgets"].append({**o["budgets"][0], "name": "b"})),
        ],
    )
    def test_fault_is_found(self, check, code, change):
        assert code in check(change)
