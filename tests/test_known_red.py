"""KNOWN-RED.txt, the list of tests that CI deselects and of cases that it does not run: at most
three, each an existing test or script with the command that reproduces its failure, what was seen
and an issue."""

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


def test_a_case_that_ci_does_not_run_is_an_existing_script_run_by_its_command(
    tmp_path: Path,
) -> None:
    for script in ("review/2/run.sh", "experiments/__main__.py", "tests/test_a.py"):
        (tmp_path / script).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / script).touch()

    def read(line: str) -> tuple[list[str], list[str]]:
        found: tuple[list[str], list[str]] = read_list(line, COLLECTED, tmp_path)
        return found

    seed, seen = "PYTHONHASHSEED=0", "ends for memory | issue 26"
    for valid in (
        f"review/2/run.sh | {seed} bash review/2/run.sh | {seen}",
        f"experiments/__main__.py | {seed} python -m experiments meetings --seed 7 | {seen}",
    ):
        assert read(valid) == ([], []), valid
    for malformed in (
        f"review/2/run.sh | bash review/2/run.sh | {seen}",
        f"review/2/run.sh | {seed} bash review/3/run.sh | {seen}",
        f"review/2/run.sh | {seed} bash review/2/run.sh | issue 26",
        f"review/2/run.sh | {seed} bash review/2/run.sh | ends for memory | soon",
        f"review/3/run.sh | {seed} bash review/3/run.sh | {seen}",
        f"review/2 | {seed} bash review/2/run.sh | {seen}",
        f"../review/2/run.sh | {seed} bash ../review/2/run.sh | {seen}",
        f"tests/../review/2/run.sh | {seed} bash tests/../review/2/run.sh | {seen}",
        f"tests/test_a.py | {seed} python -m pytest tests/test_a.py | {seen}",
        f"/bin/run.sh | {seed} bash /bin/run.sh | {seen}",
    ):
        tests, errors = read(malformed)
        assert tests == [] and errors, malformed


def test_a_case_is_printed_and_deselects_nothing(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text("def test_b():\n    pass\n")
    (tmp_path / "run.sh").touch()
    case = "run.sh | PYTHONHASHSEED=0 bash run.sh | ends for memory | issue 26"
    test = f"tests/test_a.py::test_b | {COMMAND} | the lease ends | issue 36"
    (tmp_path / "KNOWN-RED.txt").write_text(f"{case}\n{test}\n")
    command = [sys.executable, str(ROOT / ".ci" / "known_red.py")]
    completed = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
    assert completed.returncode == 0
    assert completed.stdout.splitlines() == ["--deselect=tests/test_a.py::test_b"]
    assert completed.stderr.splitlines() == [f"known red: {case}", f"known red: {test}"]


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
