"""Reports unexpected errors, so that one of them ends nothing but its own task."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio

from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event

# Characters of an error that a log line holds, and of the end of its traceback. A line
# has to fit into one write to a pipe.
REASON_CHARS = 300
TRACEBACK_CHARS = 2500

# Pause before a loop that has failed runs again, doubled at each failure in a row. One
# that has run for the last time without a failure starts with the shortest pause.
RESTART_PAUSE_S = 0.1
RESTART_PAUSE_MAX_S = 5.0
SOUND_AFTER_S = 60.0


def log_defect(event: Event, error: Exception, **fields: Any) -> None:
    """Log an error that no code expects, with its traceback."""
    lines = "".join(traceback.format_exception(error))
    log_event(
        event,
        reason=describe_error(error),
        traceback=lines[-TRACEBACK_CHARS:],
        **fields,
    )


def describe_error(error: Exception) -> str:
    """Return type and message of an error, in a bounded number of characters."""
    return repr(error)[:REASON_CHARS]


@contextmanager
def contain_errors(loop: str) -> Iterator[None]:
    """Log an error in one round of a loop; the next round follows.

    :param loop: name of the loop, for the log
    """
    try:
        yield
    except Exception as error:
        log_defect(Event.LOOP_FAILED, error, loop=loop)


async def keep_running(loop: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a loop until it returns, and again after each error that ends it.

    :param loop: name of the loop, for the log
    """
    pause_s = RESTART_PAUSE_S
    while True:
        began_at_s = boot_time_s()
        try:
            await run()
            return
        except Exception as error:
            log_defect(Event.LOOP_FAILED, error, loop=loop)
        if boot_time_s() - began_at_s > SOUND_AFTER_S:
            pause_s = RESTART_PAUSE_S
        await anyio.sleep(pause_s)
        pause_s = min(RESTART_PAUSE_MAX_S, 2 * pause_s)
