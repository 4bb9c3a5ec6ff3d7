"""Client for the platform's VM API; the platform calls VMs machines."""

from __future__ import annotations

import urllib.parse
from dataclasses import dataclass
from enum import Enum
from typing import Any

from chivetray.platform.calls import Answer, CallSession
from chivetray.platform.values import (
    MAX_CAPACITY,
    read_list,
    read_text,
    read_whole_number,
)

CALL_TIMEOUT_S = 1.5


class VmOrderOutcome(Enum):
    """Outcome of an order to move or maintain a VM."""

    DONE = "done"
    FENCED = "fence"
    BUSY = "busy"
    NOT_IN_WAVE = "wave"
    IMPOSSIBLE = "impossible"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_ANSWERS_BY_REASON = {
    "fence": VmOrderOutcome.FENCED,
    "busy": VmOrderOutcome.BUSY,
    "wave": VmOrderOutcome.NOT_IN_WAVE,
}


class PlatformVmState(Enum):
    """State of a VM as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


# States by the platform's names; an unknown name counts as down.
_STATES_BY_NAME = {
    "up": PlatformVmState.UP,
    "moving": PlatformVmState.MOVING,
    "upkeep": PlatformVmState.MAINTENANCE,
}


@dataclass(frozen=True, slots=True)
class PlatformVm:
    """A VM as the platform lists it.

    :ivar worker_id: worker that runs on the VM, or empty
    """

    name: str
    pool: str
    state: PlatformVmState
    zone: str
    labels: tuple[str, ...]
    cpu_milli: int
    worker_id: str


class PlatformVmClient:
    """Calls the platform's VM API.

    :param holder: name of the duty holder that sends the orders
    """

    def __init__(self, session: CallSession, address: str, holder: str):
        self._session = session
        self._url = f"http://{address}/chivetray"
        self._holder = holder
        self.calls = 0

    def move_to(self, address: str) -> None:
        """Send all further calls to another address."""
        self._url = f"http://{address}/chivetray"

    async def list_vms(self) -> list[PlatformVm] | None:
        """Return all VMs, or ``None`` when the platform gives no usable answer."""
        machines: list[PlatformVm] = []
        token = ""
        while True:
            url = f"{self._url}/machines"
            if token:
                url += "?" + urllib.parse.urlencode({"PageToken": token})
            self.calls += 1
            outcome = await self._session.call("GET", url, CALL_TIMEOUT_S)
            if not isinstance(outcome, Answer) or not outcome.ok:
                return None
            for plain in read_list(outcome.body, "Machines"):
                machine = _decode_machine(plain)
                if machine is not None:
                    machines.append(machine)
            token = outcome.body.get("NextToken") or ""
            if not isinstance(token, str) or not token:
                return machines

    async def move(self, machine: str, pool: str, fencing_token: int) -> VmOrderOutcome:
        """Move a VM to another pool, which ends everything that runs on it at once."""
        return await self._send_order(
            "machine-move", {"Machine": machine, "Pool": pool}, fencing_token
        )

    async def maintain(
        self, machine: str, wave: int, fencing_token: int
    ) -> VmOrderOutcome:
        """Take a VM down for maintenance, which ends everything that runs on it."""
        return await self._send_order(
            "machine-upkeep", {"Machine": machine, "Wave": wave}, fencing_token
        )

    async def _send_order(
        self, call: str, body: Any, fencing_token: int
    ) -> VmOrderOutcome:
        self.calls += 1
        headers = {
            "Chivetray-Duty-Holder": self._holder,
            "Chivetray-Fencing-Token": str(fencing_token),
        }
        outcome = await self._session.call(
            "POST", f"{self._url}/{call}", CALL_TIMEOUT_S, body, headers
        )
        if not isinstance(outcome, Answer):
            return VmOrderOutcome.UNKNOWN
        if outcome.ok:
            return VmOrderOutcome.DONE
        if outcome.status == 409:
            reason = read_text(outcome.body.get("Reason")) or ""
            return _ANSWERS_BY_REASON.get(reason, VmOrderOutcome.BUSY)
        if outcome.status == 400:
            return VmOrderOutcome.IMPOSSIBLE
        return VmOrderOutcome.REFUSED


def _decode_machine(plain: Any) -> PlatformVm | None:
    """Decode a VM, or return ``None`` when it is invalid."""
    if not isinstance(plain, dict):
        return None
    texts = [plain.get(name) for name in ("Machine", "Pool", "State")]
    if not all(isinstance(text, str) for text in texts):
        return None
    capacity = plain.get("Capacity")
    cpu = capacity.get("Cpu") if isinstance(capacity, dict) else 0
    return PlatformVm(
        name=str(texts[0]),
        pool=str(texts[1]),
        state=_STATES_BY_NAME.get(str(texts[2]), PlatformVmState.DOWN),
        zone=read_text(plain.get("Zone")) or "",
        labels=tuple(
            label for label in read_list(plain, "Labels") if isinstance(label, str)
        ),
        cpu_milli=read_whole_number(cpu, MAX_CAPACITY) or 0,
        worker_id=read_text(plain.get("Id")) or "",
    )
