"""Compact sets of job ids against a plain set of strings."""

import random
from itertools import islice

import pytest

from pulleydeal.store.job_ids import BLOCK_NUMBERS, JobIdSet, SortedNumbers


def drawn_id(rng: random.Random) -> str:
    """Ids of all forms; those of few digits are drawn often, so that they are drawn again."""
    digits = rng.choice([1, 2, 3, 9, 10, 19, 20, 22, 30])
    if rng.random() < 0.1:
        return rng.choice(["j-", "j-x", "k-7", "j-5x", "j-٣", "j-7 ", "j-" + "1" * 31])
    return f"j-{rng.randrange(10 ** min(digits, 3)) * 10 ** max(0, digits - 3):0{digits}d}"


# Guards against an old job that is taken for another one, or for none (`forgotten`, `invented`).
@pytest.mark.parametrize("seed", range(20))
def test_set_of_job_ids_equals_a_set_of_strings(seed: int) -> None:
    rng = random.Random(seed)
    ids, expected = JobIdSet(), set[str]()
    for _ in range(2_000):
        name = drawn_id(rng)
        if rng.random() < 0.7:
            ids.add(name)
            expected.add(name)
        assert (name in ids) == (name in expected)
    assert len(ids) == len(expected) and list(ids) == sorted(expected)
    for _ in range(200):
        after = rng.choice([drawn_id(rng), drawn_id(rng)[:-1], drawn_id(rng) + "/", ""])
        assert list(ids.after(after)) == sorted(name for name in expected if name > after)


def test_leading_zeros_and_numbers_above_32_and_64_bits_are_kept_apart() -> None:
    ids = JobIdSet()
    for name in ("j-7", "j-4294967303", "j-9" + "0" * 20 + "7"):
        ids.add(name)
    for other in ("j-07", "j-007", "j-0000000007", "j-0" * 2, "j-8" + "0" * 20 + "7", "j-1"):
        assert other not in ids
    assert list(ids) == ["j-4294967303", "j-7", "j-9" + "0" * 20 + "7"]


@pytest.mark.parametrize("ascending", [True, False])
def test_sorted_numbers_over_many_blocks_keep_order_and_rank(ascending: bool) -> None:
    rng = random.Random(3)
    drawn = [rng.randrange(1 << 40) for _ in range(5 * BLOCK_NUMBERS)]
    numbers = SortedNumbers(5)
    for number in sorted(drawn) if ascending else drawn:
        numbers.add(number)
        numbers.add(number)
    ordered = sorted(set(drawn))
    assert len(numbers) == len(ordered) and list(numbers.iter_equal_or_larger(0)) == ordered
    for place in rng.sample(range(len(ordered)), 200):
        assert ordered[place] in numbers and numbers.rank(ordered[place]) == place + 1
        assert numbers.rank(ordered[place] - 1) == place + (ordered[place] - 1 in numbers)
        following = list(islice(numbers.iter_equal_or_larger(ordered[place] + 1), 3))
        assert following == ordered[place + 1 : place + 4]
