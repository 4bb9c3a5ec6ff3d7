"""What the VMs of a maintenance wave wait for, and the log of those that are late."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from chivetray.events import Event, log_event

# Longest time between two rounds that counts as a wait. Longer pauses are those of the
# holder itself, which gave no orders.
MAX_ROUND_S = 1.0


class WaitReason(Enum):
    """Reason for which a VM of a wave is not taken down now.

    :cvar MOVING: it is or may be on its way to another pool
    :cvar ORDER_OPEN: an earlier holder's order may be open, or the platform refused one
    :cvar REQUESTED: the VM empties for another pool
    :cvar BUDGET: the step of a long-running task allows no more unavailable tasks
    :cvar LONG_RUNNING: long-running tasks are moved, or no other worker has room
    :cvar BUSY: other tasks have not ended
    :cvar HIDDEN: its worker is not listed
    :cvar SILENT: its worker does not answer
    :cvar UNKNOWN: there is no recent report from the owner of its cell
    :cvar CAPACITY: its pool would have too few free cores
    :cvar CAP: as many VMs of the wave as allowed are down
    :cvar DOWN: the platform lists it as down
    :cvar MAINTENANCE: its maintenance has begun, and has not ended
    :cvar NO_HOLDER: no process gave orders
    """

    MOVING = "moving"
    ORDER_OPEN = "open order"
    REQUESTED = "requested by a pool"
    BUDGET = "budget"
    LONG_RUNNING = "long-running tasks"
    BUSY = "busy tasks"
    HIDDEN = "hidden worker"
    SILENT = "silent worker"
    UNKNOWN = "no report"
    CAPACITY = "capacity"
    CAP = "cap"
    DOWN = "down"
    MAINTENANCE = "in maintenance"
    NO_HOLDER = "no holder"


@dataclass(slots=True)
class WaveWaits:
    """How long each VM of a wave has waited for what, in this holder's rounds."""

    _since_s: float | None = None
    _last_s: float = 0.0
    _latest: dict[str, WaitReason] = field(default_factory=dict)
    _waits_s: defaultdict[str, dict[WaitReason, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _logged: set[str] = field(default_factory=set)

    def record(self, waits: Mapping[str, WaitReason], now_s: float) -> None:
        """Record what VMs wait for in a round."""
        if self._since_s is None:
            self._since_s = self._last_s = now_s
        round_s = now_s - self._last_s
        for vm, reason in self._latest.items():
            known = reason if round_s <= MAX_ROUND_S else WaitReason.NO_HOLDER
            times_s = self._waits_s[vm]
            times_s[known] = times_s.get(known, 0.0) + round_s
        self._last_s, self._latest = now_s, dict(waits)

    def log_late(self, wave: int, vms: Iterable[str], late_s: float) -> None:
        """Log VMs that are not maintained at the end of the wave, each once.

        :param late_s: time since the end of the wave
        """
        for vm in vms:
            if vm in self._logged:
                continue
            self._logged.add(vm)
            times_s = self._waits_s.get(vm, {})
            latest = self._latest.get(vm)
            longest = sorted(times_s, key=lambda reason: -times_s[reason])
            log_event(
                Event.MAINTENANCE_LATE,
                vm=vm,
                wave=wave,
                waits_for=latest.value if latest else "order",
                waited_s={r.value: round(times_s[r], 2) for r in longest},
                late_s=round(late_s, 3),
                observed_s=round(self._last_s - (self._since_s or self._last_s), 3),
            )
