"""Explores the models with larger bounds and prints every counterexample.

Usage: python3 -m tests.model [CHANGES VIEWS]
"""

import sys
import time

from tests.model import blind_owner
from tests.model.cut_zone import GUARDS, LINK_CHANGES, explore, explore_without


def main() -> int:
    changes, views = (int(word) for word in sys.argv[1:3] or ("3", "4"))
    started = time.perf_counter()
    states, path = explore(changes, views, crash=True)
    elapsed = time.perf_counter() - started
    print(f"# {changes} changes of the links, epochs to {views}: {states} states, {elapsed:.0f} s")
    print("\n".join(path or ["# no rule broken"]))
    for guard in GUARDS:
        print(
            f"\n[{guard}]",
            *explore_without(guard, LINK_CHANGES.get(guard, 2), 3),
            sep="\n",
        )
    started = time.perf_counter()
    blind_states, blind_path = blind_owner.explore(2)
    print(
        f"\n# blind owner, 2 changes: {blind_states} states, {time.perf_counter() - started:.0f} s"
    )
    print("\n".join(blind_path or ["# no rule broken"]))
    for guard in blind_owner.GUARDS:
        print(f"\n[{guard}]", *blind_owner.explore_without(guard, 2), sep="\n")
    return 1 if path or blind_path else 0


if __name__ == "__main__":
    sys.exit(main())
