"""Admission at five times the capacity for five seconds: ways compared.

Run ``python lab/overload.py``.
"""

from __future__ import annotations

from common import finish_load, print_rows, running_fleet, start_load
from helpers import FleetPlan

VARIANTS = ("fifo", "chosen")
RUN_S = 0.1
ENDPOINTS = 2
CAPACITY_PER_S = ENDPOINTS * 8 / RUN_S
PEAK_S = 5.0
DEADLINE_S = 1.0
LOADERS = 4


def run_variant(variant: str) -> dict:
    plan = FleetPlan(
        endpoints_per_zone=ENDPOINTS,
        service={"deadline_s": DEADLINE_S, "attempt_timeout_s": DEADLINE_S},
    )
    with running_fleet(plan, variant) as fleet:
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, delay_s=RUN_S)
        url = fleet.url("zone-1-e1")
        finish_load(start_load(url, CAPACITY_PER_S / 5, 2))
        rate = CAPACITY_PER_S * 5 / LOADERS
        limit = ("--timeout-s", str(DEADLINE_S))
        loads = [start_load(url, rate, PEAK_S, *limit) for _ in range(LOADERS)]
        reports = [finish_load(load) for load in loads]
    answered = sum(r["answered"]["count"] for r in reports)
    return {
        "way": variant,
        "sent": sum(r["sent"] for r in reports),
        "answered in time": answered,
        "goodput of capacity": f"{answered / (CAPACITY_PER_S * PEAK_S):.3f}",
        "p99 of answers ms": worst(reports, "answered", "p99_s"),
        "refused": sum(r["refused"]["count"] for r in reports),
        "p50 of refusals ms": worst(reports, "refused", "p50_s"),
        "p99 of refusals ms": worst(reports, "refused", "p99_s"),
        "no answer in time": sum(r["results"].get("TimeoutError", 0) for r in reports),
    }


def worst(reports: list[dict], kind: str, name: str) -> float:
    return round(max(r[kind].get(name, 0) for r in reports) * 1000, 1)


def main() -> None:
    print_rows([run_variant(variant) for variant in VARIANTS])


if __name__ == "__main__":
    main()
