"""Gives unused memory back to the operating system."""

from __future__ import annotations

import ctypes


def release_unused_memory() -> None:
    """Return free heap pages to the kernel, where the C library can do so.

    Reading a large object set leaves free pages that the heap would otherwise keep,
    although an entry needs them only once.
    """
    library = ctypes.CDLL(None)
    if hasattr(library, "malloc_trim"):
        library.malloc_trim(0)
