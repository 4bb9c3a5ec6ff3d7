"""Runs the command line with ``python -m chivetray``."""

from __future__ import annotations

import sys

from chivetray.cmdline import main

if __name__ == "__main__":
    sys.exit(main())
