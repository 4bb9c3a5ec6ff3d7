"""States of the VMs, as the platform's lagging list shows them."""

from __future__ import annotations

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

    def is_live(self, name: str) -> bool:
        """Return whether a VM may receive new requests."""
        return self._states.get(name, VmState.LIVE) is VmState.LIVE

    def unavailable(self) -> set[str]:
        """Return the names of the VMs that are leaving or gone."""
        return {n for n, state in self._states.items() if state is not VmState.LIVE}
