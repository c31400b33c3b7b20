"""Starts pulleydeal from a checkout: puts the installed dependencies on the path first."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
_DEPS = _ROOT / "target" / "deps"
_DEMO = sys.argv[1:2] == ["demo"]


def _main() -> int:
    if _DEMO and "--setup" in sys.argv:
        # Before anything that needs a library is imported; as deploy/service.toml does it.
        words = ["-m", "pip", "install", "-q", "-U", "--target", str(_DEPS)]
        words += ["-r", str(_ROOT / "requirements.txt")]
        if subprocess.run([sys.executable, *words], check=False).returncode != 0:
            return 1
    if _DEPS.is_dir():
        sys.path.insert(0, str(_DEPS))
    try:
        if _DEMO:
            from standins.demo import main as demo

            return demo(sys.argv[2:])
        from pulleydeal.cli import main

        return main()
    except ModuleNotFoundError as error:
        how = "python3 run.py demo --setup, or python3 -m pip install -r requirements.txt"
        print(f"pulleydeal: the library {error.name!r} is missing: {how}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(_main())
