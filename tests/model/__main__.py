"""The long bound, and the counterexamples anew: python3 -m tests.model [CHANGES VIEWS]"""

import sys
import time

from tests.model import blind_owner
from tests.model.cut_zone import GUARDS, LINK_CHANGES, explore, explore_without


def main() -> int:
    changes, views = (int(word) for word in sys.argv[1:3] or ("3", "4"))
    started = time.perf_counter()
    states, way = explore(changes, views, crash=True)
    took = time.perf_counter() - started
    print(f"# {changes} changes of the links, epochs to {views}: {states} states, {took:.0f} s")
    print("\n".join(way or ["# no rule broken"]))
    for guard in GUARDS:
        print(
            f"\n[{guard}]",
            *explore_without(guard, LINK_CHANGES.get(guard, 2), 3),
            sep="\n",
        )
    started = time.perf_counter()
    seen, blind = blind_owner.explore(2)
    print(f"\n# blind owner, 2 changes: {seen} states, {time.perf_counter() - started:.0f} s")
    print("\n".join(blind or ["# no rule broken"]))
    for guard in blind_owner.GUARDS:
        print(f"\n[{guard}]", *blind_owner.explore_without(guard, 2), sep="\n")
    return 1 if way or blind else 0


if __name__ == "__main__":
    sys.exit(main())
