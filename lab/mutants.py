"""Replaces one safeguard at a time by the naive way and runs its test.

Run ``python lab/mutants.py [NAME ...]``. A mutant works on a scratch copy of the
package. Every test has to fail; one that passes proves nothing.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 300


@dataclass(frozen=True)
class Mutant:
    name: str
    file: str
    old: str
    new: str
    test: str


MUTANTS = (
    Mutant(
        "requests are sent without a claim",
        "requests/handler.py",
        "if needs_claim and progress.claim is None:",
        "if False:",
        "tests/test_at_most_once.py -k 'racing or killed'",
    ),
    Mutant(
        "a lost store answer is not read back",
        "records/group_writer.py",
        "if row.value.get(MARK_FIELD) == pending.mark:",
        "if False:",
        "tests/test_group_writer.py",
    ),
    Mutant(
        "sent non-idempotent requests are repeated",
        "requests/handler.py",
        "if error.sent and not request.idempotent:",
        "if False:",
        "tests/test_endpoint_failures.py -k sent_request",
    ),
    Mutant(
        "answers of other attempts are accepted",
        "requests/attempt.py",
        "if echoes != [attempt_id.encode()]:",
        "if False:",
        "tests/test_endpoint_failures.py -k wrong_attempt",
    ),
    Mutant(
        "timeouts are called not run",
        "requests/attempt.py",
        '    if not progress.sent:\n        message = f"endpoint {vm.name} could not',
        '    if True:\n        message = f"endpoint {vm.name} could not',
        "tests/test_endpoint_failures.py -k stalled",
    ),
    Mutant(
        "each entry uses all slots",
        "peers/grants.py",
        "        return held.granted\n\n    def free_slots",
        "        return 8\n\n    def free_slots",
        "tests/test_entries.py -k never_runs_more",
    ),
    Mutant(
        "a new home does not wait",
        "peers/ledger.py",
        "self._granting_from_s[name] = now_s + self._ttl_s",
        "self._granting_from_s[name] = now_s",
        "tests/test_slot_grants.py",
    ),
    Mutant(
        "a lower grant counts before it is acknowledged",
        "peers/ledger.py",
        "record.slots = max(record.slots, slots)",
        "record.slots = slots",
        "tests/test_slot_grants.py",
    ),
    Mutant(
        "leaving endpoints get requests",
        "fleet/vm_states.py",
        "return self._states.get(name, VmState.LIVE) is VmState.LIVE",
        "return True",
        "tests/test_entries.py -k leaving_endpoint",
    ),
    Mutant(
        "an entry stops at once",
        "entry.py",
        "await anyio.sleep(self._config.entry.leave_notice_s)",
        "raise SystemExit(0)",
        "tests/test_entries.py -k terminated",
    ),
    Mutant(
        "a lower revision is taken",
        "fleet/revision.py",
        "return revision.full or revision.number == self.number + 1",
        "return True",
        "tests/test_decisions.py -k TestRevisionState",
    ),
    Mutant(
        "retries have no budget",
        "requests/handler.py",
        "if not self._get_retry_budget(request).take_retry():",
        "if False:",
        "tests/test_endpoint_failures.py -k stay_within",
    ),
    Mutant(
        "old connections carry non-idempotent requests",
        "requests/connections.py",
        "settings.idle_connection_s if idempotent else settings.unproved_connection_s",
        "settings.idle_connection_s",
        "tests/test_silence.py -k new_connections",
    ),
    Mutant(
        "a wave does not wait for acknowledgements",
        "duties/waves.py",
        "if self._entries_of(vm.zone) - acked:",
        "if False:",
        "tests/test_waves.py -k long_request",
    ),
    Mutant(
        "failed VMs do not count",
        "fleet/budgets.py",
        "failed=frozenset(vm_names & set(unavailable)) - reserved_names,",
        "failed=frozenset(),",
        "tests/test_wave_decisions.py tests/test_waves.py -k 'failed or rack'",
    ),
    Mutant(
        "a reboot is repeated blindly",
        "duties/waves.py",
        "        if info.boot_id == item.boot_id:\n",
        "        if True:\n            item = replace(item, boot_id=info.boot_id)\n",
        "tests/test_waves.py -k every_vm",
    ),
    Mutant(
        "an owner writes without the version of its owner row",
        "cells/owner.py",
        "{**(expected or {}), self.guard_row: self.guard_version},",
        "{**(expected or {})},",
        "tests/test_ownership_model.py tests/test_cell_owner.py",
    ),
    Mutant(
        "VM orders are not stored before they are given",
        "capacity/runner.py",
        "if not await self._orders.store_orders(owner, names):",
        "if False:",
        "tests/test_order_holder.py",
    ),
    Mutant(
        "a VM order without an answer is taken for carried out",
        "capacity/moves.py",
        "under_way.phase = _Phase.NOT_BEGUN",
        "under_way.phase = _Phase.ACCEPTED",
        "tests/test_unanswered_vm_orders.py",
    ),
    Mutant(
        "VMs count as down only once the list shows it",
        "capacity/maintenance.py",
        "if recent or ordered_down or state == PlatformVmState.MAINTENANCE:",
        "if state == PlatformVmState.MAINTENANCE:",
        "tests/test_capacity.py tests/test_wave_runner.py",
    ),
    Mutant(
        "long-running tasks are stopped before they have room elsewhere",
        "cells/evacuation.py",
        "and has_room(state, job, task, now_s)",
        "and True",
        "tests/test_cell_state.py",
    ),
    Mutant(
        "a quarantined worker runs any number of tasks",
        "cells/workers.py",
        "if self.quarantined and self.tasks:",
        "if False:",
        "tests/test_cell_state.py",
    ),
    Mutant(
        "a 429 of a slow store is sent again through a peer",
        "cells/store_access.py",
        "if self._is_partition_busy(outcome):",
        "if False:",
        "tests/test_slow_store.py",
    ),
    Mutant(
        "an unreadable owner row lowers the epoch",
        "cells/directory.py",
        "return row.version + 1",
        "return 1",
        "tests/test_directory.py",
    ),
)


def run_mutant(mutant: Mutant) -> bool:
    """Return whether the test fails, as it has to."""
    with tempfile.TemporaryDirectory() as folder:
        package = Path(folder) / "chivetray"
        shutil.copytree(ROOT / "src" / "chivetray", package)
        path = package / mutant.file
        text = path.read_text()
        if mutant.old not in text:
            raise SystemExit(f"{mutant.name}: the text to replace is not there")
        path.write_text(text.replace(mutant.old, mutant.new))
        command = (
            f"{sys.executable} -m pytest -x -n 0 -p no:cacheprovider {mutant.test}"
        )
        done = subprocess.run(
            command,
            shell=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": folder},
            capture_output=True,
            text=True,
            timeout=LIMIT_S,
        )
    # Other codes mean that pytest itself did not run the test.
    return done.returncode == 1


def main() -> int:
    chosen = [m for m in MUTANTS if not sys.argv[1:] or m.name in sys.argv[1:]]
    survivors = 0
    for mutant in chosen:
        fails = run_mutant(mutant)
        survivors += not fails
        print(
            f"| {mutant.name} | `{mutant.test}` | {'fails' if fails else 'PASSES'} |",
            flush=True,
        )
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
