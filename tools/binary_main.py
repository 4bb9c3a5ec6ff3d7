"""Start of the single file: loads extension modules without touching a disk.

The file is a zip archive behind an interpreter line. Python imports pure modules
from it directly. Extension modules are copied into anonymous memory files, from
which the dynamic linker loads them.
"""

from __future__ import annotations

import os
import sys
import zipfile
import zipimport
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType


class MemoryExtensionFinder(MetaPathFinder):
    """Finds the extension modules of the archive."""

    def __init__(self, archive: str):
        self._importer = zipimport.zipimporter(archive)
        self._members: dict[str, str] = {}
        with zipfile.ZipFile(archive) as file:
            members = file.namelist()
        for member in members:
            for suffix in EXTENSION_SUFFIXES:
                if member.endswith(suffix):
                    name = member[: -len(suffix)].replace(os.sep, ".")
                    self._members.setdefault(name, member)
                    break

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of an extension module, or None."""
        member = self._members.get(name)
        if member is None:
            return None
        content = self._importer.get_data(os.path.join(self._importer.archive, member))
        # The file stays open: the linker tells libraries apart by their path.
        descriptor = os.memfd_create(name)
        with open(descriptor, "wb", closefd=False) as file:
            file.write(content)
        place = f"/proc/self/fd/{descriptor}"
        return spec_from_file_location(
            name, place, loader=ExtensionFileLoader(name, place)
        )


sys.meta_path.insert(0, MemoryExtensionFinder(sys.path[0]))

from chivetray.cmdline import main  # noqa: E402

sys.exit(main())
