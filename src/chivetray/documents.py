"""Parses YAML files into plain data and records the line of each value.

Size, depth and number of values are limited, so that a damaged or malicious file
takes bounded time and memory. Aliases, anchors and tags are rejected.
"""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ValidationError

from chivetray.exceptions import Fault, FaultsError
from chivetray.results import ResultCode

FILE_LIMIT_BYTES = 4 * 1024 * 1024
DEPTH_LIMIT = 16
EVENT_LIMIT = 300_000

# Characters that separate values. A text that holds more than ``EVENT_LIMIT`` of one
# of them is rejected before it is parsed.
SEPARATORS = (",", "\n")

# Marks a mapping that expects a key next.
_NO_KEY = object()

NodePath = tuple[str | int, ...]

_RESOLVER: Any = yaml.resolver.Resolver()
_CONSTRUCTOR: Any = yaml.constructor.SafeConstructor()
_SCALAR_CONSTRUCTORS = {
    "tag:yaml.org,2002:int": _CONSTRUCTOR.construct_yaml_int,
    "tag:yaml.org,2002:float": _CONSTRUCTOR.construct_yaml_float,
    "tag:yaml.org,2002:bool": _CONSTRUCTOR.construct_yaml_bool,
    "tag:yaml.org,2002:null": _CONSTRUCTOR.construct_yaml_null,
}


@dataclass(slots=True)
class Document:
    """Plain data parsed from a file.

    :ivar file: name of the file, used in messages
    :ivar data: mapping, sequence or scalar
    :ivar lines: line of each value by its path, counted from 1
    """

    file: str
    data: Any
    lines: dict[NodePath, int] = field(default_factory=dict)

    def line_of(self, path: Iterable[str | int]) -> int:
        """Return the line of a value, or of the innermost container that has one."""
        key = tuple(path)
        while key and key not in self.lines:
            key = key[:-1]
        return self.lines.get(key, 1)


@dataclass(slots=True)
class _Container:
    """A mapping or sequence whose end has not been parsed yet."""

    value: dict[str, Any] | list[Any]
    path: NodePath
    key: Any = _NO_KEY


def read_text(path: Path) -> str:
    """Read a UTF-8 file of limited size.

    :raises FaultsError: when the file is unreadable, too large or not text
    """
    try:
        with path.open("rb") as stream:
            content = stream.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        reason = error.strerror or "it cannot be read"
        raise _build_error(ResultCode.FILE_UNREADABLE, str(path), 1, reason) from error
    if len(content) > FILE_LIMIT_BYTES:
        message = f"the file is larger than {FILE_LIMIT_BYTES} bytes"
        raise _build_error(ResultCode.FILE_TOO_LARGE, str(path), 1, message)
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        message = "the file is not UTF-8 text"
        raise _build_error(ResultCode.NOT_TEXT, str(path), line, message) from error


