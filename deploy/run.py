"""Runs a manager from a checkout whose requirements lie in target/deps.

It is the command ``chivetray manager`` without the imports of the other commands.
"""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chivetray.manager import SETTINGS_VARIABLE, run_from_file

run_from_file(Path(os.environ[SETTINGS_VARIABLE]))
