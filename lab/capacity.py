"""Slopes for docs/CAPACITY.md: what grows with the fleet, measured at several sizes.

Run ``python lab/capacity.py``. Decisions run in this process on the real code;
the resident memory and the idle cost are those of real entry processes.
"""

from __future__ import annotations

import gc
import json
import random
import time
import tracemalloc
from datetime import date

from common import cpu_s, print_rows, resident_bytes, running_fleet
from helpers import FleetPlan

from chivetray.documents import parse_document, validate_document
from chivetray.fleet.catalog import Catalog, Change, object_set_from_plain
from chivetray.fleet.checker import check_object_set
from chivetray.fleet.revision import Revision, RevisionState
from chivetray.generated.messages import Heartbeat, RevisionPush
from chivetray.generated.object_models import ObjectSet
from chivetray.peers.codec import MessageDecoder, encode_message
from chivetray.peers.grants import GrantHolder
from chivetray.peers.homes import choose_home
from chivetray.peers.ledger import GrantLedger
from chivetray.requests.routing import Router

POOLS = 125
ZONES = 32


def make_objects(vms: int, pools: int = POOLS, zones: int = ZONES) -> dict:
    return {
        "format_version": 1,
        "zones": [{"name": f"z{n}"} for n in range(zones)],
        "pools": [{"name": f"p{n}"} for n in range(pools)],
        "vms": [
            {
                "name": f"z{n % zones}-w{n}",
                "pool": f"p{n // zones % pools}",
                "zone": f"z{n % zones}",
                "rack": f"z{n % zones}-r{n // zones // 4}",
                "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}",
                "port": 8080,
            }
            for n in range(vms)
        ],
        "services": [
            {
                "name": f"s{n}",
                "pools": [f"p{n}"],
                "budget": f"b{n}",
                "path_prefixes": [f"/s{n}"],
            }
            for n in range(pools)
        ],
        "budgets": [{"name": f"b{n}", "max_unavailable_vms": 1} for n in range(pools)],
        "teams": [{"name": f"t{n}"} for n in range(200)],
    }


