"""The constants of the service.

Names end in their unit where they have one (_S seconds, _MS milliseconds, _B bytes).
Values that the platform's settings give (leases, rates, limits) are not repeated here.
"""

# --- HTTP ---------------------------------------------------------------------------------
MAX_BODY_B = 65_536  # PROTOCOL: no request body may exceed 64 KiB
MAX_HEADER_B = 16_384  # more than PROTOCOL's requests need; bounds the memory of one connection
IDLE_CONNECTION_S = 60.0  # users poll every 5 s, so a connection idle for a minute is abandoned
REQUEST_READ_S = 10.0  # longest wait for more of a started request; a slower client is stuck
CLIENT_IDLE_S = 15.0  # connections unused for longer are not reused: servers close idle ones
READ_CHUNK_B = 65_536  # one read takes at most one body of the largest size
SOCKET_SHARE_SERVER = 0.75  # share of max_sockets for incoming connections; the rest is outgoing
USER_CONNECTION_SHARE = 0.6  # share of those for users; workers, /up and /metrics keep the rest
USER_REQUESTS_AT_ONCE = 128  # processed at once: a few seconds of work on the small site
MAX_QUEUE_WAIT_S = 0.5  # users' writes that would wait longer are refused: answers stay under 1 s
MAX_RETRY_AFTER_S = 30.0  # PROTOCOL: users obey a Retry-After of up to 30 s
RETRY_AFTER_S = 1  # shortest Retry-After; PROTOCOL: users retry after 1 s or more

# --- State service ------------------------------------------------------------------------
STATE_TIMEOUT_S = 2.0  # answers take <10 ms, sometimes a few hundred; after 2 s none will come
FRESH_TIMEOUT_S = 1.2  # users wait 2 s for a poll: this leaves time to answer 503
COMMIT_WAIT_S = 4.0  # users wait 5 s for a submission; they are answered before they give up
WATCH_HOLD_MS = 5_000  # hold time of a watch (long poll); short enough that a dead one is noticed
WATCH_SLACK_S = 2.0  # added to the hold time before a watch counts as unanswered
WATCH_SPACING_S = 0.1  # shortest time between watches: each costs a node of a busy fleet some 1 ms
FRESH_GATHER_S = 0.02  # polls within this time share one read; users wait 2 s for an answer
BACKOFF_MIN_S = 0.05  # first pause after 429, 503 or no answer
BACKOFF_MAX_S = 0.5  # longest pause: recovery should be noticed within half a second
PAGE_LIMIT = 500  # items per page when the replica is loaded; the service allows 1,000
PAGES_SHARE = 0.75  # share of a node's request rate for pages: renewals go on beside a load
RETIRED_RECORDS_KEPT = 1_000  # of the jobs that ended or were asked for last: some 0.8 MB
SINGLE_READS_SHARE = 0.1  # share of a node's request rate for reads of single keys
RETIRED_READ_S = 0.5  # users wait 2 s for a poll, which is answered without a task count then
CHUNK_TASKS = 32  # tasks per stored chunk; can't change, as stored chunks are numbered by it
CHUNK_B = 1_950  # largest size of a full chunk: below the smallest value limit, MIN_VALUE_KB
MIN_VALUE_KB = 2.0  # smallest value limit that the settings may give: a full chunk must fit
VALUE_SPARE_B = 48  # kept free in a value: the service may count a few bytes differently
MACHINE_CHARS = 24  # longest machine id that is accepted (such as "vm-000231"): bounds CHUNK_B
MAX_ATTEMPT = 99_999  # attempts of one task, five digits: bounds CHUNK_B; one a second lasts a day
MAX_FAILS = 999  # failures counted, three digits: the back-off reaches its maximum long before
COMMIT_B = 60_000  # largest transaction body that is built; the service's limit is 64 KiB
CONDITIONS_PER_OP = 4  # PROTOCOL: four conditions per allowed change
MAX_COMMIT_TRIES = 6  # tries of one change whose conditions fail before it is given up
REFUSED_WRITES = 3  # this many 429 within REFUSED_WRITES_S show the announced, lower write rate
REFUSED_WRITES_S = 5.0  # a burst of the node's own writes is over within a second
WRITE_SHARE = 0.9  # share of the write rate that is used: bursts of others are not known here
WRITE_STARVATION_S = 5.0  # then BACKGROUND writes go first, NORMAL ones every second time
RATE_SLEEP_MIN_S = 0.005  # shorter sleeps cost more than they gain
WRITE_RECHECK_S = 0.05  # while the write rate is used up, how often the next writer is chosen anew
IDLE_WRITE_SHARE = 0.25  # of a quiet node's write rate, which it keeps so that it can start at once
WRITE_GROWTH_FACTOR = 1.25  # growth of a node's writes that is allowed for before others notice

