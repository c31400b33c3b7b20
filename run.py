"""Runs pulleydeal from a checkout, with the dependencies from `target/deps` first on the path."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent
_DEPS = _ROOT / "target" / "deps"
_DEMO = sys.argv[1:2] == ["demo"]


def _main() -> int:
    if _DEMO and "--setup" in sys.argv:
        # Before any import that needs a library; deploy/service.toml installs the same way.
        pip_args = ["-m", "pip", "install", "-q", "-U", "--target", str(_DEPS)]
        pip_args += ["-r", str(_ROOT / "requirements.txt")]
        if subprocess.run([sys.executable, *pip_args], check=False).returncode != 0:
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
        hint = "python3 run.py demo --setup, or python3 -m pip install -r requirements.txt"
        print(f"pulleydeal: the library {error.name!r} is missing: {hint}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(_main())
