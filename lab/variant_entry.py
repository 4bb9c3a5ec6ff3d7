"""Runs an entry in which one decision is replaced by another way.

The variants exist for comparison only:

``local-full``    each entry believes that it alone uses every endpoint
``static-split``  each entry uses its even share of every endpoint's slots
``forwarding``    each endpoint is used by its home only; others forward to it
``fifo``          admission in order of arrival, without refusal or pruning
``eager-retry``   every failed idempotent attempt is repeated, without a budget
``single-write``  every claim is a call of its own
``no-claims``     a request with a key is sent without a claim
"""

from __future__ import annotations

import argparse
import itertools
import random
from pathlib import Path

import anyio
import httpcore

from chivetray import entry as entry_module
from chivetray.config import Config
from chivetray.entry import Entry
from chivetray.events import open_log
from chivetray.peers.grants import GrantHolder
from chivetray.peers.homes import choose_home
from chivetray.peers.ledger import GrantLedger
from chivetray.records.group_writer import GroupWriter
from chivetray.requests.admission import Admission
from chivetray.requests.handler import RequestHandler
from chivetray.requests.retries import RetryBudget

FORWARDED = (b"x-forwarded", b"1")


def use_local_full(share: float = 1.0) -> None:
    def granted_slots(self, endpoint, now_s):
        return int(8 * share) if endpoint in self._held else 0

    def free_slots(self, endpoint, now_s):
        held = self._held.get(endpoint)
        return max(0, int(8 * share) - held.in_use) if held else 0

    GrantHolder.granted_slots = granted_slots
    GrantHolder.free_slots = free_slots
    GrantLedger.excess_slots = lambda self: 0


def use_static_split(entries: int) -> None:
    use_local_full(1.0 / entries)


def use_forwarding(config: Config) -> None:
    """Every entry uses its own endpoints alone and forwards the rest."""
    use_local_full()
    names = [config.entry.name, *(s.name for s in config.peers.seeds)]
    names = sorted(set(names))
    places = {s.name: s.address for s in config.peers.seeds}
    own = config.entry.name

    original_free_slots = GrantHolder.free_slots

    def free_slots(self, endpoint, now_s):
        if choose_home(endpoint, names) != own:
            return 0
        return original_free_slots(self, endpoint, now_s)

    GrantHolder.free_slots = free_slots
    original_call = entry_module.CallerApp.__call__
    pool: list[httpcore.AsyncConnectionPool] = []

    async def call(self, scope, receive, send):
        endpoints = list(self._revisions.catalog.vms)
        home = choose_home(random.choice(endpoints), names) if endpoints else own
        if home == own or FORWARDED in scope["headers"]:
            await original_call(self, scope, receive, send)
            return
        if not pool:
            pool.append(httpcore.AsyncConnectionPool(max_connections=1000))
        url = httpcore.URL(
            scheme=b"http",
            host=places[home].encode(),
            port=8080,
            target=scope["raw_path"],
        )
        headers = [*scope["headers"], FORWARDED]
        response = await pool[0].request(scope["method"], url, headers=headers)
        head = {"type": "http.response.start", "status": response.status}
        await send({**head, "headers": [(k.lower(), v) for k, v in response.headers]})
        await send({"type": "http.response.body", "body": response.content})

    entry_module.CallerApp.__call__ = call


def use_fifo() -> None:
    counter = itertools.count()
    Admission._refuse_long_wait = lambda self, slot_request, queues, now_s: None
    original_admit = Admission.admit

    async def admit(self, slot_request):
        real_deadline_s = slot_request.deadline_s
        # Order of arrival, and nobody leaves the queue.
        slot_request.deadline_s = anyio.current_time() + 3600 + next(counter) * 1e-6
        vm = await original_admit(self, slot_request)
        slot_request.deadline_s = real_deadline_s
        return vm

    Admission.admit = admit
    original_timeout = RequestHandler._attempt_timeout_s

    def attempt_timeout_s(self, request):
        # The naive version sends whatever is late already.
        return max(2.0, original_timeout(self, request))

    RequestHandler._attempt_timeout_s = attempt_timeout_s


def use_eager_retry() -> None:
    RetryBudget.take_retry = lambda self: True


def use_no_claims() -> None:
    async def claim(self, request, progress):
        return None

    RequestHandler._claim = claim


def use_single_write() -> None:
    original = GroupWriter.__init__

    def init(self, client, settings, *arguments):
        settings.batch_limit_rows = 1
        original(self, client, settings, *arguments)

    GroupWriter.__init__ = init


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--variant", required=True)
    parser.add_argument("--settings", type=Path, required=True)
    arguments = parser.parse_args()
    config = Config.from_file(arguments.settings)
    zone = [s for s in config.peers.seeds if s.zone == config.entry.zone]
    variants = {
        "local-full": use_local_full,
        "static-split": lambda: use_static_split(len(zone)),
        "forwarding": lambda: use_forwarding(config),
        "fifo": use_fifo,
        "eager-retry": use_eager_retry,
        "single-write": use_single_write,
        "no-claims": use_no_claims,
    }
    variants[arguments.variant]()
    open_log()

    async def run() -> None:
        await Entry.from_config(config).run()

    anyio.run(run)


if __name__ == "__main__":
    main()