# --- Membership ---------------------------------------------------------------------------
MEMBER_TTL_MS = 3_000  # a member whose lease is not renewed for this long is removed
MEMBER_RENEW_S = 0.9  # three renewals per lease: two may be lost
HEARTBEAT_S = 0.5  # interval of heartbeats, which carry credit totals: bounds how stale those are
CUT_AFTER_S = 3.5  # silence of a live sibling that counts as a cut; > one lost heartbeat or stall
HEAL_AFTER_S = 4.0  # a cut ends once the pair is heard for this long: flapping links stay cut
SHUT_OUT_S = 1.5  # refused this long (renewals: every 0.9 s) while a sibling is served: shut out
HEARD_NOW_S = 1.5  # three heartbeats: a sibling heard within this time is heard now
RELAYED_CANCELS = 500  # cancelled jobs named in a heartbeat: bounds its size
NEVER_COMPLETE = (1 << 64) - 1  # a revision that no replica reaches: the heartbeat proves nothing
FORMAT = 3  # record format that this version can read and keep; announced durably
FORMAT_WAITS = 1  # since this format: jobs that wait on others
FORMAT_FEATURES = 2  # since this format: a node announces its enabled features
# Since this format nodes confirm no cancellation that a node without the state service could not
# know of.
FORMAT_FRESHNESS = 3
EPOCH_SHIFT = 24  # bits of a token below the epoch: the per-machine fence counter
FENCE_LAST = (1 << EPOCH_SHIFT) - 1  # the next value would be the next epoch's first token
DIAL_TIMEOUT_S = 1.0  # for connecting to a sibling: hosts are a few ms apart
REJECTION_LOG_INTERVAL_S = 60.0  # port scans must not fill the log with invalid messages
MAX_FRAME_B = 1 << 20  # largest frame between siblings; an ask of 64 tasks is a few KiB

# --- Workers ------------------------------------------------------------------------------
CLOCK_DRIFT = 0.001  # twice PROTOCOL's 0.05%: two clocks may drift in opposite directions
LEASE_MARGIN_S = 1.0  # added to a lease before its tasks count as gone
RENEW_MARGIN_S = 3.0  # a node without the state service stops renewing leases this much early
ORDERS_TIMEOUT_S = 3.0  # an order unanswered for this long has an unknown outcome: it is fenced
ORDERS_IN_FLIGHT = 16  # direct orders at once: bounds sockets and memory
ORDER_QUEUE_MOST_S = 1.0  # an order that waits longer is planned anew: check-ins every 3 s carry it
PROBES_IN_FLIGHT = 32  # orders without calls at once: many of them hang on dead machines
PROBE_TIMEOUT_S = 1.5  # for those: a live machine answers within milliseconds
SILENT_REPORTS = 2.5  # report periods of silence after which a machine gives no credit
SILENT_RETURN_REPORTS = 2.7  # report periods of silence, also to probes, before it is drained
PROBE_REPORTS = 1.4  # report periods of silence before a machine is probed
SILENT_SHARE = 0.34  # share of a node's machines whose silence may be the node's own fault
SILENT_FEW = 3  # up to this many silent machines are never taken for the node's own fault
# Quiet machines have been silent for longer than PROBE_REPORTS.
ZONE_SILENT_FEW = 2  # up to this many quiet machines of one zone are never taken for a cut
ZONE_SILENT_SHARE = 0.5  # share of the known machines of a zone, quiet at once, that means a cut
UNSEEN_KEEP_S = 120.0  # machines behind a cut are kept for this long: cuts last under a minute
UNREACHED_S = 4.0  # orders unanswered for this long: starts never sent go elsewhere; > one order
MACHINE_SWEEP_S = 1.0  # how often a node checks all its machines, even without a change
SEEN_ATTEMPT_KEPT_S = 600.0  # much longer than a load, after which older bindings may show
KILL_REPEAT_S = 2.0  # a kill without visible effect is sent again after this
# Time, besides save_s, from the latest stop of a task to the reclaim of its spot machine. Tasks
# without checkpoints, which need not save, get half of it.
STOP_SLACK_S = 4.0
# Up to this long after the last report that was applied, a check-in that only has an old number is
# normal: an order's answer may have overtaken it. Later, the machine is probed: it may have
# restarted.
REPORT_REORDER_S = 1.0
SICK_ERRORS = 3  # failed tasks, of SICK_JOBS or more jobs, that mark a machine as sick
SICK_JOBS = 2  # a faulty job fails everywhere; failures of two jobs point to the machine
SICK_WINDOW_S = 90.0  # failures further apart than this are not counted together