def timed(call, repeat: int = 5) -> float:
    best = []
    for _ in range(repeat):
        started = time.process_time()
        call()
        best.append(time.process_time() - started)
    return sorted(best)[len(best) // 2]


def measure_catalog(vms: int) -> dict:
    plain = make_objects(vms)
    gc.collect()
    tracemalloc.start()
    catalog = Catalog.from_object_set(object_set_from_plain(plain))
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    full = Change(put=catalog.to_object_set()).to_json()
    state = RevisionState()
    state.apply_if_newer(Revision(1, "p1", True, full), "lab")
    single = object_set_from_plain(
        {"format_version": 1, "vms": [{**plain["vms"][0], "pool": "p1"}]}
    )
    change = Change(put=single).to_json()
    number = iter(range(2, 100000))

    def apply():
        state.apply_if_newer(Revision(next(number), "p", False, change), "lab")

    return {
        "VMs": vms,
        "catalog MB": round(memory / 1e6, 2),
        "whole set KB": round(len(full) / 1e3),
        "one change B": len(change),
        "apply one change ms": round(timed(apply, 50) * 1000, 3),
        "apply whole set ms": round(
            timed(
                lambda: RevisionState().apply_if_newer(
                    Revision(1, "p", True, full), "lab"
                ),
                3,
            )
            * 1000
        ),
        "check whole set ms": round(
            timed(lambda: check_object_set(catalog.to_object_set()), 3) * 1000
        ),
        "route a request us": round(measure_routing(catalog) * 1e6, 2),
    }


def measure_routing(catalog: Catalog) -> float:
    router = Router(catalog.services.values())
    return (
        timed(lambda: [router.find_service("h", "/s7/a/b") for _ in range(1000)]) / 1000
    )


def measure_parsing(vms: int) -> dict:
    text = json.dumps(make_objects(vms), indent=1)
    started = time.perf_counter()
    document = parse_document(text, "f.yaml")
    faults = validate_document(document, ObjectSet)
    return {
        "VMs": vms,
        "file KB": round(len(text) / 1e3),
        "parse and validate s": round(time.perf_counter() - started, 2),
        "faults": len(faults),
    }


def measure_zone(endpoints: int, entries: int) -> dict:
    """Exchange of slots in one zone, with a tenth of the demand changing."""
    names = [f"e{n}" for n in range(entries)]
    homes = {f"w{n}": choose_home(f"w{n}", names) for n in range(endpoints)}
    home_time = timed(
        lambda: [choose_home(f"w{n}", names) for n in range(endpoints)], 3
    )
    ledgers = {name: GrantLedger(2.0) for name in names}
    holders = {name: GrantHolder(2.0) for name in names}
    for name in names:
        ledgers[name].set_members(names)
        own = {w: 8 for w, home in homes.items() if home == name}
        ledgers[name].set_endpoints(own, -10.0)
        holders[name].set_homes(homes)
    rng = random.Random(1)
    spent = {"idle": 0.0, "busy": 0.0}
    sent = {"idle": 0, "busy": 0}
    rounds = {"idle": 0, "busy": 0}

    def exchange(now_s: float, mode: str) -> None:
        for name in names:
            for home in holders[name].homes:
                started = time.process_time()
                demand = holders[name].make_demand(home, now_s)
                offer = ledgers[home].handle_demand(name, demand, now_s)
                holders[name].handle_offer(home, offer, now_s)
                if home != name:
                    packed = encode_message(demand), encode_message(offer)
                    for content in packed:
                        list(MessageDecoder().feed(content))
                    sent[mode] += sum(len(content) for content in packed)
                spent[mode] += time.process_time() - started
        rounds[mode] += 1

    for step in range(4):
        exchange(step * 0.25, "idle")
    spent["idle"], sent["idle"], rounds["idle"] = 0.0, 0, 0
    for step in range(4, 12):
        exchange(step * 0.25, "idle")
    for step in range(12, 20):
        for name in names:
            waiting = {w: rng.randrange(4) for w in homes if rng.random() < 0.1}
            holders[name].set_waiting(waiting)
        exchange(step * 0.25, "busy")
    row = {
        "endpoints": endpoints,
        "entries": entries,
        "homes ms": round(home_time * 1000, 1),
    }
    for mode in ("idle", "busy"):
        row[f"{mode} exchange ms an entry"] = round(
            spent[mode] / rounds[mode] / entries * 1000, 2
        )
        row[f"{mode} exchange B an entry"] = round(sent[mode] / rounds[mode] / entries)
    return row


def measure_messages() -> list[dict]:
    heartbeat = Heartbeat(80000, False)
    change = Change(
        put=object_set_from_plain(
            {"format_version": 1, "vms": [make_objects(1)["vms"][0]]}
        )
    ).to_json()
    push = RevisionPush(80000, "0" * 32, False, change)
    rows = []
    for name, message in (("heartbeat", heartbeat), ("one change", push)):
        content = encode_message(message)
        decoder = MessageDecoder()
        rows.append(
            {
                "message": name,
                "bytes": len(content),
                "encode us": round(
                    timed(lambda m=message: [encode_message(m) for _ in range(1000)])
                    * 1000,
                    1,
                ),
                "decode us": round(
                    timed(
                        lambda c=content, d=decoder: [
                            list(d.feed(c)) for _ in range(1000)
                        ]
                    )
                    * 1000,
                    1,
                ),
            }
        )
    return rows


def measure_process(entries: int, grant_ttl_s: float = 1.0) -> dict:
    """Resident memory and idle cost of an entry among others."""
    peers = {"grant_ttl_s": grant_ttl_s, "renewal_interval_s": grant_ttl_s / 4}
    settings = {"peers": peers}
    plan = FleetPlan(entries_per_zone=entries, endpoints_per_zone=4, settings=settings)
    with running_fleet(plan) as fleet:
        entry = fleet.processes["zone-1-e1"].pid
        before, sent = (
            cpu_s(entry),
            fleet.metric("zone-1-e1", "chivetray_peer_bytes_sent"),
        )
        time.sleep(15)
        used = cpu_s(entry) - before
        sent = fleet.metric("zone-1-e1", "chivetray_peer_bytes_sent") - sent
        return {
            "entries": entries,
            "grant s": grant_ttl_s,
            "resident MB": round(resident_bytes(entry) / 1e6, 1),
            "idle CPU %": round(used / 15 * 100, 2),
            "peer B/s": round(sent / 15),
        }


def measure_large_process(vms: int) -> dict:
    """Resident memory of an entry that holds a large set."""
    with running_fleet(FleetPlan()) as fleet:
        objects = make_objects(vms)
        objects["zones"].append({"name": "zone-1"})
        path = fleet.folder / "large.json"
        path.write_text(json.dumps(objects))
        import anyio

        from chivetray.control import Control
        from chivetray.platform import revisions

        async def publish():
            control = Control.from_url(fleet.platform, 30.0)
            number, catalog = await control.get()
            newer = Catalog.from_object_set(object_set_from_plain(objects))
            result = await revisions.publish_change(
                control._client, number, catalog, catalog.difference(newer), "lab"
            )
            await control.aclose()
            return result.unwrap()

        number = anyio.run(publish)
        while fleet.status("zone-1-e1")["revision"] < number:
            time.sleep(0.2)
        time.sleep(2)
        entry = fleet.processes["zone-1-e1"].pid
        return {"VMs": vms, "resident MB": round(resident_bytes(entry) / 1e6, 1)}


def reference_s() -> float:
    """Return the time of a plain loop, by which two runs can be compared."""

    def loop() -> None:
        total = 0
        for number in range(1_000_000):
            total += number

    return timed(loop)


def main() -> None:
    print(
        f"{date.today()}; a loop of a million additions: {reference_s() * 1000:.0f} ms\n"
    )
    print("## Catalogue\n")
    print_rows([measure_catalog(n) for n in (1000, 5000, 15000)])
    print("\n## Files\n")
    print_rows([measure_parsing(n) for n in (1000, 5000, 10000)])
    print("\n## Messages\n")
    print_rows(measure_messages())
    print("\n## Slots of a zone\n")
    print_rows(
        [measure_zone(*size) for size in ((40, 2), (160, 5), (470, 14), (470, 28))]
    )
    print("\n## Entry process among others\n")
    print_rows(
        [
            measure_process(*size)
            for size in ((1,), (2,), (4,), (8,), (8, 2.0), (14, 2.0))
        ]
    )
    print("\n## Entry process with a large set\n")
    print_rows([measure_large_process(n) for n in (1000, 5000, 15000)])


if __name__ == "__main__":
    main()
