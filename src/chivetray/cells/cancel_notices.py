"""Form in which owners of cells are notified of cancellations.

A notice lists each job twice: by its identifier, which is all that earlier releases
read, and by its identifier and queue. The answer lists identifiers, so that no two jobs
of one notice may have the same.
"""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.jobs.model import JobName

# Stands between the identifier and the queue of a job; no identifier contains it.
SEPARATOR = "/"


def choose_names(names: Iterable[JobName]) -> list[JobName]:
    """Return the first of the names with each identifier."""
    by_id: dict[str, JobName] = {}
    for name in names:
        by_id.setdefault(name.job_id, name)
    return list(by_id.values())


def encode_notice(names: Iterable[JobName]) -> list[str]:
    """Return a notice of jobs whose identifiers differ."""
    return [
        item
        for name in names
        for item in (name.job_id, f"{name.job_id}{SEPARATOR}{name.queue}")
    ]


def decode_notice(items: Iterable[str]) -> tuple[list[JobName], list[str]]:
    """Return the jobs of a notice, and the identifiers whose queue it does not tell."""
    names: list[JobName] = []
    bare_ids: list[str] = []
    for item in items:
        job_id, separator, queue = item.partition(SEPARATOR)
        if separator:
            names.append(JobName(queue, job_id))
        else:
            bare_ids.append(job_id)
    named = {name.job_id for name in names}
    return names, [job_id for job_id in bare_ids if job_id not in named]
