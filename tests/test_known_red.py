"""The list of tests that CI passes over: at most three, each existing, with the command that shows
it red and what was seen."""

import runpy
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
READ = runpy.run_path(str(ROOT / ".ci" / "known_red.py"))["read"]
THERE = {"tests/test_a.py::test_b[orders are held]", "tests/test_a.py::test_c"}
COMMAND = "PYTHONHASHSEED=0 python -m pytest tests/test_a.py"


def test_a_list_names_tests_that_exist_with_command_seed_what_was_seen_and_issue() -> None:
    good = f"tests/test_a.py::test_b[orders are held] | {COMMAND} | the lease ends | issue 36\n"
    assert READ("", THERE) == ([], [])
    assert READ(good, THERE) == (["tests/test_a.py::test_b[orders are held]"], [])
    for bad in (
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
        good * 4,
    ):
        assert READ(bad, THERE)[1], bad


def test_a_list_with_a_test_that_does_not_exist_fails_the_run(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text("def test_b():\n    pass\n")
    listed = tmp_path / "KNOWN-RED.txt"
    command = [sys.executable, str(ROOT / ".ci" / "known_red.py")]
    found = []
    for name in ("test_b", "test_c"):
        listed.write_text(f"tests/test_a.py::{name} | {COMMAND} | the lease ends | issue 36\n")
        ran = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
        found.append((ran.returncode, ran.stdout.strip(), "known red: tests" in ran.stderr))
    assert found == [(0, "--deselect=tests/test_a.py::test_b", True), (1, "", True)]
