"""Generates code and reference pages from the schema.

Run ``python tools/generate.py`` after a change to ``schema/``, to the result
codes or to the events; ``--check`` only compares, for CI.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml

ROOT = Path(__file__).resolve().parent.parent
GENERATED = ROOT / "src" / "chivetray" / "generated"

# Schema, generated module and kind of class.
TARGETS = (
    ("objects", "object_models", "pydantic_v2.BaseModel"),
    ("objects", "objects", "dataclasses.dataclass"),
    ("settings", "setting_models", "pydantic_v2.BaseModel"),
    ("settings", "settings", "dataclasses.dataclass"),
    ("messages", "messages", "dataclasses.dataclass"),
    ("manager", "manager_models", "pydantic_v2.BaseModel"),
)


def generate_module(schema: str, module: str, model_type: str, folder: Path) -> None:
    """Write one generated module."""
    target = folder / f"{module}.py"
    command = [
        sys.executable,
        "-m",
        "datamodel_code_generator",
        "--input",
        str(ROOT / "schema" / f"{schema}.yaml"),
        "--input-file-type",
        "jsonschema",
        "--output",
        str(target),
        "--output-model-type",
        model_type,
        "--target-python-version",
        "3.11",
        "--use-standard-collections",
        "--use-union-operator",
        "--use-schema-description",
        "--use-field-description",
        "--disable-timestamp",
        "--collapse-root-models",
        "--field-constraints",
        "--set-default-enum-member",
        "--use-annotated",
        "--strict-nullable",
    ]
    subprocess.run(command, check=True)
    if model_type.startswith("dataclasses"):
        text = target.read_text()
        target.write_text(text.replace("@dataclass\n", "@dataclass(slots=True)\n"))
    subprocess.run(
        [
            sys.executable,
            "-m",
            "ruff",
            "check",
            "-q",
            "--fix",
            "--select",
            "I,UP,F",
            str(target),
        ],
        check=True,
    )
    subprocess.run(
        [sys.executable, "-m", "ruff", "format", "-q", str(target)], check=True
    )


def render_reference(title: str, schema: str) -> str:
    """Render the fields of a schema as a page of tables."""
    document = yaml.safe_load((ROOT / "schema" / f"{schema}.yaml").read_text())
    lines = [f"# {title}", "", f"Generated from `schema/{schema}.yaml`.", ""]
    definitions = document.get("definitions") or {document["title"]: document}
    for name, definition in definitions.items():
        if definition.get("type") != "object":
            continue
        lines += [f"## {name}", "", definition.get("description", ""), ""]
        lines += ["| field | type | default | meaning |", "| --- | --- | --- | --- |"]
        required = definition.get("required", [])
        for field, spec in definition["properties"].items():
            kind = spec.get("type") or spec["$ref"].rsplit("/", 1)[-1]
            default = (
                "required" if field in required else f"`{spec.get('default', '')}`"
            )
            lines.append(
                f"| `{field}` | {kind} | {default} | {spec.get('description', '')} |"
            )
        lines.append("")
    return "\n".join(lines)


def render_results() -> str:
    """Render the table of result codes."""
    from chivetray.results import ResultCode

    lines = ["# Result codes", "", "Generated from `src/chivetray/results.py`.", ""]
    lines += [
        "| code | name | HTTP status | ran | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for code in ResultCode:
        lines.append(
            f"| {code.number} | `{code.name}` | {code.http_status or ''} | {code.ran.value} | {code.meaning} |"
        )
    return "\n".join(lines) + "\n"


def render_events() -> str:
    """Render the catalogue of events."""
    from chivetray.events import Event

    lines = ["# Events", "", "Generated from `src/chivetray/events.py`.", ""]
    lines += ["| number | name | meaning |", "| --- | --- | --- |"]
    for event in Event:
        lines.append(f"| {event.number} | `{event.name}` | {event.meaning} |")
    return "\n".join(lines) + "\n"


def generate_all(root: Path) -> list[Path]:
    """Write every generated file below a root and return the paths."""
    package = root / "src" / "chivetray" / "generated"
    docs = root / "docs"
    package.mkdir(parents=True, exist_ok=True)
    docs.mkdir(parents=True, exist_ok=True)
    for schema, module, model_type in TARGETS:
        generate_module(schema, module, model_type, package)
    (docs / "SETTINGS.md").write_text(render_reference("Settings", "settings"))
    (docs / "MANAGER.md").write_text(render_reference("Manager settings", "manager"))
    (docs / "OBJECTS.md").write_text(render_reference("Objects", "objects"))
    (docs / "RESULTS.md").write_text(render_results())
    (docs / "EVENTS.md").write_text(render_events())
    modules = [package / f"{module}.py" for _, module, _ in TARGETS]
    pages = [
        docs / f"{page}.md"
        for page in ("SETTINGS", "MANAGER", "OBJECTS", "RESULTS", "EVENTS")
    ]
    return modules + pages


def check_current() -> int:
    """Return 1 when a committed file differs from what the schema gives."""
    stale = []
    # The formatter reads its configuration from the repository.
    with tempfile.TemporaryDirectory(
        dir=ROOT / "build" if (ROOT / "build").exists() else ROOT
    ) as folder:
        for path in generate_all(Path(folder)):
            committed = ROOT / path.relative_to(folder)
            if not committed.exists() or committed.read_text() != path.read_text():
                stale.append(str(path.relative_to(folder)))
    for name in stale:
        print(f"{name} is not what the schema gives: run python tools/generate.py")
    return 1 if stale else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare only")
    arguments = parser.parse_args()
    if arguments.check:
        return check_current()
    generate_all(ROOT)
    return 0


if __name__ == "__main__":
    sys.exit(main())