def parse_document(text: str, file: str) -> Document:
    """Parse one YAML document.

    :raises FaultsError: when the text is not valid YAML or exceeds a limit
    """
    if max(text.count(separator) for separator in SEPARATORS) > EVENT_LIMIT:
        raise _build_error(
            ResultCode.FILE_TOO_LARGE, file, 1, "the file has too many values"
        )
    try:
        return _Builder(file).build(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or "the text is not valid YAML"
        # The YAML parser enforces its own depth limit on input for which it has not
        # emitted events yet.
        too_deep = "nesting depth" in problem
        code = ResultCode.TOO_DEEP if too_deep else ResultCode.BAD_YAML
        raise _build_error(code, file, line, problem) from error


def load_document(path: Path) -> Document:
    """Read and parse a file.

    :raises FaultsError: see :func:`read_text` and :func:`parse_document`
    """
    return parse_document(read_text(path), str(path))


class _Builder:
    """Builds plain data from parser events without recursion."""

    def __init__(self, file: str):
        self.document = Document(file, None)
        self.stack: list[_Container] = []

    def build(self, text: str) -> Document:
        """Return the document of a text."""
        documents = 0
        events = yaml.parse(text, Loader=yaml.CSafeLoader)
        for count, event in enumerate(events):
            if count > EVENT_LIMIT:
                raise self._error_at(
                    event, ResultCode.FILE_TOO_LARGE, "the file has too many values"
                )
            if isinstance(event, yaml.DocumentStartEvent):
                documents += 1
                if documents > 1:
                    raise self._error_at(
                        event, ResultCode.BAD_YAML, "the file has a second document"
                    )
            self._handle_event(event)
        return self.document

    def _handle_event(self, event: yaml.Event) -> None:
        if isinstance(event, yaml.AliasEvent):
            raise self._error_at(event, ResultCode.ALIAS, "aliases are not allowed")
        if isinstance(event, yaml.ScalarEvent):
            self._reject_tag(event, event.tag if not event.implicit[0] else None)
            self._add_scalar(event)
        elif isinstance(event, yaml.MappingStartEvent):
            self._reject_tag(event, event.tag)
            self._open_container(event, {})
        elif isinstance(event, yaml.SequenceStartEvent):
            self._reject_tag(event, event.tag)
            self._open_container(event, [])
        elif isinstance(event, yaml.MappingEndEvent | yaml.SequenceEndEvent):
            self.stack.pop()

    def _reject_tag(self, event: Any, tag: str | None) -> None:
        if tag is not None and tag != "!":
            raise self._error_at(event, ResultCode.ALIAS, "tags are not allowed")
        if event.anchor is not None:
            raise self._error_at(event, ResultCode.ALIAS, "anchors are not allowed")

    def _open_container(
        self, event: yaml.Event, value: dict[str, Any] | list[Any]
    ) -> None:
        if len(self.stack) >= DEPTH_LIMIT:
            message = f"the nesting is deeper than {DEPTH_LIMIT} levels"
            raise self._error_at(event, ResultCode.TOO_DEEP, message)
        path = self._add_value(event, value)
        self.stack.append(_Container(value, path))

    def _add_scalar(self, event: yaml.ScalarEvent) -> None:
        if self.stack and self._expects_key():
            self._set_key(event)
            return
        self._add_value(event, _construct_scalar(event))

    def _expects_key(self) -> bool:
        top = self.stack[-1]
        return isinstance(top.value, dict) and top.key is _NO_KEY

    def _set_key(self, event: yaml.ScalarEvent) -> None:
        top = self.stack[-1]
        assert isinstance(top.value, dict)
        key = event.value
        if key in top.value:
            message = f"the key {key!r} appears twice"
            raise self._error_at(event, ResultCode.DUPLICATE_KEY, message)
        top.key = key
        self.document.lines[(*top.path, key)] = _line_number(event)

    def _add_value(self, event: yaml.Event, value: Any) -> NodePath:
        if not self.stack:
            self.document.data = value
            return ()
        top = self.stack[-1]
        if isinstance(top.value, list):
            path = (*top.path, len(top.value))
            self.document.lines[path] = _line_number(event)
            top.value.append(value)
            return path
        if top.key is _NO_KEY:
            raise self._error_at(
                event, ResultCode.BAD_YAML, "a mapping key is not a scalar"
            )
        path = (*top.path, top.key)
        top.value[top.key] = value
        top.key = _NO_KEY
        return path

    def _error_at(
        self, event: yaml.Event, code: ResultCode, message: str
    ) -> FaultsError:
        line = _line_number(event)
        return _build_error(code, self.document.file, line, message)


def _line_number(event: yaml.Event) -> int:
    return event.start_mark.line + 1 if event.start_mark else 1


def _construct_scalar(event: yaml.ScalarEvent) -> Any:
    tag = _RESOLVER.resolve(yaml.ScalarNode, event.value, event.implicit)
    construct = _SCALAR_CONSTRUCTORS.get(tag)
    if construct is None:
        return event.value
    try:
        return construct(yaml.ScalarNode(tag, event.value))
    except (ValueError, OverflowError):
        # For example, Python rejects integers with thousands of digits.
        return event.value


def _build_error(code: ResultCode, file: str, line: int, message: str) -> FaultsError:
    return FaultsError([Fault(code, file, line, "file", message)])


def validate_document(document: Document, model: type[BaseModel]) -> list[Fault]:
    """Validate a document against a model and return the faults."""
    try:
        model.model_validate(document.data)
    except ValidationError as error:
        return [
            _build_fault(document, model, detail)
            for detail in error.errors(include_url=False)
        ]
    return []


def _build_fault(document: Document, model: type[BaseModel], detail: Any) -> Fault:
    """Convert one validation error into a fault."""
    path = detail["loc"]
    line = document.line_of(path)
    name = _object_name(document.data, path)
    field_name = str(path[-1]) if path else "file"
    if detail["type"] == "extra_forbidden":
        hint = _suggest_field(model, path)
        message = f"the field {field_name!r} does not exist{hint}"
        return Fault(ResultCode.UNKNOWN_FIELD, document.file, line, name, message)
    if detail["type"] == "missing":
        message = f"the field {field_name!r} is missing"
        return Fault(ResultCode.MISSING_FIELD, document.file, line, name, message)
    shown = repr(detail["input"])[:60]
    message = f"{field_name}: {detail['msg'].lower()}, not {shown}"
    return Fault(ResultCode.BAD_VALUE, document.file, line, name, message)


def _object_name(data: Any, path: Iterable[str | int]) -> str:
    """Return the name of the innermost object on a path.

    Without a named object, it is the top-level key, or ``file``.
    """
    name = "file"
    for key in path:
        try:
            data = data[key]
        except (KeyError, IndexError, TypeError):
            break
        if isinstance(data, dict) and isinstance(data.get("name"), str):
            name = data["name"]
        elif name == "file" and isinstance(key, str):
            name = key
    return name


def _suggest_field(model: type[BaseModel], path: Iterable[str | int]) -> str:
    """Return a hint that names the most similar field, or an empty string."""
    *parents, unknown_field = path
    current: Any = model
    for key in parents:
        if isinstance(key, str):
            current = _find_model(current, key)
        if current is None:
            return ""
    matches = difflib.get_close_matches(
        str(unknown_field), list(current.model_fields), 1, 0.5
    )
    return f"; did you mean {matches[0]!r}?" if matches else ""


def _find_model(model: type[BaseModel], key: str) -> Any:
    """Return the model of a field, or of the items of a field."""
    found = model.model_fields.get(key)
    pending = [found.annotation] if found else []
    while pending:
        annotation = pending.pop()
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            return annotation
        pending.extend(getattr(annotation, "__args__", ()))
    return None
