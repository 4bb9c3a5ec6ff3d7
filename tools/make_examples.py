"""Writes the two example deployments of ``examples/``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
PORT = 18080


@dataclass(frozen=True)
class Deployment:
    name: str
    zones: tuple[str, ...]
    pools: tuple[str, ...]
    per_zone: int
    cores: int
    network: int
    services: tuple[str, ...]
    budgets: str
    waves: str
    teams: tuple[str, ...]


def render(deployment: Deployment) -> str:
    lines = ["format_version: 1", "", "zones:"]
    lines += [f"  - {{name: {zone}}}" for zone in deployment.zones]
    lines += ["", "pools:"]
    for pool in deployment.pools:
        spare = ", spare: true" if pool.startswith("shared") else ""
        lines.append(
            f"  - {{name: {pool}{spare}, floor_vms: 4, reserved_quick_slots: 2}}"
        )
    lines += ["", "vms:"]
    for z, zone in enumerate(deployment.zones, 1):
        number = 0
        for pool in deployment.pools:
            for _ in range(deployment.per_zone):
                rack = f"{zone}-r{number // 4 + 1}"
                number += 1
                address = f"127.{deployment.network}.{z}.{number}"
                lines.append(
                    f"  - {{name: {zone}-w{number}, pool: {pool}, zone: {zone}, "
                    f"rack: {rack}, address: {address}, port: {PORT}, "
                    f"cores: {deployment.cores}}}"
                )
    lines += ["", "services:", *deployment.services, "", "budgets:"]
    lines += [deployment.budgets, "", "waves:", deployment.waves, "", "teams:"]
    lines += [f"  - {{name: {team}, weight: 1}}" for team in deployment.teams]
    return "\n".join(lines) + "\n"


def service(name: str, pools: str, budget: str, prefix: str, extra: str = "") -> str:
    tail = f", {extra}" if extra else ""
    return (
        f"  - {{name: {name}, pools: [{pools}], budget: {budget}, "
        f"path_prefixes: [{prefix}]{tail}}}"
    )


def render_budgets(names: tuple[str, ...], reconciliation_vms: int) -> str:
    limits = {**dict.fromkeys(names, 2), "reconciliation": reconciliation_vms}
    return "\n".join(
        f"  - {{name: {name}, max_unavailable_vms: {most}, survive_rack_loss: true, min_available_vms: 2}}"
        for name, most in limits.items()
    )


RECONCILIATION = "priority: reconciliation, deadline_s: 14400, attempt_timeout_s: 14400"

CONSORZIO = Deployment(
    "consorzio",
    ("brianza", "treviso", "cremona", "udine"),
    (
        "catalogue-one",
        "catalogue-two",
        "sampling-one",
        "sampling-two",
        "shared-administration",
    ),
    2,
    16,
    40,
    (
        service(
            "quotes-one",
            "catalogue-one",
            "catalogue-one",
            "/quotes/one",
            "deadline_s: 2",
        ),
        service(
            "quotes-two",
            "catalogue-two",
            "catalogue-two",
            "/quotes/two",
            "deadline_s: 2",
        ),
        service(
            "samples-one",
            "sampling-one",
            "sampling-one",
            "/samples/one",
            "deadline_s: 5",
        ),
        service(
            "samples-two",
            "sampling-two",
            "sampling-two",
            "/samples/two",
            "deadline_s: 5",
        ),
        service(
            "reconciliation",
            "sampling-one, sampling-two",
            "reconciliation",
            "/reconciliation",
            RECONCILIATION,
        ),
    ),
    render_budgets(
        ("catalogue-one", "catalogue-two", "sampling-one", "sampling-two"), 4
    ),
    "  - {name: december, pools: [catalogue-one, catalogue-two, sampling-one, sampling-two, shared-administration], "
    "window_start: '2026-12-12T20:00:00Z', window_end: '2026-12-13T04:00:00Z', batch_vms: 2}",
    ("cabinetmakers", "yacht-fitters", "furniture-studios"),
)

REGIE = Deployment(
    "regie",
    ("port-louis", "rose-hill", "curepipe"),
    ("timber", "paint", "fixings", "plumbing", "shared-counter"),
    2,
    32,
    41,
    (
        service("timber-lists", "timber", "timber", "/timber", "deadline_s: 2"),
        service("paint-estimates", "paint", "paint", "/paint", "deadline_s: 5"),
        service("fixings-lists", "fixings", "fixings", "/fixings", "deadline_s: 2"),
        service("plumbing-lists", "plumbing", "plumbing", "/plumbing", "deadline_s: 2"),
        service(
            "price-reconciliation",
            "timber, paint, fixings, plumbing",
            "reconciliation",
            "/reconciliation",
            RECONCILIATION,
        ),
    ),
    render_budgets(("timber", "paint", "fixings", "plumbing"), 8),
    "  - {name: night, pools: [timber, paint, fixings, plumbing, shared-counter], "
    "window_start: '2026-12-12T18:00:00Z', window_end: '2026-12-13T02:00:00Z', batch_vms: 2}",
    ("counters", "households", "depots"),
)


def main() -> None:
    for deployment in (CONSORZIO, REGIE):
        (EXAMPLES / f"{deployment.name}.yaml").write_text(render(deployment))


if __name__ == "__main__":
    main()
