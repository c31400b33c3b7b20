"""Sets of job ids that keep no object for each id: a few bytes an id, in the order of ids."""

import heapq
import re
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from typing import Protocol

from pyroaring import BitMap

PREFIX = "j-"
BITMAP_DIGITS = 9  # a bitmap holds numbers of 32 bits
MAX_DIGITS = 30  # PROTOCOL's form, as `submissions/messages.py` has it
BLOCK_NUMBERS = 512  # an insertion copies one block; blocks of fewer waste memory in the allocator


class NumberSet(Protocol):
    """A sorted set of numbers."""

    def add(self, number: int, /) -> None: ...

    def __contains__(self, number: int, /) -> bool: ...

    def __len__(self) -> int: ...

    def rank(self, number: int, /) -> int:
        """How many of the numbers are at most `number`."""

    def iter_equal_or_larger(self, number: int, /) -> Iterator[int]:
        """The numbers from `number` on, in ascending order."""


class SortedNumbers:
    """A sorted set of numbers of up to `size_b` bytes, each kept in that many bytes.

    The numbers are written with the highest byte first, so encoded numbers have the order of the
    numbers. They are concatenated in blocks.
    """

    def __init__(self, size_b: int) -> None:
        self._size_b = size_b
        self._blocks: list[bytes] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        encoded = number.to_bytes(self._size_b)
        if not self._blocks:
            return False
        block = self._blocks[self._block_index(encoded)]
        start = self._index(block, encoded) * self._size_b
        return block[start : start + self._size_b] == encoded

    def add(self, number: int) -> None:
        encoded = number.to_bytes(self._size_b)
        if not self._blocks:
            self._blocks.append(encoded)
            self._count += 1
            return
        position = self._block_index(encoded)
        block = self._blocks[position]
        start = self._index(block, encoded) * self._size_b
        if block[start : start + self._size_b] == encoded:
            return
        self._count += 1
        if len(block) < BLOCK_NUMBERS * self._size_b:
            self._blocks[position] = block[:start] + encoded + block[start:]
        elif start == len(block) and position == len(self._blocks) - 1:
            self._blocks.append(encoded)  # a load adds in ascending order: it leaves blocks full
        else:
            halves = self._halves(block[:start] + encoded + block[start:])
            self._blocks[position : position + 1] = halves

    def rank(self, number: int) -> int:
        encoded = number.to_bytes(self._size_b)
        if not self._blocks:
            return 0
        position = self._block_index(encoded)
        block = self._blocks[position]
        index = self._index(block, encoded)
        is_member = self._numbers(block, index)[:1] == [number]
        before = sum(len(earlier) for earlier in self._blocks[:position]) // self._size_b
        return before + index + is_member

    def iter_equal_or_larger(self, number: int) -> Iterator[int]:
        if not self._blocks:
            return
        encoded = number.to_bytes(self._size_b)
        position = self._block_index(encoded)
        yield from self._numbers(
            self._blocks[position], self._index(self._blocks[position], encoded)
        )
        for block in self._blocks[position + 1 :]:
            yield from self._numbers(block, 0)

    def _block_index(self, encoded: bytes) -> int:
        """The last block that starts at or below the number; the first one if there is none."""
        after = bisect_right(self._blocks, encoded, key=lambda block: block[: self._size_b])
        return max(0, after - 1)

    def _index(self, block: bytes, encoded: bytes) -> int:
        """The index in the block of the first number that is not smaller."""
        size_b = self._size_b
        return bisect_left(
            range(len(block) // size_b),
            encoded,
            key=lambda index: block[index * size_b : (index + 1) * size_b],
        )

    def _halves(self, block: bytes) -> list[bytes]:
        middle = len(block) // self._size_b // 2 * self._size_b
        return [block[:middle], block[middle:]]

    def _numbers(self, block: bytes, first_index: int) -> list[int]:
        size_b = self._size_b
        starts = range(first_index * size_b, len(block), size_b)
        return [int.from_bytes(block[start : start + size_b]) for start in starts]


def _number_set(digits: int) -> NumberSet:
    if digits <= BITMAP_DIGITS:
        return BitMap()
    return SortedNumbers(-(-(10**digits - 1).bit_length() // 8))


def digits_of(job_id: str) -> str:
    """The digits of an id in PROTOCOL's form; empty for any other id."""
    digits = job_id[len(PREFIX) :]
    in_form = job_id.startswith(PREFIX) and digits.isascii() and digits.isdigit()
    return digits if in_form and len(digits) <= MAX_DIGITS else ""


class JobIdSet:
    """A set of job ids.

    An id in PROTOCOL's form is kept as a number among the ids with as many digits, so that `j-7`
    and `j-07` are different. Any other id is kept as it is.
    """

    def __init__(self) -> None:
        self._by_digits: dict[int, NumberSet] = {}
        self._others: set[str] = set()

    def __len__(self) -> int:
        return len(self._others) + sum(map(len, self._by_digits.values()))

    def __contains__(self, job_id: str) -> bool:
        digits = digits_of(job_id)
        if not digits:
            return job_id in self._others
        numbers = self._by_digits.get(len(digits))
        return numbers is not None and int(digits) in numbers

    def __iter__(self) -> Iterator[str]:
        return self.after("")

    def add(self, job_id: str) -> None:
        digits = digits_of(job_id)
        if not digits:
            self._others.add(job_id)
            return
        numbers = self._by_digits.get(len(digits))
        if numbers is None:
            numbers = self._by_digits[len(digits)] = _number_set(len(digits))
        numbers.add(int(digits))

    def rank(self, job_id: str) -> int:
        """How many ids with as many digits are at most this one, which is in PROTOCOL's form."""
        digits = digits_of(job_id)
        return self._by_digits[len(digits)].rank(int(digits))

    def after(self, job_id: str) -> Iterator[str]:
        """The ids behind this one, in the order of strings."""
        others = sorted(other for other in self._others if other > job_id)
        return heapq.merge(others, *(self._after(count, job_id) for count in self._by_digits))

    def _after(self, digits: int, job_id: str) -> Iterator[str]:
        """The ids with so many digits behind the given id, in the order of strings."""
        first = 0
        if job_id >= PREFIX + "0" * digits:
            first = _first_number_behind(job_id.removeprefix(PREFIX), digits)
        if job_id >= PREFIX + "9" * digits or first >= 10**digits:
            return
        for number in self._by_digits[digits].iter_equal_or_larger(first):
            found = f"{PREFIX}{number:0{digits}d}"
            if found > job_id:
                yield found


def _first_number_behind(text: str, digits: int) -> int:
    """The first number of so many digits that is behind `text` in the order of strings.

    It may be the number before, if `text` begins with that one.
    """
    matched = re.match("[0-9]*", text[:digits])
    leading = matched[0] if matched is not None else ""
    number = int(leading.ljust(digits, "0"))
    if len(leading) < digits and text[len(leading) :] > "9":
        number += 10 ** (digits - len(leading))  # all numbers that begin so are before `text`
    return number
