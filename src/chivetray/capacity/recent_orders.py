"""Recent orders for VMs, from this holder of the fleet duty and the one before.

An order is a request to the platform to move a VM or to maintain it.
"""

from __future__ import annotations

from collections.abc import Iterable

import anyio
import msgpack

from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.store import Committed, Row, RowId

# Cell without workers; its owner is the holder of the fleet duty, which alone gives
# orders for VMs.
FLEET_CELL = "~fleet"

# Rows of the holder: for each wave the VMs whose maintenance has begun, and the VMs
# that got an order recently.
DUTY_TABLE = "duties"
ORDERS_ROW = RowId(DUTY_TABLE, FLEET_CELL, "orders")

# The holder gives orders only if its ownership was confirmed within this time.
MAX_CONFIRMATION_AGE_S = 1.5

# Margin added to durations that the platform specifies.
TIME_MARGIN_S = 0.3


class RecentOrders:
    """Tracks recent orders, so that a later holder gives none for the same VMs.

    :param lease_s: time after an order in which a later holder gives none for that VM
    """

    def __init__(self, lease_s: float):
        self._lease_s = lease_s + TIME_MARGIN_S
        self._ordered_at_s: dict[str, float] = {}
        self._blocked_until_s: dict[str, float] = {}

    async def begin(self, owner: CellOwner, rows: Iterable[Row]) -> None:
        """Start as the new holder.

        A VM gets no order until the lease of an earlier holder's last order for it has
        ended. If that holder did not hand over the remaining times, the orders that it
        had stored count as given now.

        :param rows: stored rows of the duty
        """
        inherited_leases_s = owner.inherited_leases_s
        if inherited_leases_s is None:
            ordered = _stored_orders(rows)
            if ordered is None:
                # The row is unreadable, so an earlier order may be for any VM.
                await anyio.sleep(self._lease_s)
            inherited_leases_s = dict.fromkeys(ordered or [], self._lease_s)
        now_s = boot_time_s()
        self._blocked_until_s = {
            vm: now_s + left_s for vm, left_s in inherited_leases_s.items()
        }
        self._ordered_at_s.clear()
        owner.get_remaining_leases = self.remaining_s

    def remaining_s(self) -> dict[str, float]:
        """Return by VM for how long a later holder must give no order."""
        now_s = boot_time_s()
        until_s = {vm: at_s + self._lease_s for vm, at_s in self._ordered_at_s.items()}
        until_s = {**self._blocked_until_s, **until_s}
        return {vm: s - now_s for vm, s in until_s.items() if s > now_s}

    def is_unblocked(self, vm: str) -> bool:
        """Return whether the lease of any earlier holder's order for a VM has ended."""
        return self._blocked_until_s.get(vm, 0.0) <= boot_time_s()

    async def store_orders(self, owner: CellOwner, names: Iterable[str]) -> bool:
        """Store which VMs are about to get an order; return whether that succeeded.

        A later holder gives no orders for these VMs. A process that has lost the duty
        cannot write the row, so it gives no orders.
        """
        vms = sorted({*self.remaining_s(), *names})
        outcome = await owner.transact({ORDERS_ROW: bytes(msgpack.packb(vms))})
        if not isinstance(outcome, Committed):
            reason = getattr(outcome, "reason", "another process has the duty")
            log_event(Event.STORE_LOST, reason=reason, during="VM orders")
            return False
        return True

    def try_record_order(self, owner: CellOwner, vm: str) -> bool:
        """Return whether an order for a VM may be given now; record it if so."""
        now_s = boot_time_s()
        is_confirmed = now_s - owner.confirmed_at_s < MAX_CONFIRMATION_AGE_S
        if not is_confirmed or owner.lost or owner.leaving or not self.is_unblocked(vm):
            return False
        self._ordered_at_s[vm] = now_s
        return True


def _stored_orders(rows: Iterable[Row]) -> list[str] | None:
    """Return the VMs in the orders row, ``None`` if it cannot be decoded."""
    for row in rows:
        if row.id != ORDERS_ROW:
            continue
        try:
            return [str(vm) for vm in msgpack.unpackb(row.value)]
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
            return None
    return []
