"""Command handlers: one function for each command."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import anyio
import yaml

from chivetray.config import Config
from chivetray.control import Control, describe_change
from chivetray.entry import Entry
from chivetray.events import open_log
from chivetray.exceptions import ChivetrayError
from chivetray.fleet.catalog import KINDS, object_set_to_plain
from chivetray.load import LoadPlan, run_load
from chivetray.manager import SETTINGS_VARIABLE, run_from_file
from chivetray.results import ResultCode
from chivetray.standins import jobs, runner
from chivetray.standins.relay import Relay
from chivetray.trace import (
    Subject,
    find_queues,
    read_events,
    render,
    select_events,
)

EXIT_OK = 0


def _run_with_control(
    arguments: argparse.Namespace, operation: Callable[[Control], Awaitable[int]]
) -> int:
    """Connect to the platform and run a coroutine function with the connection."""

    async def run() -> int:
        control = Control.from_url(arguments.platform)
        try:
            return await operation(control)
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


def run_manager(arguments: argparse.Namespace) -> int:
    """Run a job manager until SIGTERM."""
    name = arguments.settings or os.environ.get(SETTINGS_VARIABLE)
    if not name:
        message = f"no settings file: pass --settings or set {SETTINGS_VARIABLE}"
        raise ChivetrayError(ResultCode.BAD_VALUE, message)
    run_from_file(Path(name))
    return EXIT_OK


def trace_subject(arguments: argparse.Namespace) -> int:
    """Print the events of a job, step or task in order; fail when there are none."""
    subject = Subject.parse(arguments.subject)
    lines: list[str] = []
    for path in arguments.files:
        name = path.stem
        text = path.read_text(errors="replace")
        lines += [f"{name} {line}" for line in text.splitlines()]
    if not arguments.files:
        lines = sys.stdin.read().splitlines()
    found = False
    events = read_events(lines)
    queues = find_queues(events, subject)
    if len(queues) > 1:
        print(
            f"jobs of {len(queues)} queues have the identifier {subject.job_id}, and "
            f"their events are shown together: {', '.join(queues)}"
        )
    for event in select_events(events, subject):
        found = True
        print(render(event))
    if not found:
        message = f"no log line mentions {subject.kind} {subject}"
        raise ChivetrayError(ResultCode.NO_JOB, message)
    return EXIT_OK


def show_settings(arguments: argparse.Namespace) -> int:
    """Print the effective settings."""
    rows = Config.from_file(arguments.settings).describe()
    if arguments.json:
        document = {
            name: {"value": value, "source": origin} for name, value, origin in rows
        }
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
                "is published" if published.changed else "already has the same objects"
            )
            print(f"revision {published.number} {verb}")
        if published.missing:
            names = ", ".join(published.missing)
            message = f"these entries do not report the revision: {names}"
            raise ChivetrayError(ResultCode.NOT_IN_FORCE, message)
        return EXIT_OK

    return _run_with_control(arguments, publish)


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

    return _run_with_control(arguments, diff)


def get_objects(arguments: argparse.Namespace) -> int:
    """Print the newest revision."""

    async def get(control: Control) -> int:
        number, catalog = await control.get()
        if number == 0:
            message = "no revision has been published yet"
            raise ChivetrayError(ResultCode.NOTHING_PUBLISHED, message)
        plain = object_set_to_plain(catalog.to_object_set())
        if arguments.json:
            print(json.dumps({"revision": number, "objects": plain}))
        else:
            print(f"# revision {number}")
            print(yaml.safe_dump(plain, sort_keys=False), end="")
        return EXIT_OK

    return _run_with_control(arguments, get)


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

    return _run_with_control(arguments, history)


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

    return _run_with_control(arguments, status)


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
        lines.append(f"  ejected: {', '.join(status['ejected'])}")
    if status["unavailable"]:
        lines.append(f"  leaving or gone: {', '.join(status['unavailable'])}")
    return "\n".join(lines)


def explain_object(arguments: argparse.Namespace) -> int:
    """Show what the entries know about an object or a request."""

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

    return _run_with_control(arguments, explain)


def run_platform_standin(arguments: argparse.Namespace) -> int:
    """Run a stand-in for the platform."""
    anyio.run(runner.serve_platform, arguments.address, arguments.port)
    return EXIT_OK


def run_endpoint_standin(arguments: argparse.Namespace) -> int:
    """Run a stand-in for an endpoint."""
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
    """Send load and print the report."""
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


def run_store_standin(arguments: argparse.Namespace) -> int:
    """Run a stand-in for the platform's store."""
    anyio.run(jobs.serve_store, arguments.address, arguments.port)
    return EXIT_OK


def run_worker_standin(arguments: argparse.Namespace) -> int:
    """Run a stand-in for a worker; one on standby waits for a line on its input."""
    open_log()
    if arguments.standby:
        print(f"worker {arguments.name} is on standby", flush=True)
        if not sys.stdin.readline():
            return EXIT_OK
    anyio.run(
        jobs.serve_worker,
        arguments.name,
        arguments.service,
        arguments.address,
        arguments.port,
        arguments.store,
        arguments.history,
        arguments.descriptor,
    )
    return EXIT_OK


def run_try_jobs(arguments: argparse.Namespace) -> int:
    """Run a store, two workers and one job manager in one process."""
    open_log()
    anyio.run(jobs.run_try_jobs)
    return EXIT_OK
