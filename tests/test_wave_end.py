"""The end of a maintenance wave: what its last VMs wait for.

The load: two pools whose queues peak in turn, with long-running tasks on many VMs of
the wave, and a standby pool. The waves of the deployments take 77 to 88 VMs within
26 s, and one to seven of them were late. VMs with long-running tasks were reserved one
after another late in the wave and kept a slot of the cap while they waited, and a slot
stayed unused while the next VM was emptied.
"""

from __future__ import annotations

from wave_fleet import DURATION_S, WaveFleet, play

from chivetray.capacity.wave_runner import REFUSED_ORDER_PAUSE_S


class TestLastVm:
    """All 88 VMs are taken down within 26 s, whatever the pools do meanwhile."""

    @staticmethod
    def check(fleet: WaveFleet) -> None:
        assert fleet.left() == []
        assert fleet.platform.most_down <= fleet.wave.cap
        assert not fleet.over_budget
        assert not fleet.platform.refusals, "two orders for a VM"

    def test_while_queues_peak_in_turn(self) -> None:
        """VMs that moved after their maintenance once kept slots of the cap."""
        self.check(play())

    def test_while_one_pool_is_full_until_the_end(self) -> None:
        """Its VMs once waited for free cores until the wave counted as late."""
        fleet = play(peak_per_s=80.0, peak_s=100.0)
        self.check(fleet)
        order = sorted(fleet.platform.maintained_at_s.items(), key=lambda vm: vm[1])
        first = [vm for vm, _ in order[: fleet.wave.cap]]
        assert not any(vm.startswith("a") for vm in first), "a VM that serves a peak"

    def test_with_a_long_running_task_on_each_of_many_vms(self) -> None:
        """A pool of low demand once had no VM left that could take them."""
        self.check(play(per_worker=1, peak_per_s=5.0))

    def test_with_a_holder_that_is_lost_in_the_middle(self) -> None:
        """The next one knows only the rows, and waits for the orders before it."""

        def prepare(fleet: WaveFleet) -> None:
            fleet.holder_lost_at_s = 8.0

        self.check(play(prepare=prepare))


class TestVmThatCannotLeave:
    """It takes no slot of the cap from the others, and the log says why it is late."""

    @staticmethod
    def silence(fleet: WaveFleet) -> None:
        fleet.cells["a"].silent = {f"w-{fleet.wave.machines[0]}-0"}

    def test_a_silent_worker(self) -> None:
        fleet = play(DURATION_S + 2.0, prepare=self.silence, lasting=0)
        self.check(fleet, "silent worker")

    def test_a_silent_worker_that_uses_the_budget_of_its_step(self) -> None:
        """The others of the step stay where they are, however late the wave is."""
        fleet = play(DURATION_S + 2.0, prepare=self.silence)
        cell = fleet.cells["a"]
        lasting = {task.worker for task in cell.lasting}
        assert set(fleet.left()) == {w.split("-")[1] for w in lasting} & set(
            fleet.wave.machines
        )
        assert all(task.attempt == 1 for task in cell.lasting)
        reasons = {line["vm"]: line["waits_for"] for line in fleet.late}
        assert reasons.pop(fleet.wave.machines[0]) == "silent worker"
        assert set(reasons) == set(fleet.left()[1:])
        assert set(reasons.values()) == {"budget"}

    def test_a_vm_that_the_platform_refuses(self) -> None:
        fleet = play(
            DURATION_S + 2.0, prepare=lambda f: f.platform.busy.add(f.wave.machines[0])
        )
        self.check(fleet, "open order")
        assert fleet.platform.refusals <= (DURATION_S + 2.0) / REFUSED_ORDER_PAUSE_S

    def test_a_hidden_worker_is_emptied_and_maintained(self) -> None:
        """It was once not reported, so that nobody knew when it was empty."""

        def prepare(fleet: WaveFleet) -> None:
            fleet.cells["a"].hidden_later = {f"w-{fleet.wave.machines[0]}-0"}

        assert play(prepare=prepare).left() == []

    @staticmethod
    def check(fleet: WaveFleet, reason: str) -> None:
        stuck = fleet.wave.machines[0]
        assert fleet.left() == [stuck]
        (line,) = fleet.late
        assert line["vm"] == stuck and line["waits_for"] == reason
        assert reason in line["waited_s"]
