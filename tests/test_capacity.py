"""docs/CAPACITY.md agrees with the stored results."""

from pathlib import Path

from experiments import capacity

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"


def test_page_matches_stored_results() -> None:
    shown = capacity.on_page(PAGE.read_text())
    assert shown == capacity.table(capacity.load()), "python3 -m experiments.capacity prints it"


def test_changed_results_change_the_table() -> None:
    rows = capacity.load()
    before = capacity.table(rows)
    costlier = [row | {"cores of all nodes": row["cores of all nodes"] * 2} for row in rows]
    assert capacity.table(costlier) != before


def test_every_row_names_its_source() -> None:
    for line in capacity.capacity_rows(capacity.load()):
        assert line.source.startswith(("measured", "published", "assumed", "by the code")), line
        assert line.mechanism and line.limit_reached_at, line
