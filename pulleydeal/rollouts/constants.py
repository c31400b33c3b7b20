"""Constants of roll-outs, each with its unit and reason."""

RECORD_FORMAT = 1  # format number of the stored records; published under p/s/NODE
MAX_COPIES = 24  # per service: its record, surge included, must fit into a value of 2 KB
MAX_SURGE = 8  # extra copies during a roll-out; bounded for the same reason
MAX_STEPS = 10  # a roll-out with more steps is a schedule
KEPT_VERSIONS = 4  # descriptions kept per service: the good one, the target and two before
KEPT_HISTORY_ENTRIES = 60  # per service: the events of about three roll-outs
MAX_EVIDENCE_LINES = 8  # per history entry: which copies, which checks, when
MAX_EVIDENCE_CHARS = 120  # per evidence line; a history entry must fit into a value
MAX_BATCH_COPIES = 6  # copies started or stopped per transaction, which may be limited to 10 ops
UNHEALTHY_AFTER_FAILED_STARTS = 2  # per copy; a single failure may be the machine's fault

TICK_S = 0.25  # interval at which a leader evaluates services with a roll-out under way
IDLE_EVALUATION_S = 1.0  # the same for all other services; no write unless something changes
MAX_CONCURRENT_PROBES = 16  # bounds sockets and memory; a healthy copy answers within milliseconds
PROBE_BODY_B = 4_096  # bytes of a probe response body to examine; not used at present
REGISTRATION_TTL_S = 15.0  # a registration expires this long after its last renewal
REGISTRATION_RENEW_S = 3.0  # renewal interval that registering copies are told to use
MAX_EVIDENCE_AGE_ROUNDS = 3.0  # check intervals after which evidence is considered stale
MAX_ROUND_DELAY_S = 1.0  # a round delayed longer is discarded: the delay is the prober's fault
FLAP_WINDOW_S = 60.0  # healthy-to-unhealthy transitions within this window count together
FLAP_THRESHOLD = 3  # transitions per window that make a copy unhealthy until the window has passed
LOST_AFTER_S = 10.0  # a copy in unknown state for longer is replaced elsewhere
REPLACE_AFTER_S = 30.0  # an unhealthy copy of the good version is replaced after this
MOVE_QUEUED_AFTER_S = 30.0  # a copy that waits longer for room in its zone moves to another zone
MAX_HOLD_MS = 30_000  # longest long poll of the endpoints
MAX_HELD_POLLS = 64  # long polls held at once on a node: bounds connections
RETRY_AFTER_S = 1  # sent with 503 responses
IDLE_DRAIN_S = 1.0  # drain time of an idle copy: long polls have delivered the new endpoints
"""States of a copy, as decisions use them."""
QUEUED, STARTING, HEALTHY, UNHEALTHY, UNKNOWN = (
    "queued",
    "starting",
    "healthy",
    "unhealthy",
    "unknown",
)
