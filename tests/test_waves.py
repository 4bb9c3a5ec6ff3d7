from __future__ import annotations

import random
import signal
import threading
import time
from datetime import UTC, datetime, timedelta

import pytest
from helpers import Fleet, FleetPlan, send, wait_until

WAVE = "night"
VMS = 4
REBOOT_S = 0.5
LIMIT_S = 60


def make_wave(**changes) -> dict:
    now = datetime.now(UTC)
    wave = {
        "name": WAVE,
        "pools": ["pool"],
        "window_start": (now - timedelta(hours=1)).isoformat(),
        "window_end": (now + timedelta(hours=1)).isoformat(),
        "drain_s": 1,
        "reboot_s": 1,
        "batch_vms": 2,
    }
    return wave | changes


class WaveWatch:
    """Callers on a fleet during a wave, and what the platform shows of it."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.statuses: set[int] = set()
        self.codes: set[int] = set()
        self.most_reserved = 0
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(n,)) for n in range(4)
        ]
        self._threads.append(threading.Thread(target=self._watch))
        for thread in self._threads:
            thread.start()

    def _call(self, number: int) -> None:
        rng = random.Random(number)
        while not self._stop.is_set():
            entry = rng.choice(self.fleet.entries)
            method = rng.choice(["GET", "POST"])
            reply = send(self.fleet.url(entry), method, body=b"x")
            if reply.status:
                self.statuses.add(reply.status)
                self.codes.add(reply.code)

    def _watch(self) -> None:
        while not self._stop.is_set():
            budgets = self.fleet.read_rows("budgets")
            if "work" in budgets:
                reserved = len(budgets["work"]["vms"])
                self.most_reserved = max(self.most_reserved, reserved)
            time.sleep(0.05)

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()


class WaveFleet:
    """A fleet of four endpoints whose budget allows two to be unavailable."""

    def __init__(self, start_fleet, **plan):
        plan = {"endpoints_per_zone": VMS, "entries_per_zone": 2, **plan}
        self.fleet = start_fleet(FleetPlan(**plan))
        for name in self.fleet.endpoints:
            self.fleet.endpoint_faults(name, delay_s=0.05)

    def publish(self, **wave) -> None:
        objects = self.fleet.objects()
        objects["waves"] = [make_wave(**wave)]
        self.fleet.publish(objects)

    def report(self) -> dict:
        return self.fleet.read_rows("wave-reports").get(WAVE, {})

    def reboots(self) -> dict[str, int]:
        url = f"{self.fleet.platform}/v1/statistics"
        return send(url).json()["reboots"]

    def cut_requests(self) -> int:
        return send(f"{self.fleet.platform}/v1/statistics").json()["cut_requests"]

    def wait_finished(self) -> None:
        wait_until(lambda: self.report().get("finished"), "the wave's end", LIMIT_S)

    def holder(self) -> str:
        return wait_until(lambda: self.report().get("holder"), "a holder", 20)

    def check_whole(self, watch: WaveWatch) -> None:
        """Every VM was rebooted once, no request was cut, the budget held."""
        watch.stop()
        assert self.reboots() == dict.fromkeys(self.fleet.endpoints, 1)
        assert self.cut_requests() == 0
        assert watch.most_reserved == 2
        assert self.fleet.read_rows("budgets")["work"]["vms"] == {}
        assert self.fleet.read_rows("drains") == {}


class TestWave:
    def test_every_vm_is_maintained_and_no_request_fails(self, start_fleet):
        waves = WaveFleet(start_fleet)
        watch = WaveWatch(waves.fleet)
        waves.publish()
        waves.wait_finished()
        waves.check_whole(watch)
        assert watch.statuses == {200}
        explained = waves.fleet.command(
            "explain", WAVE, "--platform", waves.fleet.platform
        )
        assert "finished" in explained.stdout, explained.stderr

    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
    def test_another_entry_takes_a_wave_over(self, start_fleet, number):
        waves = WaveFleet(start_fleet, entries_per_zone=3)
        watch = WaveWatch(waves.fleet)
        waves.publish()
        holder = waves.holder()
        wait_until(lambda: waves.report().get("under_way"), "a VM under way", 20)
        waves.fleet.signal(holder, number)
        if number is signal.SIGKILL:
            waves.fleet.processes[holder].wait()
            waves.fleet.list_vm(holder, "entry", "gone")
        else:
            # Longer than a lease; the holder wakes in the middle of its step.
            time.sleep(9)
            waves.fleet.signal(holder, signal.SIGCONT)
        waves.wait_finished()
        waves.check_whole(watch)

    @pytest.mark.parametrize("seed", [1, 2])
    def test_lost_answers_of_the_platform_harm_nothing(self, start_fleet, seed):
        waves = WaveFleet(start_fleet)
        watch = WaveWatch(waves.fleet)
        waves.publish()
        rng = random.Random(seed)
        end = time.monotonic() + LIMIT_S
        while not waves.report().get("finished") and time.monotonic() < end:
            fault = rng.choice(
                [{"lose_answers": 1}, {"lose_answers": 2}, {"down": True}]
            )
            waves.fleet.platform_faults(**fault)
            time.sleep(rng.uniform(0.1, 1.0))
            waves.fleet.platform_faults()
            time.sleep(rng.uniform(0.1, 1.0))
        waves.wait_finished()
        waves.check_whole(watch)

    def test_failed_vms_stop_the_wave_until_they_return(self, start_fleet):
        waves = WaveFleet(start_fleet)
        first, second = waves.fleet.endpoints[2:]
        for name in (first, second):
            waves.fleet.list_vm(name, "endpoint", "gone")
        time.sleep(1.5)
        waves.publish()
        reasons = wait_until(lambda: waves.report().get("reasons"), "a reason", 20)
        assert "2 VMs have failed and 0 are reserved" in reasons[0]
        assert waves.reboots() == {}
        for name in (first, second):
            waves.fleet.list_vm(name, "endpoint")
        waves.wait_finished()
        assert waves.reboots() == dict.fromkeys(waves.fleet.endpoints, 1)

    def test_long_request_holds_its_vm_and_is_not_cut(self, start_fleet):
        service = {"deadline_s": 30.0, "attempt_timeout_s": 30.0}
        waves = WaveFleet(start_fleet, service=service, endpoints_per_zone=2)
        for name in waves.fleet.endpoints:
            waves.fleet.endpoint_faults(name, delay_s=8.0)
        replies = []
        caller = threading.Thread(
            target=lambda: replies.append(send(waves.fleet.url("zone-1-e1")))
        )
        caller.start()
        time.sleep(0.5)
        waves.publish()
        time.sleep(6)
        assert len(waves.reboots()) <= 1
        caller.join()
        assert replies[0].status == 200
        for name in waves.fleet.endpoints:
            waves.fleet.endpoint_faults(name, delay_s=0.05)
        waves.wait_finished()
        assert waves.cut_requests() == 0

    def test_paused_wave_waits_and_resumes(self, start_fleet):
        waves = WaveFleet(start_fleet)
        waves.publish(paused=True)
        wait_until(lambda: waves.report().get("reasons"), "a reason", 20)
        assert waves.report()["reasons"] == ["the wave is paused"]
        assert waves.reboots() == {}
        waves.publish(paused=False)
        waves.wait_finished()
        assert len(waves.reboots()) == VMS

    def test_rows_of_a_removed_wave_are_swept(self, start_fleet):
        settings = {"duties": {"sweep_interval_s": 0.3, "idle_interval_s": 1.0}}
        waves = WaveFleet(start_fleet, settings=settings)
        waves.publish()
        waves.wait_finished()
        waves.fleet.publish()
        wait_until(lambda: waves.report() == {}, "the sweep", 10)
        waves.publish()
        waves.wait_finished()
        assert waves.reboots() == dict.fromkeys(waves.fleet.endpoints, 2)
