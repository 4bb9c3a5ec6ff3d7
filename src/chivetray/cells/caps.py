"""The caps of organisations that a process knows, by the operator's configuration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from chivetray.clocks import boot_time_s
from chivetray.organisations.model import Resources
from chivetray.organisations.shares import NOTHING, newly_limited
from chivetray.platform.stored_records import OperatorConfig

# Time after which all owners know a first cap and have stored what they use under it:
# 3 s until a configuration is in force everywhere, and the time of a slow write.
FIRST_CAP_DELAY_S = 3.5


@dataclass(frozen=True, slots=True)
class KnownCap:
    """The cap of an organisation in the newest configuration that names it.

    :ivar closed_until_s: time until which nothing starts, since other owners may use
        what they have not stored, after a resource has got its first cap
    """

    cap: Resources
    closed_until_s: float = 0.0


class CapRegister:
    """The last known cap of each organisation, also of removed ones.

    :param get_config: returns the configuration in force, ``None`` before the first
    :ivar version: version of the configuration that the caps are from
    :ivar has_caps: whether any organisation has a cap
    """

    def __init__(self, get_config: Callable[[], OperatorConfig | None] = lambda: None):
        self.caps: dict[str, KnownCap] = {}
        self.version = 0
        self.has_caps = False
        self._get_config = get_config
        self._config: OperatorConfig | None = None

    def refresh(self) -> None:
        """Follow the configuration in force."""
        config = self._get_config()
        if config is None or config is self._config:
            return
        self._config, self.version = config, config.version
        for name, organisation in config.organisations.items():
            before, cap = self.caps.get(name), organisation.cap
            if before is not None and before.cap == cap:
                continue
            closed_until_s = 0.0
            if before is not None and newly_limited(before.cap, cap):
                closed_until_s = boot_time_s() + FIRST_CAP_DELAY_S
            self.caps[name] = KnownCap(cap, closed_until_s)
        self.has_caps = any(known.cap != NOTHING for known in self.caps.values())
