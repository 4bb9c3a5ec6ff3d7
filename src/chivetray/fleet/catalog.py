"""Index of the configured fleet objects by kind and name."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from pydantic import TypeAdapter

from chivetray.generated import object_models
from chivetray.generated.objects import (
    Budget,
    ObjectSet,
    Pool,
    Service,
    Team,
    Vm,
    Wave,
    Zone,
)

KINDS = ("zones", "pools", "vms", "services", "budgets", "waves", "teams")

FleetObject = Zone | Pool | Vm | Service | Budget | Wave | Team

_OBJECT_SET_ADAPTER: TypeAdapter[ObjectSet] = TypeAdapter(ObjectSet)


@dataclass(slots=True)
class Change:
    """Difference between two revisions.

    :ivar put: new and changed objects
    :ivar remove: names of the removed objects by kind
    """

    put: ObjectSet
    remove: dict[str, list[str]] = field(default_factory=dict)

    @classmethod
    def from_json(cls, content: str) -> Change:
        """Parse a change from JSON.

        :raises ValueError: when the content is not a valid change
        """
        return _CHANGE_ADAPTER.validate_json(content)

    def to_json(self) -> str:
        """Serialise the change to canonical JSON: equal changes give equal text."""
        return _CHANGE_ADAPTER.dump_json(self).decode()

    @property
    def is_empty(self) -> bool:
        """Whether no object is added, changed or removed."""
        return not any(self.remove.values()) and not any(
            getattr(self.put, kind) for kind in KINDS
        )


# Converts directly between JSON and dataclasses. Building plain Python data in
# between would cost an entry several times the memory of the object set.
_CHANGE_ADAPTER: TypeAdapter[Change] = TypeAdapter(Change)


def object_set_to_plain(objects: ObjectSet) -> dict[str, Any]:
    """Convert to the plain data that :func:`object_set_from_plain` accepts."""
    plain: dict[str, Any] = _OBJECT_SET_ADAPTER.dump_python(objects, mode="json")
    return plain


def object_set_from_plain(data: Any) -> ObjectSet:
    """Validate plain data from outside the process and convert it to dataclasses.

    :raises pydantic.ValidationError: when the data does not fit the schema
    """
    model = object_models.ObjectSet.model_validate(data)
    return _OBJECT_SET_ADAPTER.validate_python(model.model_dump(mode="json"))


def digest_of(content: str) -> str:
    """Return the SHA-256 digest, in hexadecimal, under which content is stored."""
    return hashlib.sha256(content.encode()).hexdigest()


@dataclass(slots=True)
class Catalog:
    """Objects of one revision, indexed by kind and name."""

    zones: dict[str, Zone] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    budgets: dict[str, Budget] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)

    @classmethod
    def from_object_set(cls, objects: ObjectSet) -> Catalog:
        """Build a catalog from a whole object set."""
        catalog = cls()
        catalog.put(objects)
        return catalog

    def put(self, objects: ObjectSet) -> None:
        """Insert objects, replacing those of the same kind and name."""
        for kind in KINDS:
            index = getattr(self, kind)
            for item in getattr(objects, kind):
                index[item.name] = item

    def apply(self, change: Change) -> None:
        """Apply a change in place."""
        for kind, names in change.remove.items():
            for name in names:
                getattr(self, kind).pop(name, None)
        self.put(change.put)

    def copy(self) -> Catalog:
        """Return a shallow copy: new indexes over the same objects."""
        return Catalog(**{kind: dict(getattr(self, kind)) for kind in KINDS})

    def to_object_set(self) -> ObjectSet:
        """Return all objects as one set, sorted by name."""
        objects = ObjectSet()
        for kind in KINDS:
            setattr(objects, kind, self._sorted_objects(kind))
        return objects

    def _sorted_objects(self, kind: str) -> list[Any]:
        index = getattr(self, kind)
        return [index[name] for name in sorted(index)]

    def difference(self, newer: Catalog) -> Change:
        """Return the change that turns this catalog into a newer one."""
        change = Change(put=ObjectSet())
        for kind in KINDS:
            old, new = getattr(self, kind), getattr(newer, kind)
            changed = [new[name] for name in sorted(new) if old.get(name) != new[name]]
            setattr(change.put, kind, changed)
            removed = sorted(old.keys() - new.keys())
            if removed:
                change.remove[kind] = removed
        return change

    def find(self, name: str) -> Iterator[tuple[str, FleetObject]]:
        """Yield every object of the given name, with its kind."""
        for kind in KINDS:
            if name in getattr(self, kind):
                yield kind, getattr(self, kind)[name]