# --- Credits ------------------------------------------------------------------------------
# An ask is a credit request that a job's leader sends to an owner for one task.
PROBES = 3  # credits that are tried for a task from the head of the queue (see DESIGN)
PUBLISHED_IMAGES = 50  # images named per published total: bounds the size of a heartbeat
HOLD_S = 3.0  # a held credit is free again if its binding is not durable by then
GANG_HOLD_S = 12.0  # gangs gather for longer: machines may have to be emptied for their tasks
ASK_TTL_S = 3.0  # lifetime of a waiting task's place in an owner's queue; its leader renews it
ASK_REPEAT_S = 1.0  # interval at which the leader renews it
# Tasks with priorities below this (high) may be stopped for a machine that has the image. Their
# requests prefer a download on a machine of the preferred kind (spot or on-demand) to a machine of
# the other kind that has the image.
ROOM_BELOW = 2
IMAGES_SEND_DELAY_S = 2.0  # until a node that joined is sent the images: links to it are up again
MACHINES_PER_IMAGES_MESSAGE = 500  # some 30 images of 50 B each still fit into a frame
MISSED_OBJECTIVE_LOSS = 500.0  # in task seconds lost: most machines can lose less
RESTART_S = 60.0  # until a stopped task is where it was: place, fetch, work since its last save
WORTH_FETCH_S = 5.0  # a fetch that takes longer than this justifies stopping such a task
RESERVE_S = 15.0  # how long room made by preemption is reserved for the task it was made for
CREDIT_TICK_S = 0.1  # longest sleep of the credit loop: bounds how late an ask may preempt
CREDIT_SWEEP_S = 2.0  # how often all credits are checked, which finds silence and lost wake-ups
# Credits recomputed per second without a change: 5% of a core with 28 tasks a machine. With up to
# 500 machines at a node each is recomputed once in CREDIT_SWEEP_S.
CREDITS_SWEPT_A_SECOND = 250
FULL_RESCAN_S = 2.0  # an ask without success checks all credits again; until then only changed ones
PUBLISH_S = 0.2  # shortest time between published totals: bounds the cost of heartbeats
# Pause after a round, so that changes within it share the next one. Starts take seconds to fetch,
# and at 0.03 s the rounds took a third of a busy day's processor time.
ROUND_SPACING_S = 0.1
PREEMPT_AFTER_S = 0.4  # an ask first waits this long for a credit that is about to come free

# --- Placement ----------------------------------------------------------------------------
PLACE_TICK_S = 0.25  # longest sleep of the placement loop; changes wake it at once
# How long an ask waits in vain at one owner, or a gang in one zone, before the next is tried: long
# enough to make room, also by tasks that save for 6 s (docs/incidents/room-made-and-left.md).
ASK_MOVE_AFTER_S = 8.0
ASK_LOOK_S = 0.25  # how often the owner for a waiting ask is reconsidered: costs grow with asks
TIDY_S = 1.0  # how often state kept on jobs that are over is dropped
MAX_ASKS_PER_JOB = 64  # tasks of one job that queue at owners at once
UNSERVED_AFTER_S = 5.0  # an array without a served ask for this long keeps only UNSERVED_MAX_ASKS
UNSERVED_MAX_ASKS = 8  # enough to find credit when it comes; the other asks then follow at once
ERROR_BACKOFF_S = 1.0  # first pause before a failed task is retried
AVOID_S = 45.0  # a job avoids a machine on which it failed: less than the 90 s that users wait
AVOID_MOST = 50  # avoided machines named in one ask: bounds the size of the message
ERROR_BACKOFF_MAX_S = 30.0  # longest pause; a faulty job fails until it is cancelled
SWEEPS_AT_ONCE = 8  # jobs cleaned up at once: ends and bindings keep most of the write rate
# An array of which nothing has started for this long goes first in its priority: operators expect
# the largest jobs of a class, too, to begin within four minutes.
ARRAY_FIRST_START_S = 120.0
LEAST_WORK = -1.0  # order value of pipeline jobs and long-waiting arrays: below any amount of work
PIPELINE_SMALL_S = 200.0  # task seconds left up to which a late job of a pipeline delays nobody
PIPELINE_PREEMPT_S = 30.0  # an inherited priority preempts only if a start is needed this soon
NAMED_IN_NOTE = 5  # jobs that a waiting job's note names; the rest are counted
ZONE_TRY_S = 4.0  # how long a gang gathers in one zone before it tries one with room for all of it

