"""Progress of a maintenance wave, as its holder knows it."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field

from chivetray.capacity.reports import OrderBasis
from chivetray.capacity.wave_waits import WaveWaits
from chivetray.events import Event, log_event
from chivetray.platform.stored_records import Wave
from chivetray.platform.vm_api import PlatformVm, PlatformVmState


@dataclass(slots=True)
class WaveProgress:
    """Progress of one wave.

    :ivar done: VMs whose maintenance the platform has accepted
    :ivar ordered_at_s: latest time at which this holder's last order for a VM may have
        been carried out, for each VM that got one
    :ivar unanswered: VMs whose order has no answer; it is sent again until it has one
        or the list of VMs shows its effect
    :ivar refused_at_s: time of the last refusal, for each VM whose order was refused
    :ivar chosen_at_s: time at which each VM was chosen that is being emptied
    :ivar waits: what VMs have waited for
    :ivar version: version of the stored row
    :ivar stored: size of ``done`` in the stored row, -1 if the row must be written
    :ivar announced: whether the status of the wave was published
    """

    started_ms: int
    done: set[str] = field(default_factory=set)
    ordered_at_s: dict[str, float] = field(default_factory=dict)
    unanswered: set[str] = field(default_factory=set)
    refused_at_s: dict[str, float] = field(default_factory=dict)
    chosen_at_s: dict[str, float] = field(default_factory=dict)
    waits: WaveWaits = field(default_factory=WaveWaits)
    version: int = 0
    stored: int = -1
    completed: bool = False
    announced: bool = False

    def has_open_order(self, vm: str) -> bool:
        """Return whether a VM is or may be down, or may go down, for this wave."""
        return vm in self.unanswered or vm in self.ordered_at_s

    def settle_orders(
        self,
        by_name: Mapping[str, PlatformVm],
        ordered_for_others: Container[str],
        wave: int,
    ) -> None:
        """Count unanswered orders as accepted if a list of VMs shows their effect.

        A VM is up in the list that an order for it is decided on, so any list that
        shows it in maintenance is newer. The list does not tell for which wave that is.

        :param ordered_for_others: VMs that may be in maintenance for another wave
        :param wave: number of the wave, for the log
        """
        for name in list(self.unanswered):
            vm = by_name.get(name)
            if vm is None:
                self.unanswered.discard(name)
            elif (
                vm.state == PlatformVmState.MAINTENANCE
                and name not in ordered_for_others
            ):
                self.unanswered.discard(name)
                self.done.add(name)
                log_event(Event.VM_MAINTAINED, vm=name, wave=wave, answered=False)

    def end_maintenances(
        self,
        by_name: Mapping[str, PlatformVm],
        listed_at_s: float,
        now_s: float,
        maintenance_s: float,
    ) -> None:
        """Forget the orders for VMs that are up again.

        A VM that moved after its maintenance once counted as down, and kept a slot of
        the cap from others.

        :param listed_at_s: time at which the list was requested
        :param maintenance_s: duration of a maintenance, including a margin
        """
        for name, at_s in list(self.ordered_at_s.items()):
            vm = by_name.get(name)
            is_over = now_s - at_s >= maintenance_s and name not in self.unanswered
            is_up = vm is not None and vm.state == PlatformVmState.UP
            if is_over and is_up and listed_at_s > at_s:
                del self.ordered_at_s[name]


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """An order for one VM of a wave, and the report that it is decided on."""

    wave: Wave
    progress: WaveProgress
    vm: PlatformVm
    basis: OrderBasis
