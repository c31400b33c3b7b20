"""KNOWN-RED.txt, the list of tests that CI deselects: at most three, each an existing test with the
command that reproduces its failure, what was seen and an issue."""

import runpy
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
read_list = runpy.run_path(str(ROOT / ".ci" / "known_red.py"))["read"]
COLLECTED = {"tests/test_a.py::test_b[orders are held]", "tests/test_a.py::test_c"}
COMMAND = "PYTHONHASHSEED=0 python -m pytest tests/test_a.py"


def test_every_entry_needs_an_existing_test_command_seed_observation_and_issue() -> None:
    valid = f"tests/test_a.py::test_b[orders are held] | {COMMAND} | the lease ends | issue 36\n"
    assert read_list("", COLLECTED) == ([], [])
    assert read_list(valid, COLLECTED) == (["tests/test_a.py::test_b[orders are held]"], [])
    for malformed in (
        "tests/test_a.py::test_c\n",
        "tests/test_a.py::test_c | the lease ends | issue 36\n",
        f"tests/test_a.py::test_c | {COMMAND} | issue 36\n",
        f"tests/test_a.py::test_c | {COMMAND} | | issue 36\n",
        "tests/test_a.py::test_c | | slow | issue 36\n",
        "tests/test_a.py::test_c | python -m pytest tests/test_a.py | no hash seed | issue 36\n",
        "tests/test_a.py::test_c | PYTHONHASHSEED=0 pytest tests/test_x.py | other | issue 36\n",
        f"tests/test_a.py::test_c | {COMMAND} | slow | soon\n",
        f"tests/test_a.py::test_c | {COMMAND} | slow | issue 36 | and more\n",
        f"tests/test_a.py::test_d | {COMMAND} | slow | issue 36\n",
        f"all of them | {COMMAND} | slow | issue 36\n",
        valid * 4,
    ):
        assert read_list(malformed, COLLECTED)[1], malformed


def test_an_entry_for_a_missing_test_fails_the_run(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text("def test_b():\n    pass\n")
    list_file = tmp_path / "KNOWN-RED.txt"
    command = [sys.executable, str(ROOT / ".ci" / "known_red.py")]
    results = []
    for name in ("test_b", "test_c"):
        list_file.write_text(f"tests/test_a.py::{name} | {COMMAND} | the lease ends | issue 36\n")
        completed = subprocess.run(
            command, cwd=tmp_path, capture_output=True, text=True, check=False
        )
        results.append(
            (completed.returncode, completed.stdout.strip(), "known red: tests" in completed.stderr)
        )
    assert results == [(0, "--deselect=tests/test_a.py::test_b", True), (1, "", True)]
