"""Metrics of the caps of organisations."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.cells.share_keeper import ShareKeeper
from chivetray.organisations.shares import NOTHING

# Organisations with a label of their own; those that follow by name are left out.
MAX_LABELS = 50


def read_share_gauges(keepers: Iterable[ShareKeeper]) -> dict[tuple[str, str], float]:
    """Return use, share and cap of organisations in the cells of this process.

    :return: values by the name of the gauge and the organisation
    """
    values: dict[tuple[str, str], float] = {}
    all_keepers = list(keepers)
    names = sorted({name for keeper in all_keepers for name in keeper.holdings})
    for name in names[:MAX_LABELS]:
        for keeper in all_keepers:
            holding = keeper.holdings.get(name)
            if holding is None or holding.cap is None or holding.cap == NOTHING:
                continue
            use = keeper.use(name)
            for resource, used, share, cap in (
                (
                    "cores",
                    use.cpu_milli,
                    holding.share.cpu_milli,
                    holding.cap.cpu_milli,
                ),
                ("mem_mb", use.mem_mb, holding.share.mem_mb, holding.cap.mem_mb),
                ("gpus", use.gpu, holding.share.gpu, holding.cap.gpu),
            ):
                if not cap:
                    continue
                unit = 1000 if resource == "cores" else 1
                prefix = "chivetray_organisation"
                used_key = (f"{prefix}_use_{resource}", name)
                share_key = (f"{prefix}_share_{resource}", name)
                values[used_key] = values.get(used_key, 0.0) + used / unit
                values[share_key] = values.get(share_key, 0.0) + share / unit
                values[f"{prefix}_cap_{resource}", name] = cap / unit
    return values
