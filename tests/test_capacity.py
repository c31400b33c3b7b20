"""docs/CAPACITY.md's sums stand as the kept results give them."""

from pathlib import Path

from experiments import capacity

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"


def test_the_page_shows_what_the_kept_results_give() -> None:
    shown = capacity.on_page(PAGE.read_text())
    assert shown == capacity.table(capacity.load()), "python3 -m experiments.capacity prints it"


def test_another_result_changes_the_page() -> None:
    rows = capacity.load()
    before = capacity.table(rows)
    dearer = [row | {"cores of all nodes": row["cores of all nodes"] * 2} for row in rows]
    assert capacity.table(dearer) != before


def test_every_figure_says_where_it_comes_from() -> None:
    for line in capacity.lines(capacity.load()):
        assert line.source.startswith(("measured", "published", "assumed", "by the code")), line
        assert line.mechanism and line.breaks_at, line
