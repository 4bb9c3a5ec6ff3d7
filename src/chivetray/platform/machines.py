"""The platform's API of VMs, which the platform calls machines."""

from __future__ import annotations

import urllib.parse
from dataclasses import dataclass
from enum import Enum
from typing import Any

from chivetray.platform.calls import Answer, CallSession

CALL_TIMEOUT_S = 1.5


class MachineAnswer(Enum):
    """Outcome of an order for a VM."""

    DONE = "done"
    FENCED = "fence"
    BUSY = "busy"
    NOT_IN_WAVE = "wave"
    IMPOSSIBLE = "impossible"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_REASONS = {
    "fence": MachineAnswer.FENCED,
    "busy": MachineAnswer.BUSY,
    "wave": MachineAnswer.NOT_IN_WAVE,
}


class MachineState(Enum):
    """What the platform says of a VM."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


# States by the platform's names; any other counts as down.
_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.MAINTENANCE,
}


@dataclass(frozen=True, slots=True)
class Machine:
    """A VM as the platform lists it.

    :ivar worker_id: its worker, or empty
    """

    name: str
    pool: str
    state: MachineState
    zone: str
    labels: tuple[str, ...]
    cpu_milli: int
    worker_id: str


class MachineClient:
    """Calls the platform's API of VMs.

    :param holder: name under which orders are given
    """

    def __init__(self, session: CallSession, address: str, holder: str):
        self._session = session
        self._url = f"http://{address}/chivetray"
        self._holder = holder
        self.calls = 0

    def move_to(self, address: str) -> None:
        """Call the API at another address from now on."""
        self._url = f"http://{address}/chivetray"

    async def list_machines(self) -> list[Machine] | None:
        """Return all VMs, or ``None`` when the platform does not answer."""
        machines: list[Machine] = []
        token = ""
        while True:
            url = f"{self._url}/machines"
            if token:
                url += "?" + urllib.parse.urlencode({"PageToken": token})
            self.calls += 1
            outcome = await self._session.call("GET", url, CALL_TIMEOUT_S)
            if not isinstance(outcome, Answer) or not outcome.ok:
                return None
            rows = outcome.body.get("Machines")
            for plain in rows if isinstance(rows, list) else []:
                machine = _decode_machine(plain)
                if machine is not None:
                    machines.append(machine)
            token = outcome.body.get("NextToken") or ""
            if not isinstance(token, str) or not token:
                return machines

    async def move(self, machine: str, pool: str, fence: int) -> MachineAnswer:
        """Move a VM to another pool; everything that runs on it ends at once."""
        return await self._order(
            "machine-move", {"Machine": machine, "Pool": pool}, fence
        )

    async def maintain(self, machine: str, wave: int, fence: int) -> MachineAnswer:
        """Take a VM down for maintenance; everything that runs on it ends."""
        return await self._order(
            "machine-upkeep", {"Machine": machine, "Wave": wave}, fence
        )

    async def _order(self, call: str, body: Any, fence: int) -> MachineAnswer:
        self.calls += 1
        headers = {
            "Chivetray-Duty-Holder": self._holder,
            "Chivetray-Fencing-Token": str(fence),
        }
        outcome = await self._session.call(
            "POST", f"{self._url}/{call}", CALL_TIMEOUT_S, body, headers
        )
        if not isinstance(outcome, Answer):
            return MachineAnswer.UNKNOWN
        if outcome.ok:
            return MachineAnswer.DONE
        if outcome.status == 409:
            reason = str(outcome.body.get("Reason"))
            return _REASONS.get(reason, MachineAnswer.BUSY)
        if outcome.status == 400:
            return MachineAnswer.IMPOSSIBLE
        return MachineAnswer.REFUSED


def _decode_machine(plain: Any) -> Machine | None:
    """Return a VM, or ``None`` when its entry cannot be read."""
    if not isinstance(plain, dict):
        return None
    texts = [plain.get(name) for name in ("Machine", "Pool", "State")]
    if not all(isinstance(text, str) for text in texts):
        return None
    capacity = plain.get("Capacity")
    cpu = capacity.get("Cpu") if isinstance(capacity, dict) else 0
    labels = plain.get("Labels")
    return Machine(
        name=str(texts[0]),
        pool=str(texts[1]),
        state=_STATES.get(str(texts[2]), MachineState.DOWN),
        zone=str(plain.get("Zone") or ""),
        labels=tuple(str(x) for x in labels) if isinstance(labels, list) else (),
        cpu_milli=cpu if isinstance(cpu, int) else 0,
        worker_id=str(plain.get("Id") or ""),
    )
