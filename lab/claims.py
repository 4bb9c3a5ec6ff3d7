"""Claims: group commit against a call for each, and what the store carries.

Run ``python lab/claims.py``. The platform stand-in takes 20 ms for a call.
"""

from __future__ import annotations

from common import finish_load, print_rows, running_fleet, start_load
from helpers import FleetPlan, send

VARIANTS = ("no-claims", "single-write", "chosen")
RATES_PER_S = (20, 100)
SECONDS = 5
CALL_S = 0.02


def run_variant(variant: str, rate: float) -> dict:
    plan = FleetPlan(settings={"claims": {"rows_per_second": 300}})
    with running_fleet(plan, variant) as fleet:
        fleet.platform_faults(delay_s=CALL_S)
        url = f"{fleet.platform}/v1/statistics"
        before = send(url).json()["rows_written"]
        load = start_load(
            fleet.url("zone-1-e1"), rate, SECONDS, "--method", "POST", "--keyed"
        )
        report = finish_load(load)
        rows = send(url).json()["rows_written"] - before
    answered = report["answered"]
    return {
        "way": variant,
        "requests/s": rate,
        "answered": f"{answered['count']} of {report['sent']}",
        "p50 ms": round(answered.get("p50_s", 0) * 1000, 1),
        "p99 ms": round(answered.get("p99_s", 0) * 1000, 1),
        "rows a request": f"{rows / max(1, answered['count']):.2f}",
    }


def main() -> None:
    print_rows([run_variant(v, r) for r in RATES_PER_S for v in VARIANTS])


if __name__ == "__main__":
    main()
