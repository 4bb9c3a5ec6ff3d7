"""Command line: arguments of every command and exit codes."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from chivetray import __version__
from chivetray import commands as handlers
from chivetray.commands import EXIT_OK
from chivetray.exceptions import ChivetrayError, FaultsError
from chivetray.results import ResultCode

EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

DEFAULT_PLATFORM = "http://127.0.0.1:8083"
DEFAULT_WAIT_S = 10.0

_EXIT_CODES = {
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
        return _EXIT_CODES.get(error.code, EXIT_FAULT)
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
        "--version", action="version", version=f"chivetray {__version__}"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_daemon_commands(commands)
    _add_object_commands(commands)
    _add_standin_commands(commands)
    _add_load_command(commands)
    return parser


def _add_command(
    commands: Any, name: str, handler: Handler, summary: str, example: str
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=summary, description=summary, epilog=f"example: chivetray {example}"
    )
    parser.set_defaults(handler=handler)
    return parser


def _add_daemon_commands(commands: Any) -> None:
    entry = _add_command(
        commands,
        "entry",
        handlers.run_entry,
        "Run an entry until SIGTERM.",
        "entry --settings entry.yaml",
    )
    entry.add_argument("--settings", type=Path, required=True, metavar="FILE")
    manager = _add_command(
        commands,
        "manager",
        handlers.run_manager,
        "Run a job manager until SIGTERM.",
        "manager --settings manager.yaml",
    )
    manager.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="settings file; by default the path in CHIVETRAY_BOOT",
    )
    trace = _add_command(
        commands,
        "trace",
        handlers.trace_subject,
        "Print the events of a job, a step or a task from the logs of managers.",
        "trace 00000000000000aa.0.1.2 manager-1.log manager-2.log",
    )
    trace.add_argument(
        "subject",
        metavar="SUBJECT",
        help="JOB, JOB.OCCURRENCE.STEP or JOB.OCCURRENCE.STEP.INDEX",
    )
    trace.add_argument(
        "files",
        nargs="*",
        type=Path,
        metavar="FILE",
        help="log files; standard input by default",
    )
    settings = _add_command(
        commands,
        "settings",
        handlers.show_settings,
        "Print the effective settings and the source of each.",
        "settings --settings entry.yaml",
    )
    settings.add_argument("--settings", type=Path, required=True, metavar="FILE")
    _add_json(settings)


def _add_object_commands(commands: Any) -> None:
    check = _add_command(
        commands,
        "check",
        handlers.check_objects,
        "Check a complete set of objects and print every fault.",
        "check examples/consorzio.yaml",
    )
    _add_files(check)
    _add_json(check)
    publish = _add_command(
        commands,
        "publish",
        handlers.publish_objects,
        "Check a complete set of objects and publish it as the next revision.",
        "publish examples/consorzio.yaml --expect 4 --wait",
    )
    _add_files(publish)
    publish.add_argument(
        "--expect",
        type=int,
        metavar="REVISION",
        help="revision that the files are based on",
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
        handlers.diff_objects,
        "Show what publishing the files would change.",
        "diff examples/consorzio.yaml",
    )
    _add_files(diff)
    _add_platform(diff)
    _add_query_commands(commands)


def _add_query_commands(commands: Any) -> None:
    get = _add_command(
        commands,
        "get",
        handlers.get_objects,
        "Print the newest revision.",
        "get > objects.yaml",
    )
    _add_platform(get)
    history = _add_command(
        commands,
        "history",
        handlers.show_history,
        "List the newest revisions.",
        "history",
    )
    history.add_argument("--limit", type=int, default=20)
    _add_platform(history)
    status = _add_command(
        commands,
        "status",
        handlers.show_status,
        "Show the state of every entry.",
        "status",
    )
    _add_platform(status)
    explain = _add_command(
        commands,
        "explain",
        handlers.explain_object,
        "Show what the entries know about an object or a request.",
        "explain timber",
    )
    explain.add_argument("name", metavar="OBJECT")
    _add_platform(explain)


def _add_standin_commands(commands: Any) -> None:
    standin = commands.add_parser(
        "standin",
        help="Run a stand-in for an external system.",
        epilog="example: chivetray standin platform --port 8083",
    )
    standin_commands = standin.add_subparsers(required=True, metavar="KIND")
    platform = _add_command(
        standin_commands,
        "platform",
        handlers.run_platform_standin,
        "Run a stand-in for the platform.",
        "standin platform --port 8083",
    )
    _add_address(platform, 8083)
    endpoint = _add_command(
        standin_commands,
        "endpoint",
        handlers.run_endpoint_standin,
        "Run a stand-in for an endpoint.",
        "standin endpoint --name w1 --port 9001",
    )
    endpoint.add_argument("--name", required=True)
    endpoint.add_argument("--slots", type=int, default=8)
    endpoint.add_argument("--ledger", default="", metavar="FILE")
    _add_address(endpoint, 9001)
    relay = _add_command(
        standin_commands,
        "relay",
        handlers.run_relay_standin,
        "Run a TCP relay that can stop forwarding, for fault tests.",
        "standin relay --port 9002 --target-address 127.0.0.1 --target-port 9001",
    )
    relay.add_argument("--target-address", required=True)
    relay.add_argument("--target-port", type=int, required=True)
    _add_address(relay, 9002)
    store = _add_command(
        standin_commands,
        "store",
        handlers.run_store_standin,
        "Run a stand-in for the platform's store.",
        "standin store --port 8085",
    )
    _add_address(store, 8085)
    worker = _add_command(
        standin_commands,
        "worker",
        handlers.run_worker_standin,
        "Run a stand-in for a worker that registers itself in a store.",
        "standin worker --name w1 --service pool-a --store 127.0.0.1:8085",
    )
    worker.add_argument("--name", required=True)
    worker.add_argument("--service", required=True)
    worker.add_argument("--store", required=True, metavar="HOST:PORT")
    worker.add_argument("--history", default="", metavar="FILE")
    worker.add_argument("--descriptor", type=int, metavar="LISTENER")
    worker.add_argument("--standby", action="store_true")
    _add_address(worker, 8088)
    _add_command(
        commands,
        "try-jobs",
        handlers.run_try_jobs,
        "Run a store, two workers and one job manager in one process.",
        "try-jobs",
    )
    try_command = _add_command(
        commands,
        "try",
        handlers.run_try,
        "Run a small fleet in one process: platform, endpoints and one entry.",
        "try examples/regie.yaml",
    )
    _add_files(try_command)
    try_command.add_argument("--zone", help="availability zone of the entry")


def _add_load_command(commands: Any) -> None:
    load = _add_command(
        commands,
        "load",
        handlers.run_load_command,
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
    suffix = "; nothing is published" if hasattr(arguments, "files") else ""
    print(f"{count} fault{'s' if count > 1 else ''}{suffix}", file=sys.stderr)
