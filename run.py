"""Starts pulleydeal from a checkout: puts the installed dependencies on the path first."""

import sys
from pathlib import Path

_DEPS = Path(__file__).resolve().parent / "target" / "deps"
if _DEPS.is_dir():
    sys.path.insert(0, str(_DEPS))

from pulleydeal.cli import main  # noqa: E402  (the path must be set first)

if __name__ == "__main__":
    sys.exit(main())
