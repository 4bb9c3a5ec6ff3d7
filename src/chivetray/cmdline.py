"""Command line: one handler for each command."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from importlib.metadata import version
from pathlib import Path
from typing import Any

import anyio
import yaml

from chivetray.config import Config
from chivetray.control import Control, describe_change
from chivetray.entry import Entry
from chivetray.events import open_log
from chivetray.exceptions import ChivetrayError, FaultsError
from chivetray.fleet.catalog import KINDS, object_set_to_plain
from chivetray.load import LoadPlan, run_load
from chivetray.results import ResultCode
from chivetray.standins import runner
from chivetray.standins.relay import Relay

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

DEFAULT_PLATFORM = "http://127.0.0.1:8083"
DEFAULT_WAIT_S = 10.0

_EXITS = {
    ResultCode.REVISION_CONFLICT: EXIT_CONFLICT,
    ResultCode.PLATFORM_UNAVAILABLE: EXIT_UNAVAILABLE,
    ResultCode.PLATFORM_REFUSED: EXIT_UNAVAILABLE,
    ResultCode.ENTRY_UNAVAILABLE: EXIT_UNAVAILABLE,
    ResultCode.PUBLISH_UNKNOWN: EXIT_UNAVAILABLE,
    ResultCode.NOT_IN_FORCE: EXIT_UNAVAILABLE,
}

Handler = Callable[[argparse.Namespace], int]


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = build_parser().parse_args(argv)
    handler: Handler = arguments.handler
    try:
        return handler(arguments)
    except FaultsError as error:
        _print_faults(arguments, error)
        return EXIT_FAULT
    except ChivetrayError as error:
        print(error, file=sys.stderr)
        return _EXITS.get(error.code, EXIT_FAULT)
    except OSError as error:
        code = ResultCode.FILE_UNREADABLE.number
        print(f"error {code}: {error}", file=sys.stderr)
        return EXIT_FAULT
    except KeyboardInterrupt:
        return EXIT_OK


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="chivetray",
        description="Fleet capacity and maintenance manager.",
        epilog="example: chivetray try examples/regie.yaml",
    )
    parser.add_argument(
        "--version", action="version", version=f"chivetray {version('chivetray')}"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_daemon_commands(commands)
    _add_object_commands(commands)
    _add_standin_commands(commands)
    _add_load_command(commands)
    return parser


def _add_command(
    commands: Any, name: str, handler: Handler, text: str, example: str
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=text, description=text, epilog=f"example: chivetray {example}"
    )
    parser.set_defaults(handler=handler)
    return parser


def _add_daemon_commands(commands: Any) -> None:
    entry = _add_command(
        commands,
        "entry",
        run_entry,
        "Run an entry until SIGTERM.",
        "entry --settings entry.yaml",
    )
    entry.add_argument("--settings", type=Path, required=True, metavar="FILE")
    settings = _add_command(
        commands,
        "settings",
        show_settings,
        "Print the effective settings and where each comes from.",
        "settings --settings entry.yaml",
    )
    settings.add_argument("--settings", type=Path, required=True, metavar="FILE")
    _add_json(settings)


def _add_object_commands(commands: Any) -> None:
    check = _add_command(
        commands,
        "check",
        check_objects,
        "Check a whole set of objects and print every fault.",
        "check examples/consorzio.yaml",
    )
    _add_files(check)
    _add_json(check)
    publish = _add_command(
        commands,
        "publish",
        publish_objects,
        "Check a whole set of objects and publish it as the next revision.",
        "publish examples/consorzio.yaml --expect 4 --wait",
    )
    _add_files(publish)
    publish.add_argument(
        "--expect", type=int, metavar="REVISION", help="revision the files are based on"
    )
    publish.add_argument(
        "--wait",
        type=float,
        nargs="?",
        const=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="wait until every live entry reports the revision",
    )
    _add_platform(publish)
    diff = _add_command(
        commands,
        "diff",
        diff_objects,
        "Show what publishing the files would change.",
        "diff examples/consorzio.yaml",
    )
    _add_files(diff)
    _add_platform(diff)
    _add_lookups(commands)


def _add_lookups(commands: Any) -> None:
    get = _add_command(
        commands, "get", get_objects, "Print the newest revision.", "get > objects.yaml"
    )
    _add_platform(get)
    history = _add_command(
        commands, "history", show_history, "List the newest revisions.", "history"
    )
    history.add_argument("--limit", type=int, default=20)
    _add_platform(history)
    status = _add_command(
        commands, "status", show_status, "Show the state of every entry.", "status"
    )
    _add_platform(status)
    explain = _add_command(
        commands,
        "explain",
        explain_object,
        "Tell what the entries know of an object or a request.",
        "explain timber",
    )
    explain.add_argument("name", metavar="OBJECT")
    _add_platform(explain)


def _add_standin_commands(commands: Any) -> None:
    standin = commands.add_parser(
        "standin",
        help="Run a stand-in of an outside system.",
        epilog="example: chivetray standin platform --port 8083",
    )
    kinds = standin.add_subparsers(required=True, metavar="KIND")
    platform = _add_command(
        kinds,
        "platform",
        run_platform_standin,
        "Run a platform stand-in.",
        "standin platform --port 8083",
    )
    _add_address(platform, 8083)
    endpoint = _add_command(
        kinds,
        "endpoint",
        run_endpoint_standin,
        "Run an endpoint stand-in.",
        "standin endpoint --name w1 --port 9001",
    )
    endpoint.add_argument("--name", required=True)
    endpoint.add_argument("--slots", type=int, default=8)
    endpoint.add_argument("--ledger", default="", metavar="FILE")
    _add_address(endpoint, 9001)
    relay = _add_command(
        kinds,
        "relay",
        run_relay_standin,
        "Run a TCP relay that can go silent.",
        "standin relay --port 9002 --target-address 127.0.0.1 --target-port 9001",
    )
    relay.add_argument("--target-address", required=True)
    relay.add_argument("--target-port", type=int, required=True)
    _add_address(relay, 9002)
    attempt = _add_command(
        commands,
        "try",
        run_try,
        "Run a small fleet in one process: platform, endpoints and one entry.",
        "try examples/regie.yaml",
    )
    _add_files(attempt)
    attempt.add_argument("--zone", help="availability zone of the entry")


def _add_load_command(commands: Any) -> None:
    load = _add_command(
        commands,
        "load",
        run_load_command,
        "Send requests on a fixed schedule and report latencies.",
        "load http://127.0.0.1:8080/timber --rate 100 --seconds 5",
    )
    load.add_argument("url")
    load.add_argument("--rate", type=float, default=100.0, help="requests per second")
    load.add_argument("--seconds", type=float, default=5.0)
    load.add_argument("--method", default="GET")
    load.add_argument("--body-bytes", type=int, default=0)
    load.add_argument("--timeout-s", type=float, default=10.0)
    load.add_argument("--concurrency", type=int, default=1000)
    load.add_argument("--keyed", action="store_true", help="send idempotency keys")
    _add_json(load)


def _add_files(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("files", type=Path, nargs="+", metavar="FILE")


def _add_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_platform(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--platform",
        default=DEFAULT_PLATFORM,
        metavar="URL",
        help="URL of the platform",
    )
    _add_json(parser)


def _add_address(parser: argparse.ArgumentParser, port: int) -> None:
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=port)


def _print_faults(arguments: argparse.Namespace, error: FaultsError) -> None:
    if getattr(arguments, "json", False):
        faults = [
            {**asdict(fault), "code": fault.code.number, "name": fault.code.name}
            for fault in error.faults
        ]
        print(json.dumps({"faults": faults}))
        return
    for fault in error.faults:
        print(fault, file=sys.stderr)
    count = len(error.faults)
    print(
        f"{count} fault{'s' if count > 1 else ''}; nothing is published",
        file=sys.stderr,
    )


def _with_control(
    arguments: argparse.Namespace, use: Callable[[Control], Awaitable[int]]
) -> int:
    """Run a coroutine with a facade for the platform."""

    async def run() -> int:
        control = Control.from_url(arguments.platform)
        try:
            return await use(control)
        finally:
            await control.aclose()

    return anyio.run(run)


def run_entry(arguments: argparse.Namespace) -> int:
    """Run an entry until SIGTERM."""
    config = Config.from_file(arguments.settings)
    open_log()

    async def run() -> None:
        await Entry.from_config(config).run()

    anyio.run(run)
    return EXIT_OK


def show_settings(arguments: argparse.Namespace) -> int:
    """Print the effective settings."""
    rows = Config.from_file(arguments.settings).describe()
    if arguments.json:
        document = {name: {"value": value, "source": src} for name, value, src in rows}
        print(json.dumps(document))
        return EXIT_OK
    for name, value, source in rows:
        print(f"{name}: {value}  ({source})")
    return EXIT_OK


def check_objects(arguments: argparse.Namespace) -> int:
    """Check files and print every fault."""
    checked = Control.check(arguments.files)
    counts = {kind: len(getattr(checked.objects, kind)) for kind in KINDS}
    if arguments.json:
        print(json.dumps({"faults": [], "counts": counts}))
    else:
        shown = ", ".join(f"{count} {kind}" for kind, count in counts.items())
        print(f"no faults: {shown}")
    return EXIT_OK


def publish_objects(arguments: argparse.Namespace) -> int:
    """Publish files."""

    async def publish(control: Control) -> int:
        published = await control.publish(
            arguments.files, arguments.expect, arguments.wait
        )
        if arguments.json:
            print(json.dumps(asdict(published)))
        else:
            verb = (
                "is published" if published.changed else "has the same objects already"
            )
            print(f"revision {published.number} {verb}")
        if published.missing:
            names = ", ".join(published.missing)
            message = f"these entries do not report it: {names}"
            raise ChivetrayError(ResultCode.NOT_IN_FORCE, message)
        return EXIT_OK

    return _with_control(arguments, publish)


def diff_objects(arguments: argparse.Namespace) -> int:
    """Show what publishing files would change."""

    async def diff(control: Control) -> int:
        number, _, change = await control.diff(arguments.files)
        phrases = describe_change(change)
        if arguments.json:
            print(json.dumps({"revision": number, "changes": phrases}))
            return EXIT_OK
        print(f"against revision {number}:")
        for phrase in phrases or ["no changes"]:
            print(f"  {phrase}")
        return EXIT_OK

    return _with_control(arguments, diff)


def get_objects(arguments: argparse.Namespace) -> int:
    """Print the newest revision."""

    async def get(control: Control) -> int:
        number, catalog = await control.get()
        if number == 0:
            message = "no revision was published yet"
            raise ChivetrayError(ResultCode.NOTHING_PUBLISHED, message)
        plain = object_set_to_plain(catalog.to_object_set())
        if arguments.json:
            print(json.dumps({"revision": number, "objects": plain}))
        else:
            print(f"# revision {number}")
            print(yaml.safe_dump(plain, sort_keys=False), end="")
        return EXIT_OK

    return _with_control(arguments, get)


def show_history(arguments: argparse.Namespace) -> int:
    """List the newest revisions."""

    async def history(control: Control) -> int:
        items = await control.history(arguments.limit)
        if arguments.json:
            print(json.dumps([asdict(item) for item in items]))
            return EXIT_OK
        for item in items:
            print(f"{item.number}  {item.created_at_s:.0f}  {item.author}")
        return EXIT_OK

    return _with_control(arguments, history)


def show_status(arguments: argparse.Namespace) -> int:
    """Show the state of every entry."""

    async def status(control: Control) -> int:
        reports = await control.status()
        if arguments.json:
            print(json.dumps([asdict(report) for report in reports]))
            return EXIT_OK
        for report in reports:
            print(_describe_report(report.name, report.status, report.reason))
        return EXIT_OK

    return _with_control(arguments, status)


def _describe_report(name: str, status: dict[str, Any] | None, reason: str) -> str:
    if status is None:
        return f"{name}: {reason}"
    state = (
        "leaving" if status["leaving"] else "ready" if status["ready"] else "not ready"
    )
    platform = "answers" if status["platform_answers"] else "does not answer"
    peers = ", ".join(peer["name"] for peer in status["peers"]) or "none"
    lines = [
        f"{name} in {status['zone']}: {state}, revision {status['revision']}",
        f"  {status['in_flight']} requests in flight, {status['waiting']} waiting",
        f"  live peers: {peers}; the platform {platform}",
    ]
    if status["ejected"]:
        lines.append(f"  set aside: {', '.join(status['ejected'])}")
    if status["unavailable"]:
        lines.append(f"  leaving or gone: {', '.join(status['unavailable'])}")
    return "\n".join(lines)


def explain_object(arguments: argparse.Namespace) -> int:
    """Tell what the entries know of an object or a request."""

    async def explain(control: Control) -> int:
        found = await control.explain(arguments.name)
        if arguments.json:
            print(json.dumps(found))
            return EXIT_OK
        for entry, lines in found.items():
            print(f"{entry}:")
            for line in lines:
                print(f"  {line}")
        return EXIT_OK

    return _with_control(arguments, explain)


def run_platform_standin(arguments: argparse.Namespace) -> int:
    """Run a platform stand-in."""
    anyio.run(runner.serve_platform, arguments.address, arguments.port)
    return EXIT_OK


def run_endpoint_standin(arguments: argparse.Namespace) -> int:
    """Run an endpoint stand-in."""
    anyio.run(
        runner.serve_endpoint,
        arguments.name,
        arguments.slots,
        arguments.address,
        arguments.port,
        arguments.ledger,
    )
    return EXIT_OK


def run_relay_standin(arguments: argparse.Namespace) -> int:
    """Run a TCP relay."""
    relay = Relay(arguments.target_address, arguments.target_port)
    anyio.run(relay.serve, arguments.address, arguments.port)
    return EXIT_OK


def run_try(arguments: argparse.Namespace) -> int:
    """Run a small fleet in one process."""
    open_log()
    anyio.run(runner.run_try, arguments.files, arguments.zone)
    return EXIT_OK


def run_load_command(arguments: argparse.Namespace) -> int:
    """Send load and report."""
    plan = LoadPlan(
        url=arguments.url,
        rate_per_s=arguments.rate,
        duration_s=arguments.seconds,
        method=arguments.method,
        body_bytes=arguments.body_bytes,
        timeout_s=arguments.timeout_s,
        concurrency_limit=arguments.concurrency,
        keyed=arguments.keyed,
    )
    report = anyio.run(run_load, plan).to_plain()
    if arguments.json:
        print(json.dumps(report))
        return EXIT_OK
    for name, value in report.items():
        print(f"{name}: {value}")
    return EXIT_OK
