"""The check of TWICE: a start after a run of the work unit has ended `done`."""

from __future__ import annotations

from deployment import Deployment

# What a life of a worker is known by: its Id and how often it has started again.
Life = tuple[str, int]


def find_second_runs(deployment: Deployment) -> list[str]:
    """Return the starts after an end `done` that is taken note of then or later.

    An end is taken note of when `Observed` reaches it at the life that listed it,
    unless the lease of that life lapsed between the two.
    """
    lives: dict[str, int] = {}
    done: dict[str, tuple[float, Life, int]] = {}
    noted: dict[Life, list[tuple[float, int]]] = {}
    lapses: dict[Life, list[float]] = {}
    starts: list[tuple[float, str, int]] = []
    for at_s, what, words, fields in deployment.events:
        worker = str(words[0]) if words else ""
        life = (worker, lives.get(worker, 0))
        if what == "started again":
            lives[worker] = lives.get(worker, 0) + 1
        elif what == "observed":
            noted.setdefault(life, []).append((at_s, fields["n"]))
        elif what == "lapse":
            lapses.setdefault(life, []).append(at_s)
        elif what == "end" and words[3] == "done":
            done.setdefault(words[1], (at_s, life, fields["n"]))
        elif what == "start" and words[1] in done:
            starts.append((at_s, words[1], words[2]))
    found = []
    for at_s, task, attempt in starts:
        ended_s, life, number = done[task]
        reached = [t for t, n in noted.get(life, []) if t >= ended_s and n >= number]
        if not reached:
            continue
        if any(ended_s <= t <= reached[0] for t in lapses.get(life, [])):
            continue
        text = f"{task} run {attempt} at {at_s:.2f} s, done at {ended_s:.2f} s"
        deployment.record("twice", text)
        found.append(text)
    return found
