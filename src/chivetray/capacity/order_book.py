"""Which VMs got an order lately, from this holder of the duty and the one before."""

from __future__ import annotations

from collections.abc import Iterable

import anyio
import msgpack

from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.store import Committed, Row, RowId, Store

# Cell that has no workers; its owner gives the orders for VMs.
FLEET_CELL = "~fleet"

# Rows of the holder: the VMs of each wave whose maintenance has begun, and the VMs
# that got an order lately.
DUTY_TABLE = "duties"
ORDERS_ROW = RowId(DUTY_TABLE, FLEET_CELL, "orders")

# The holder gives orders only while it has shown lately that it is the holder.
CONFIRMED_S = 1.5

# Margin on times that the platform names.
MARGIN_S = 0.3


class OrderBook:
    """Orders of the last moments, by VM.

    :param lease_s: time after its last order in which another holder leaves a VM alone
    """

    def __init__(self, store: Store, lease_s: float):
        self._store = store
        self._lease_s = lease_s + MARGIN_S
        self._ordered: dict[str, float] = {}
        self._foreign: dict[str, float] = {}

    async def begin(self, own: CellOwner, rows: Iterable[Row]) -> None:
        """Start as the new holder.

        Each VM is left alone until the last order of an earlier holder is old. When
        that holder did not say when it gave its orders, those that it had stored
        before count as given now.

        :param rows: rows of the duty
        """
        inherited_s = own.inherited_s
        if inherited_s is None:
            ordered = _stored_orders(rows)
            if ordered is None:
                # It may be any VM.
                await anyio.sleep(self._lease_s)
            inherited_s = dict.fromkeys(ordered or [], self._lease_s)
        now_s = boot_time_s()
        self._foreign = {vm: now_s + left_s for vm, left_s in inherited_s.items()}
        self._ordered.clear()
        own.handover = self.remaining_s

    def remaining_s(self) -> dict[str, float]:
        """Return how long a later holder has to leave VMs alone."""
        now_s = boot_time_s()
        until_s = {vm: at_s + self._lease_s for vm, at_s in self._ordered.items()}
        until_s = {**self._foreign, **until_s}
        return {vm: s - now_s for vm, s in until_s.items() if s > now_s}

    def is_free(self, vm: str) -> bool:
        """Return whether no earlier holder may just have given a VM an order."""
        return self._foreign.get(vm, 0.0) <= boot_time_s()

    async def store(self, own: CellOwner, names: Iterable[str]) -> bool:
        """Store which VMs get an order, before any gets it.

        A later holder leaves them alone. One that has lost the duty cannot store
        anything, so it gives no orders.
        """
        vms = sorted({*self.remaining_s(), *names})
        outcome = await self._store.transact(
            {own.guard: own.guard_version}, {ORDERS_ROW: bytes(msgpack.packb(vms))}
        )
        if not isinstance(outcome, Committed):
            reason = getattr(outcome, "reason", "another process has the duty")
            log_event(Event.STORE_LOST, reason=reason, during="VM orders")
            return False
        return True

    def may_order(self, own: CellOwner, vm: str) -> bool:
        """Return whether an order for a VM may be given now, and note that it is."""
        now_s = boot_time_s()
        fresh = now_s - own.confirmed_at_s < CONFIRMED_S
        if not fresh or own.lost or own.leaving or not self.is_free(vm):
            return False
        self._ordered[vm] = now_s
        return True


def _stored_orders(rows: Iterable[Row]) -> list[str] | None:
    """Return the VMs of the orders' row, ``None`` when it cannot be read."""
    for row in rows:
        if row.id != ORDERS_ROW:
            continue
        try:
            return [str(vm) for vm in msgpack.unpackb(row.value)]
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
            return None
    return []
