"""Size limits of the state service, including announced lower limits.

The service rejects a change that exceeds its limits with 400, on every attempt. Announced limits
take effect without notice, so a node keeps to the lower of both from its start.
"""

from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.settings import StateLimits


class TooLarge(Exception):
    """A change that exceeds the limits and must not be sent. The text names key and size."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one value and one transaction."""

    value_b: int  # bytes of one value
    ops: int  # changes in one transaction

    @property
    def conditions(self) -> int:
        return self.ops * c.CONDITIONS_PER_OP

    @property
    def chunks(self) -> int:
        """Chunks of one job that fit into one transaction with the job's own record."""
        return min(self.ops - 1, c.COMMIT_B // c.CHUNK_B)

    def fits(self, encoded: bytes) -> bool:
        return len(encoded) <= self.value_b

    def check(self, conditions: dict[str, int], puts: dict[str, bytes], deletes: list[str]) -> None:
        """Raises TooLarge if the transaction exceeds a limit."""
        for key, value in puts.items():
            if not self.fits(value):
                raise TooLarge(f"{key} takes {len(value)} B of {self.value_b}")
        if len(puts) + len(deletes) > self.ops or len(conditions) > self.conditions:
            example_key = next(iter([*puts, *deletes]), "nothing")
            raise TooLarge(
                f"{len(puts) + len(deletes)} changes of {self.ops} and {len(conditions)} conditions"
                f" of {self.conditions}, {example_key} among them"
            )


def effective_limits(state: StateLimits) -> Limits:
    """The lower of the current and the announced limits."""
    value_kb, ops = state.value_kb, state.txn_ops
    if state.next is not None:
        value_kb = min(value_kb, state.next.value_kb or value_kb)
        ops = min(ops, state.next.txn_ops or ops)
    return Limits(int(value_kb * 1024) - c.VALUE_SPARE_B, ops)
