"""Entry against the endpoint itself and against a bare pass-through.

Run ``python lab/throughput.py``. Each path gets the same requests one after
another in one run; processor time is that of the process in the middle.
"""

from __future__ import annotations

import time

from common import (
    cpu_s,
    finish_load,
    print_rows,
    resident_bytes,
    running_fleet,
    start_load,
)
from helpers import ENDPOINT_PORT, FleetPlan, send, wait_until

RATE_PER_S = 400
SECONDS = 8
IDLE_S = 10
PASS_PORT = 8099


def measure(name: str, url: str, pid: int | None) -> dict:
    finish_load(start_load(url, RATE_PER_S, 1))
    before = cpu_s(pid) if pid else 0.0
    report = finish_load(start_load(url, RATE_PER_S, SECONDS))
    used = cpu_s(pid) - before if pid else 0.0
    answered = report["answered"]
    count = answered["count"]
    return {
        "path": name,
        "answered": count,
        "p50 ms": round(answered["p50_s"] * 1000, 2),
        "p99 ms": round(answered["p99_s"] * 1000, 2),
        "CPU ms a request": round(used / count * 1000, 3) if pid else "",
        "requests/s a core": round(count / used) if used else "",
    }


def main() -> None:
    plan = FleetPlan(endpoints_per_zone=2, entries_per_zone=2)
    with running_fleet(plan) as fleet:
        entry = fleet.processes["zone-1-e1"].pid
        cpu, sent = cpu_s(entry), fleet.metric("zone-1-e1", "chivetray_peer_bytes_sent")
        time.sleep(IDLE_S)
        share = (cpu_s(entry) - cpu) / IDLE_S
        rate = (fleet.metric("zone-1-e1", "chivetray_peer_bytes_sent") - sent) / IDLE_S
        print(
            f"idle entry: {resident_bytes(entry) / 1e6:.1f} MB resident, "
            f"{share * 100:.2f}% of a core, {rate:.0f} B/s to one peer\n"
        )
        endpoint = fleet.address("zone-1-w1")
        address = fleet.address("zone-1-e1")
        fleet.run_script(
            "pass",
            "pass_through.py",
            address,
            str(PASS_PORT),
            endpoint,
            str(ENDPOINT_PORT),
        )
        passed = f"http://{address}:{PASS_PORT}/work"
        wait_until(lambda: send(passed).status == 200, "pass-through")
        rows = [
            measure("endpoint itself", f"http://{endpoint}:{ENDPOINT_PORT}/work", None),
            measure("bare pass-through", passed, fleet.processes["pass"].pid),
            measure("entry", fleet.url("zone-1-e1"), entry),
        ]
        print_rows(rows)
        print(f"\nentry after the load: {resident_bytes(entry) / 1e6:.1f} MB resident")


if __name__ == "__main__":
    main()
