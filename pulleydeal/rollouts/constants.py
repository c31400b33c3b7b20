"""Constants of roll-outs. Suffixes: _S seconds, _MS milliseconds, _B bytes."""

FORMAT = 1  # version of the stored records; announced in p/s/NODE
MOST_COPIES = 24  # of a service; its record, with the surge, must fit into a value of 2 KB
MOST_SURGE = 8  # additional copies during a roll-out; limited for the same reason
MOST_STEPS = 10  # of a roll-out; more would amount to a schedule
KEPT_VERSIONS = 4  # descriptions kept per service: good version, target and two earlier ones
KEPT_ENTRIES = 60  # history entries kept per service: about three roll-outs
EVIDENCE_LINES = 8  # per history entry: which copies, which checks, when
EVIDENCE_CHARS = 120  # per line; an entry must fit into a state service value
AT_ONCE = 6  # copies started or stopped per transaction; the lowest limit is 10 changes
FAILS_AGAINST = 2  # failures that count against a copy; a single one may be its machine's fault

TICK_S = 0.25  # interval at which a leader evaluates services with a roll-out
STEADY_S = 1.0  # the same for all others; an evaluation without changes writes nothing
PROBES_AT_ONCE = 16  # bounds sockets and memory; a healthy copy answers within milliseconds
PROBE_BODY_B = 4_096  # not used; for the bytes of a copy's answer that are read
REGISTERED_S = 15.0  # lifetime of a registration that is not renewed (copies renew each 3 s)
RENEW_S = 3.0  # renewal interval that is sent to copies
OLD_ROUNDS = 3.0  # check intervals after which evidence is too old to count
LATE_ROUND_S = 1.0  # a round of checks that is later proves nothing: the prober was delayed
FLAP_WINDOW_S = 60.0  # period over which changes from healthy to unhealthy are counted
FLAPS = 3  # changes within that period that make a copy unhealthy until it has passed
LOST_S = 10.0  # a copy in unknown state for longer is replaced elsewhere
REPLACE_S = 30.0  # an unhealthy copy of the good version is replaced after this time
QUEUED_S = 30.0  # a copy that waits for capacity in its zone for longer moves to another
HOLD_MS_MOST = 30_000  # longest poll of endpoints
HELD_POLLS = 64  # concurrent long polls per node; bounds connections
RETRY_S = 1  # Retry-After of 503 answers
# An idle copy stops this long after leaving the endpoints; polls have told clients by then.
EMPTY_LEAVE_S = 1.0
"""States of a copy, as used by the decisions."""
QUEUED, STARTING, HEALTHY, UNHEALTHY, UNKNOWN = (
    "queued",
    "starting",
    "healthy",
    "unhealthy",
    "unknown",
)