# --- Fleet --------------------------------------------------------------------------------
CLOUD_TIMEOUT_S = 5.0  # cloud calls take about 250 ms
FLEET_TICK_S = 1.0  # longest wait for a change before a rental plan, and interval of returns
FLEET_SPACING_S = 0.8  # shortest time between two plans: their cost grows with the fleet
IDLE_LOOK_S = 3.0  # how often unneeded machines are looked for; they are kept much longer anyway
LIST_EVERY_S = 4.0  # interval of list calls: the list lags by seconds anyway, and calls are few
CATALOG_EVERY_S = 60.0  # prices change slowly
RECORDS_AT_ONCE = 24  # machines changed, or rented, in one transaction: few calls suffice
CATALOG_RETRY_S = 5.0  # after a failed catalogue call; the few calls allowed are for rentals
REFUSED_S = 15.0  # how long machines of one type and zone are not rented again after a refusal
BOOT_FACTOR = 5.0  # multiple of ready_s (plus LIST_EVERY_S) after which a machine never comes up
BOOT_LATE_FACTOR = 1.7  # multiple of ready_s after which a boot is not counted on: 1.5 is usual
ARRIVALS_S = 120.0  # period over which the arrivals of a class are counted
PLAN_TASKS = 2_000  # waiting tasks considered in one plan: bounds its processor time
IDLE_WORK_WAITS_S = 60.0  # shortest wait of idle-time work before it is paid for: two boots
IDLE_RETURN_S = 40.0  # operators expect unused machines to be given back within a minute
GONE_KEEP_S = 300.0  # how long a gone machine's record is kept, so late reports don't revive it
RETURN_BATCH = 50  # machines per return call; PROTOCOL allows 100
SPOT_DISCOUNT = 0.8  # spot is worth it below this share of the ordinary price
LIST_PAGE = 500  # machines per list call (PROTOCOL's maximum)

# --- Operators' expressions -----------------------------------------------------------------
EXPRESSION_CHARS = 500  # longest expression: a few lines that people can read
EXPRESSION_DEPTH = 20  # deepest nesting: bounds the checker's and the evaluation's stack
EXPRESSION_MOST = 1e12  # largest literal: far above any amount that occurs

# --- Journal ------------------------------------------------------------------------------
JOURNAL_DRAFT_CHUNKS = 12  # chunks of one job in one append: 384 facts of some 40 B, 16 KB
JOURNAL_APPEND_B = 48_000  # facts in one append: below COMMIT_B with its conditions and keys
JOURNAL_TRIES = 12  # appends of one job's facts that fail on a conflict before they are given up
JOURNAL_TIDY_S = 5.0  # how often values without a fact that still counts are dropped
JOURNAL_KEEP = 128  # journal values above which the oldest are rewritten, so that they can go
JOURNAL_RESTATED = 8  # values rewritten in one transaction: bounds the cost of rewriting

# --- Overload of the event loop -----------------------------------------------------------
LATENESS_LOOK_S = 0.25  # how often the event loop's lateness is measured: twice per heartbeat
LATE_UPKEEP_S = 0.25  # above this lateness the fleet's plans are delayed: nobody misses one
LATE_PLACEMENT_S = 0.5  # above this one placement is delayed: machines drop answers after 4 s
LATE_USERS_S = 1.0  # above this one most users are refused: they wait 2 s for a poll
LATE_USER_REQUESTS_AT_ONCE = 4  # still processed at once then, whichever nodes are late
LATE_PLACEMENT_PAUSE_S = 0.5  # longest delay of a placement round: a start takes several rounds
LATE_PAUSE_MOST_S = 2.0  # longest delay of the fleet's plans

# --- Loops --------------------------------------------------------------------------------
LOOP_PAUSE_S = 0.5  # pause before a loop that failed is tried again
