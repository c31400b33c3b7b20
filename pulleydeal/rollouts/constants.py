"""Constants of roll-outs, each with its unit and reason."""

FORMAT = 1  # of the records; shown in p/s/NODE
MOST_COPIES = 24  # of a service: its record must fit into a value of 2 KB, with the surge
MOST_SURGE = 8  # copies above that while rolling out, for the same reason
MOST_STEPS = 10  # a roll-out of more steps is a schedule
KEPT_VERSIONS = 4  # descriptions kept of a service: the good one, the target and two before
KEPT_ENTRIES = 60  # of a service's history: some three roll-outs with all that happened
EVIDENCE_LINES = 8  # in an entry: which copies, which checks, when
EVIDENCE_CHARS = 120  # of one line; an entry must fit into a value
AT_ONCE = 6  # copies started or stopped in one transaction: 10 changes are the fewest allowed
FAILS_AGAINST = 2  # failed starts of one copy that speak against it: a first may be its machine's

TICK_S = 0.25  # how often a leader looks at services that roll out
STEADY_S = 1.0  # and at all others; a look that changes nothing writes nothing
PROBES_AT_ONCE = 16  # bounds sockets and memory; a healthy copy answers within milliseconds
PROBE_BODY_B = 4_096  # of a copy's answer that is looked at
REGISTERED_S = 15.0  # a registration lives so long without being renewed (copies renew each 3 s)
RENEW_S = 3.0  # what copies are told
OLD_ROUNDS = 3.0  # check intervals after which evidence is too old to say anything
LATE_ROUND_S = 1.0  # a round that began so much late was a prober's trouble, and proves nothing
FLAP_WINDOW_S = 60.0  # changes from healthy to unhealthy within this are counted together
FLAPS = 3  # so many, and the copy counts as unhealthy until the window has passed
LOST_S = 10.0  # unknown for so long, a copy's place is filled elsewhere
REPLACE_S = 30.0  # an unhealthy copy of the good version is replaced after this
QUEUED_S = 30.0  # a copy that waits so long for room in its zone is placed in another
HOLD_MS_MOST = 30_000  # longest poll of endpoints
HELD_POLLS = 64  # polls held at once on a node: bounds connections
RETRY_S = 1  # what is told with 503
EMPTY_LEAVE_S = 1.0  # a copy that says it is idle leaves after this: polls have brought the news
"""Statuses of a copy, as decisions see them."""
QUEUED, STARTING, HEALTHY, UNHEALTHY, UNKNOWN = (
    "queued",
    "starting",
    "healthy",
    "unhealthy",
    "unknown",
)
