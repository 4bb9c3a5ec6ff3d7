"""Effective settings of an entry."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter

from chivetray.documents import Document, load_document, validate_document
from chivetray.exceptions import FaultsError
from chivetray.generated import setting_models, settings

# Sections that are optional in a file.
_SECTIONS = (
    "listeners",
    "peers",
    "requests",
    "retries",
    "outliers",
    "claims",
    "duties",
)
_ADAPTER: TypeAdapter[settings.Settings] = TypeAdapter(settings.Settings)


@dataclass(frozen=True, slots=True)
class Config:
    """Settings of an entry, and which of them the file sets."""

    # Identity and addresses of the entry.
    entry: settings.EntrySettings
    listeners: settings.ListenerSettings

    # Other systems.
    platform: settings.PlatformSettings
    peers: settings.PeerSettings

    # Handling of requests.
    requests: settings.RequestSettings
    retries: settings.RetrySettings
    outliers: settings.OutlierSettings
    claims: settings.ClaimSettings

    # Control duties, such as maintenance waves.
    duties: settings.DutySettings

    # Dotted names of the settings that the file sets; the others have defaults.
    given: frozenset[str]

    @classmethod
    def from_file(cls, path: Path) -> Config:
        """Read the settings from a YAML file.

        :raises FaultsError: with every fault in the file
        """
        return cls.from_document(load_document(path))

    @classmethod
    def from_document(cls, document: Document) -> Config:
        """Create the settings from a parsed file.

        :raises FaultsError: with every fault in the document
        """
        given = _given_names(document.data)
        if isinstance(document.data, dict):
            for section in _SECTIONS:
                document.data.setdefault(section, {})
        faults = validate_document(document, setting_models.Settings)
        if faults:
            raise FaultsError(faults)
        model = setting_models.Settings.model_validate(document.data)
        values = _ADAPTER.validate_python(model.model_dump(mode="json"))
        sections = {
            item.name: getattr(values, item.name)
            for item in dataclasses.fields(cls)
            if item.name != "given"
        }
        return cls(**sections, given=given)

    def describe(self) -> list[tuple[str, Any, str]]:
        """Return the name, value and source of each setting."""
        rows = []
        for item in dataclasses.fields(self):
            if item.name == "given":
                continue
            section = dataclasses.asdict(getattr(self, item.name))
            for name, value in section.items():
                dotted = f"{item.name}.{name}"
                source = "file" if dotted in self.given else "default"
                rows.append((dotted, value, source))
        return rows


def _given_names(data: Any) -> frozenset[str]:
    """Return the dotted names of the settings that a file sets."""
    if not isinstance(data, dict):
        return frozenset()
    return frozenset(
        f"{section}.{name}"
        for section, values in data.items()
        if isinstance(values, dict)
        for name in values
    )
