"""VM states from the platform's list, which lags behind the VMs themselves."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class VmState(Enum):
    """State of a VM on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmKind(Enum):
    """What a VM runs."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM on the platform's list.

    :ivar operators_port: port for operators; set for entries only
    :ivar peers_port: port for other entries; set for entries only
    """

    name: str
    kind: VmKind
    zone: str
    address: str
    state: VmState
    operators_port: int = 0
    peers_port: int = 0


class VmStates:
    """States of the listed VMs.

    A VM that is not on the list counts as live, so that a missing or incomplete
    list does not reduce capacity.
    """

    def __init__(self) -> None:
        self.version = 0
        self._states: dict[str, VmState] = {}
        self._drained: set[str] = set()
        self._drain_ended_at_s: dict[str, float] = {}

    def apply(self, version: int, vms: Iterable[ListedVm]) -> list[ListedVm]:
        """Apply the changes of a newer list.

        :return: the VMs whose state changed
        """
        changed = []
        for vm in vms:
            if self._states.get(vm.name, VmState.LIVE) is not vm.state:
                changed.append(vm)
            if vm.kind is VmKind.ENDPOINT:
                self._states[vm.name] = vm.state
        self.version = version
        return changed

    def set_drained(self, names: Iterable[str], now_s: float) -> None:
        """Replace the set of VMs that are drained for maintenance."""
        drained = set(names)
        for name in self._drained - drained:
            self._drain_ended_at_s[name] = now_s
        self._drained = drained

    def is_live(self, name: str) -> bool:
        """Return whether a VM may receive new requests."""
        if name in self._drained:
            return False
        return self._states.get(name, VmState.LIVE) is VmState.LIVE

    def time_since_return_s(self, name: str, now_s: float) -> float:
        """Return the seconds since a VM's last drain ended, infinite without one."""
        return now_s - self._drain_ended_at_s.get(name, -math.inf)

    def unavailable(self) -> set[str]:
        """Return the names of the VMs that are leaving, gone or drained."""
        listed = {n for n, state in self._states.items() if state is not VmState.LIVE}
        return listed | self._drained
