"""Says where a played day lost its worth, from its report and its logs.

Play a day with ``BENCH run SITE DAY --log all --report REPORT.json > LOG`` and run
``python lab/losses.py REPORT.json LOG``. Whether a job was late, and why, follows from
the structured logs alone, as an operator would find it.
"""

from __future__ import annotations

import json
import sys
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

from common import print_rows

# Jobs with less than this beyond their objective count as in time: the objective in the
# log rests on learned run times.
TOLERANCE_S = 0.1

WINDOW_S = 2.0

# Part of a job's lateness that the wait for its first task must explain.
WAIT_SHARE = 0.5

Line = tuple[float, dict]


def read_log(path: Path) -> list[Line]:
    """Return the structured lines with the time since the start of traffic."""
    lines = []
    for text in path.read_text().splitlines():
        head, brace, rest = text.partition("{")
        words = head.split()
        if not brace or len(words) != 2:
            continue
        try:
            lines.append((float(words[0]), json.loads(brace + rest)))
        except ValueError:
            continue
    return sorted(lines, key=lambda line: line[0])


class Timeline:
    """Times of the events of a day by event name and subject."""

    def __init__(self, lines: Iterable[Line]):
        self._times: dict[tuple[str, str], list[float]] = defaultdict(list)
        for at_s, line in lines:
            name = line.get("message_type", "")
            for subject in ("", line.get("cell", ""), line.get("job", "")):
                self._times[name, subject].append(at_s)

    def any_between(self, name: str, subject: str, from_s: float, to_s: float) -> bool:
        times = self._times.get((name, subject), [])
        return bisect_right(times, to_s) > bisect_left(times, from_s)


def find_reason(
    job: str, lines: list[Line], timeline: Timeline, arriving: list[tuple]
) -> str:
    """Return why a job ended late or not at all."""
    begin_s = lines[0][0]
    ends = [line for line in lines if line[1]["message_type"] == "JOB_ENDED"]
    end_s = ends[0][0] if ends else lines[-1][0]
    types = {line["message_type"] for _, line in lines}
    if "JOB_ACCEPTED" not in types:
        refusals = [x for _, x in lines if x["message_type"] == "JOB_REFUSED"]
        return f"not accepted: {refusals[-1].get('reason', '')[:40]}"
    cell = next((x.get("cell") for _, x in lines if x.get("cell")), "")
    if timeline.any_between("CELL_TAKEN", cell, begin_s, end_s):
        return "owner lost"
    early = {x["how"] for _, x in lines if x["message_type"] == "TASK_ENDED_EARLY"} - {
        "stopped"
    }
    if early:
        return f"attempt ended early: {'/'.join(sorted(early))}"
    if timeline.any_between("WORKER_LOST", cell, begin_s, end_s):
        return "worker went dark"
    if timeline.any_between("COMMIT_FAILED", cell, begin_s, end_s):
        return "store did not answer"
    placed = [x for _, x in lines if x["message_type"] == "TASK_PLACED"]
    if not ends or not placed:
        return "never placed" if not placed else "not ended"
    late_s = ends[0][1]["took_s"] - ends[0][1]["objective_s"]
    if placed[0]["waited_s"] > WAIT_SHARE * late_s:
        is_arriving = any(
            begin_s - 1 <= at_s <= end_s and sizes.get(cell, [0, 0])[1]
            for at_s, sizes in arriving
        )
        return "waited for a VM to arrive" if is_arriving else "waited for room"
    return "later step waited, or slow run"


def print_job_losses(lines: list[Line]) -> None:
    """Print the reasons of late jobs, by reason and by window."""
    timeline = Timeline(lines)
    arriving = [
        (at_s, x["pools"]) for at_s, x in lines if x["message_type"] == "POOL_SIZES"
    ]
    by_job: dict[str, list[Line]] = defaultdict(list)
    for at_s, line in lines:
        if line.get("job") and "task" not in line:
            by_job[line["job"]].append((at_s, line))
        elif line.get("task"):
            by_job[line["task"].split(".")[0]].append((at_s, line))
    reasons: Counter[str] = Counter()
    windows: dict[int, Counter[str]] = defaultdict(Counter)
    for job, found in by_job.items():
        types = {x["message_type"] for _, x in found}
        if not types & {"JOB_ACCEPTED", "JOB_REFUSED"}:
            continue
        ended = [x for _, x in found if x["message_type"] == "JOB_ENDED"]
        windows[int(found[0][0] // WINDOW_S)]["jobs"] += 1
        if ended and ended[0]["state"] == "CANCELLED":
            continue
        if ended and "objective_s" in ended[0]:
            if ended[0]["took_s"] <= ended[0]["objective_s"] + TOLERANCE_S:
                continue
        elif "JOB_ACCEPTED" in types and not ended:
            continue
        reason = find_reason(job, found, timeline, arriving)
        reasons[reason] += 1
        windows[int(found[0][0] // WINDOW_S)][reason] += 1
    print_rows([{"reason": r, "jobs": n} for r, n in reasons.most_common()])
    print()
    for window in sorted(windows):
        counts = windows[window]
        late = ", ".join(f"{n} {r}" for r, n in counts.most_common() if r != "jobs")
        print(f"from {window * WINDOW_S:5.1f} s  {counts['jobs']:4d} jobs  {late}")


def print_pool_losses(lines: list[Line], vm_milli: int) -> None:
    """Print seconds of VMs in pools, by what the VMs did."""
    seconds: Counter[str] = Counter()
    for at_s, line in lines:
        if line["message_type"] != "POOL_SIZES" or at_s < 0:
            continue
        for vms, arriving, demand, used in line["pools"].values():
            busy = min(vms, used / vm_milli)
            needed = min(vms, max(demand, used) / vm_milli)
            seconds["busy"] += busy
            seconds["idle, for the demand forecast"] += needed - busy
            seconds["idle beyond the forecast"] += vms - needed
            seconds["arriving"] += arriving
    print_rows([{"VM-seconds": round(n), "of": what} for what, n in seconds.items()])


def main() -> None:
    report = json.loads(Path(sys.argv[1]).read_text())
    lines = read_log(Path(sys.argv[2]))
    print(f"worth {report['G']:.3f}")
    print_rows(
        [{"part": name, "weight": w, "credit": c} for name, w, c in report["parts"]]
    )
    print_rows(
        [
            {"price": name, "amount": amount, "worth": worth}
            for name, amount, worth in sorted(report["prices"], key=lambda p: -p[2])
            if worth >= 0.001
        ]
    )
    print_rows(
        [
            {
                key: row[key]
                for key in ("name", "n", "in_aim", "late", "failed", "worth")
            }
            for row in report["classes"] + report["windows"]
            if row["worth"] is not None and row["worth"] < 0.97
        ]
    )
    print_job_losses(lines)
    print()
    print_pool_losses(lines, vm_milli=int(sys.argv[3]) if len(sys.argv) > 3 else 64000)


if __name__ == "__main__":
    main()
