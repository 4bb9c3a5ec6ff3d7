"""Builds the single file ``dist/chivetray`` from the installed packages.

Run ``python tools/build_binary.py``. The file needs Python 3.11 on the machine
where it runs, and nothing else: no disk, no child process.
"""

from __future__ import annotations

import compileall
import re
import shutil
import sys
import tempfile
import zipapp
from importlib.metadata import PackageNotFoundError, distribution
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "chivetray"
# Isolated from the packages and settings of the machine.
INTERPRETER = "/usr/bin/env -S python3.11 -I -S"
# Declared by a package that uses it for installing only.
SKIPPED_PACKAGES = ("setuptools",)
SKIPPED_FOLDERS = ("__pycache__", "tests", "..")


def required_packages(name: str) -> set[str]:
    """Return the names of all packages that one needs, itself among them."""
    pending, found = [name], set()
    while pending:
        current = pending.pop()
        try:
            requirements = distribution(current).requires or []
        except PackageNotFoundError:
            # Needed on other platforms only.
            continue
        found.add(current)
        for requirement in requirements:
            if "extra ==" in requirement:
                continue
            needed = re.split(r"[^A-Za-z0-9._-]", requirement, maxsplit=1)[0]
            known = {item.lower() for item in found}
            if needed.lower() not in known and needed not in SKIPPED_PACKAGES:
                pending.append(needed)
    return found


def copy_package(name: str, folder: Path) -> None:
    """Copy the installed files of one package."""
    for file in distribution(name).files or []:
        if any(part in SKIPPED_FOLDERS for part in file.parts):
            continue
        source = Path(str(file.locate()))
        if source.is_file():
            target = folder / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(source, target)


def build(target: Path = TARGET) -> Path:
    """Write the single file and return its path."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        for name in required_packages("chivetray"):
            copy_package(name, folder)
        source = ROOT / "src" / "chivetray"
        shutil.copytree(source, folder / "chivetray", dirs_exist_ok=True)
        for editable in folder.glob("__editable__*"):
            editable.unlink()
        shutil.copyfile(ROOT / "tools" / "binary_main.py", folder / "__main__.py")
        compileall.compile_dir(
            folder, quiet=2, legacy=True, optimize=0, stripdir=temporary
        )
        for cache in list(folder.rglob("__pycache__")):
            shutil.rmtree(cache)
        for source_file in folder.rglob("*.py"):
            compiled = source_file.with_suffix(".pyc").exists()
            if compiled and source_file.name != "__main__.py":
                source_file.unlink()
        target.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(folder, target, interpreter=INTERPRETER)
    return target


if __name__ == "__main__":
    path = build()
    print(f"{path}: {path.stat().st_size / 1e6:.1f} MB")
    sys.exit(0)
