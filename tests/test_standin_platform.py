"""The stand-in of the platform that entries use."""

from __future__ import annotations

from types import SimpleNamespace

import anyio

from chivetray.standins import platform
from chivetray.standins.platform import PlatformState


class TestLostAnswerOfAReboot:
    def test_the_reboot_runs_once_though_the_fault_ends_meanwhile(
        self, monkeypatch
    ) -> None:
        """It ran again with the answer, so that a VM counted as rebooted twice."""
        state = PlatformState()
        state.vms["vm"] = (1, {})
        state.faults.lose_answers = 1
        reboots = []

        async def reboot(_state, name) -> None:
            reboots.append(name)
            state.faults.lose_answers = 0

        async def body() -> dict[str, str]:
            return {"expected_boot_id": "boot-0"}

        monkeypatch.setattr(platform, "_run_reboot", reboot)
        request = SimpleNamespace(
            app=SimpleNamespace(state=SimpleNamespace(store=state)),
            path_params={"name": "vm"},
            json=body,
        )

        async def call() -> None:
            with anyio.move_on_after(0.2):
                response = await platform._reboot_vm(request)
                await response.background()

        anyio.run(call)
        assert reboots == ["vm"]
