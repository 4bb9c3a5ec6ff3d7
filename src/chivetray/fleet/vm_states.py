"""States of the VMs, as the platform's lagging list shows them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class VmState(Enum):
    """State of a VM on the list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmKind(Enum):
    """What a VM runs."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM on the list.

    :ivar operators_port: port for operators, of an entry
    :ivar peers_port: port for other entries, of an entry
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

    A VM that is not on the list counts as live, so that a list that was lost
    or is incomplete takes no capacity away.
    """

    def __init__(self) -> None:
        self.version = 0
        self._states: dict[str, VmState] = {}
        self._drained: set[str] = set()
        self._returned_at_s: dict[str, float] = {}

    def apply(self, version: int, vms: Iterable[ListedVm]) -> list[ListedVm]:
        """Take the changes of a newer list; return the VMs whose state changed."""
        changed = []
        for vm in vms:
            if self._states.get(vm.name, VmState.LIVE) is not vm.state:
                changed.append(vm)
            if vm.kind is VmKind.ENDPOINT:
                self._states[vm.name] = vm.state
        self.version = version
        return changed

    def set_drained(self, names: Iterable[str], now_s: float) -> None:
        """Set the VMs that are drained for maintenance."""
        drained = set(names)
        for name in self._drained - drained:
            self._returned_at_s[name] = now_s
        self._drained = drained

    def is_live(self, name: str) -> bool:
        """Return whether a VM may receive new requests."""
        if name in self._drained:
            return False
        return self._states.get(name, VmState.LIVE) is VmState.LIVE

    def returned_for_s(self, name: str, now_s: float) -> float:
        """Return the time since a VM's drain ended, infinite without one."""
        return now_s - self._returned_at_s.get(name, -math.inf)

    def unavailable(self) -> set[str]:
        """Return the names of the VMs that are leaving, gone or drained."""
        listed = {n for n, state in self._states.items() if state is not VmState.LIVE}
        return listed | self._drained
