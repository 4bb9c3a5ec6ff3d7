"""Runs a manager from a checkout whose requirements are installed in target/deps.

Does the same as ``chivetray manager``, without importing the other commands.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chivetray.manager import SETTINGS_VARIABLE, run_from_file

run_from_file(Path(os.environ[SETTINGS_VARIABLE]))
