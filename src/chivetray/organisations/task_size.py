"""Tasks that can never run within the cap of their organisation."""

from __future__ import annotations

from chivetray.jobs.model import JobSpec
from chivetray.organisations.model import Resources


def find_oversized(spec: JobSpec, cap: Resources) -> str:
    """Describe the first step that can never run within a cap.

    The tasks of a gang run together or not at all, so they count together.

    :return: empty if there is no such step
    """
    for number, step in enumerate(spec.steps):
        count = step.count if step.gang else 1
        needs = (
            ("CPU (thousandths of a core)", step.cpu_milli, cap.cpu_milli),
            ("memory (MB)", step.mem_mb, cap.mem_mb),
            ("GPU", step.gpu, cap.gpu),
        )
        for name, need, limit in needs:
            if limit and need * count > limit:
                subject = "the gang" if step.gang else "a task"
                return (
                    f"{subject} of step {number} needs {need * count} of {name}, "
                    f"the cap of its organisation is {limit}"
                )
    return ""
