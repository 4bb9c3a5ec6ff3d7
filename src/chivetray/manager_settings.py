"""Reads and checks the settings file of a manager."""

from __future__ import annotations

from pathlib import Path

import yaml
from pydantic import ValidationError

from chivetray.exceptions import Fault, FaultsError
from chivetray.generated.manager_models import ManagerSettings
from chivetray.results import ResultCode


def read_settings_text(path: Path) -> str:
    """Read the text of a settings file.

    :raises FaultsError: when it is no text
    :raises OSError: when it cannot be read
    """
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        fault = Fault(ResultCode.BAD_VALUE, str(path), 1, "settings", str(error))
        raise FaultsError([fault]) from error


def parse_settings(text: str, path: Path) -> ManagerSettings:
    """Parse and check the text of a settings file.

    :raises FaultsError: with every fault
    """
    try:
        plain = yaml.safe_load(text)
        return ManagerSettings.model_validate(plain)
    except yaml.YAMLError as error:
        fault = Fault(ResultCode.BAD_VALUE, str(path), 1, "settings", str(error))
        raise FaultsError([fault]) from error
    except ValidationError as error:
        faults = [
            Fault(
                ResultCode.BAD_VALUE,
                str(path),
                1,
                ".".join(str(part) for part in item["loc"]),
                item["msg"],
            )
            for item in error.errors()
        ]
        raise FaultsError(faults) from error
