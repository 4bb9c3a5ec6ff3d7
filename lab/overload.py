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
        report = finish_load(
            start_load(
                url,
                CAPACITY_PER_S * 5,
                PEAK_S,
                "--timeout-s",
                str(DEADLINE_S),
                "--concurrency",
                "4000",
            )
        )
    answered, refused = report["answered"], report["refused"]
    return {
        "way": variant,
        "sent": report["sent"],
        "answered in time": answered["count"],
        "goodput of capacity": f"{answered['count'] / (CAPACITY_PER_S * PEAK_S):.3f}",
        "p99 of answers ms": round(answered.get("p99_s", 0) * 1000),
        "refused": refused["count"],
        "p50 of refusals ms": round(refused.get("p50_s", 0) * 1000, 1),
        "no answer": report["results"].get("TimeoutError", 0),
    }


def main() -> None:
    print_rows([run_variant(variant) for variant in VARIANTS])


if __name__ == "__main__":
    main()
