"""What fits into the state service, now and after its limits have shrunk as announced.

A larger change would be refused with 400 whenever it is tried, and the smaller limits come
without notice, so from its start a node writes only what fits both.
"""

from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.settings import StateLimits


class TooLarge(Exception):
    """A change that may never be sent; the text names key and size."""


@dataclass(slots=True, frozen=True)
class Limits:
    value_b: int  # bytes of one value
    ops: int  # changes in one transaction

    @property
    def conditions(self) -> int:
        return self.ops * c.CONDITIONS_PER_OP

    @property
    def chunks(self) -> int:
        """Chunks of one job in one transaction, beside the job's own record."""
        return min(self.ops - 1, c.COMMIT_B // c.CHUNK_B)

    def fits(self, encoded: bytes) -> bool:
        return len(encoded) <= self.value_b

    def check(self, conditions: dict[str, int], puts: dict[str, bytes], deletes: list[str]) -> None:
        for key, value in puts.items():
            if not self.fits(value):
                raise TooLarge(f"{key} takes {len(value)} B of {self.value_b}")
        if len(puts) + len(deletes) > self.ops or len(conditions) > self.conditions:
            some = next(iter([*puts, *deletes]), "nothing")
            raise TooLarge(
                f"{len(puts) + len(deletes)} changes of {self.ops} and {len(conditions)} conditions"
                f" of {self.conditions}, {some} among them"
            )


def tightest(state: StateLimits) -> Limits:
    """The smaller of the present limits and the announced ones."""
    value_kb, ops = state.value_kb, state.txn_ops
    if state.next is not None:
        value_kb = min(value_kb, state.next.value_kb or value_kb)
        ops = min(ops, state.next.txn_ops or ops)
    return Limits(int(value_kb * 1024) - c.VALUE_SPARE_B, ops)
