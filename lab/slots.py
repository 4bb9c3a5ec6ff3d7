"""Slots of endpoints shared by three entries: ways compared on one trace.

Run ``python lab/slots.py``. Load comes at five times its mean for five seconds,
unevenly (one entry gets two thirds), and one entry is killed in the middle.
"""

from __future__ import annotations

import threading
import time

from common import finish_load, print_rows, running_fleet, start_load
from helpers import FleetPlan

VARIANTS = ("local-full", "static-split", "forwarding", "chosen")
RUN_S = 0.1
ENDPOINTS = 4
SLOTS = 8
CAPACITY_PER_S = ENDPOINTS * SLOTS / RUN_S
PEAK_S = 5.0
DEADLINE_S = "1"


def run_variant(variant: str) -> dict:
    plan = FleetPlan(
        entries_per_zone=3,
        endpoints_per_zone=ENDPOINTS,
        service={"deadline_s": 1.0, "attempt_timeout_s": 1.0},
    )
    with running_fleet(plan, variant) as fleet:
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, delay_s=RUN_S)
        # Just below the capacity in all, so that losses come from the sharing.
        rate = CAPACITY_PER_S * 0.9
        shares = {"zone-1-e1": 4 / 6, "zone-1-e2": 1 / 6, "zone-1-e3": 1 / 6}
        most = {name: 0 for name in fleet.endpoints}
        over = {name: 0 for name in fleet.endpoints}
        loads = [
            start_load(fleet.url(entry), rate * share, PEAK_S)
            for entry, share in shares.items()
        ]
        killer = threading.Timer(3.0, fleet.kill, ["zone-1-e3"])
        killer.start()
        reports = [finish_load(load) for load in loads]
        killer.join()
        time.sleep(0.5)
        for name in fleet.endpoints:
            state = fleet.endpoint_state(name)
            most[name], over[name] = state["most_running"], state["over_admissions"]
    survivors = reports[:2]
    sent = sum(r["sent"] for r in survivors)
    good = sum(r["answered"]["count"] for r in survivors)
    return {
        "way": variant,
        "sent (survivors)": sent,
        "answered in time": good,
        "share": f"{good / sent:.3f}",
        "p99 ms": round(max(r["answered"].get("p99_s", 0) for r in survivors) * 1000),
        "most at an endpoint": max(most.values()),
        "over-admissions": sum(over.values()),
    }


def main() -> None:
    print_rows([run_variant(variant) for variant in VARIANTS])


if __name__ == "__main__":
    main()
