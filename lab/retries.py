"""Retries in an outage: with and without a budget.

Run ``python lab/retries.py``.
"""

from __future__ import annotations

from common import finish_load, print_rows, running_fleet, start_load
from helpers import FleetPlan

VARIANTS = ("eager-retry", "chosen")


def run_variant(variant: str) -> dict:
    plan = FleetPlan(endpoints_per_zone=4, settings={"outliers": {"ejection_s": 0.5}})
    with running_fleet(plan, variant) as fleet:
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, truncate=True)
        report = finish_load(start_load(fleet.url("zone-1-e1"), 200, 5))
        attempts = fleet.metric("zone-1-e1", "chivetray_attempts_total")
    return {
        "way": variant,
        "requests": report["sent"],
        "attempts": int(attempts),
        "amplification": f"{attempts / report['sent']:.3f}",
    }


def main() -> None:
    print_rows([run_variant(variant) for variant in VARIANTS])


if __name__ == "__main__":
    main()
