"""Every constant of the service, each with its unit and the reason for its value.

Names end in their unit where they have one (_S seconds, _MS milliseconds, _B bytes).
Whatever the platform's settings give (leases, rates, limits) is not repeated here.
"""

# --- HTTP ---------------------------------------------------------------------------------
MAX_BODY_B = 65_536  # PROTOCOL: no request body may exceed 64 KiB
MAX_HEADER_B = 16_384  # ample for PROTOCOL's requests; bounds what one socket can hold
IDLE_CONNECTION_S = 60.0  # users poll every 5 s, so a minute of silence means nobody is there
REQUEST_READ_S = 10.0  # a started request that is not complete by then is a stuck client
CLIENT_IDLE_S = 15.0  # reuse a connection for at most this long unused: peers close idle ones
READ_CHUNK_B = 65_536  # one read takes at most one largest body
SOCKET_SHARE_SERVER = 0.75  # of max_sockets for incoming; the rest is for our own calls
CROWD_SHARE = 0.6  # of those, for users: workers, /up and /metrics keep the rest
CROWD_AT_ONCE = 128  # users' requests worked on at once: some seconds' worth on the small site
QUEUE_MOST_S = 0.5  # longest wait for a write that a user is let in for: answers stay under 1 s
RETRY_MOST_S = 30.0  # PROTOCOL: users keep to a Retry-After of up to 30 s
RETRY_AFTER_S = 1  # what a refused user is told: PROTOCOL retries after 1 s or more

# --- State service ------------------------------------------------------------------------
STATE_TIMEOUT_S = 2.0  # answers take <10 ms, now and then a few hundred: 2 s is no answer
FRESH_TIMEOUT_S = 1.2  # users wait 2 s for a poll: leave them time to hear 503
COMMIT_WAIT_S = 4.0  # users wait 5 s for a submission; answer before they give up
WATCH_HOLD_MS = 5_000  # a long poll; short enough that a dead watch is noticed
WATCH_SLACK_S = 2.0  # on top of the hold before a watch counts as unanswered
WATCH_SPACING_S = 0.1  # between two watches: each costs a node of a busy fleet about a millisecond
FRESH_GATHER_S = 0.02  # polls of this long share one read; users wait 2 s for an answer
BACKOFF_MIN_S = 0.05  # first pause after 429/503 or no answer
BACKOFF_MAX_S = 0.5  # longest pause: recovery should be noticed within half a second
PAGE_LIMIT = 500  # items per page on loading the replica; below the service's 1,000
CHUNK_TASKS = 32  # tasks per stored chunk; production numbers chunks by it, so it can't change
CHUNK_B = 1_950  # bytes of a full chunk at most: below the smallest value limit, MIN_VALUE_KB
MIN_VALUE_KB = 2.0  # smallest value limit that settings may name: a full chunk must fit
VALUE_SPARE_B = 48  # kept free in a value: the service may count a few bytes otherwise than we do
MACHINE_CHARS = 24  # longest machine id that is used ("vm-000231"): bounds CHUNK_B
MAX_ATTEMPT = 99_999  # starts of one task, five digits: bounds CHUNK_B; at one a second, a day's
MAX_FAILS = 999  # failures counted, three digits: the back-off is at its longest long before
COMMIT_B = 60_000  # largest transaction body we build; the service's limit is 64 KiB
CONDITIONS_PER_OP = 4  # PROTOCOL: four conditions per allowed change
SCRATCH_TRIES = 6  # attempts of one change against moving marks before it is given up
REFUSED_WRITES = 3  # so many 429 within REFUSED_WRITES_S: the lower, announced rate has come
REFUSED_WRITES_S = 5.0  # a burst of our own is over within a second
WRITE_SHARE = 0.9  # part of the write rate we use: bursts of others are not known to us
WRITE_PATIENCE_S = 5.0  # a write that nobody waits for has its turn after this
WRITE_LOOK_MIN_S = 0.005  # shorter sleeps cost more than they gain
WRITE_LOOK_S = 0.05  # while the rate is used up: how often is looked who goes first
LEND_KEEP = 0.25  # part of its share that a quiet node keeps: it can start at once
LEND_GROWTH = 1.25  # what a node may write more than it last said before others notice

# --- Membership ---------------------------------------------------------------------------
MEMBER_TTL_MS = 3_000  # a member unheard by the state service this long is voted out
MEMBER_RENEW_S = 0.9  # three renewals per lease: two may be lost
BEAT_S = 0.5  # sibling heartbeat: carries credit totals, so it bounds how stale they are
CUT_AFTER_S = 3.5  # silence of a living sibling that counts as a cut; > one lost beat or stall
HEAL_AFTER_S = 4.0  # a healed pair must stay heard this long: flapping links stay cut
SHUT_OUT_S = 1.5  # refused so long (renewals come each 0.9 s) while a sibling is served: shut out
HEARD_NOW_S = 1.5  # three beats: a sibling heard within this is heard now
RELAYED_CANCELS = 500  # cancelled jobs named in a heartbeat: bounds its size
NOTHING_COMPLETE = (1 << 64) - 1  # a revision that no copy reaches: the beat vouches for nothing
WEIGHTS_KEPT = (
    131_072  # hashes remembered, some 200 B each: members times machines and open jobs; at
)
# 16,384 those of 4,800 machines and 4,200 jobs pushed each other out, 25 ms a change of jobs
FORMAT = 3  # what this version can read and keep, shown durably
FORMAT_WAITS = 1  # from this on: jobs that wait on others
FORMAT_FEATURES = 2  # from this on: which features a node has on
FORMAT_VOUCHES = 3  # from this on: it tells no cancellation that a blind node could not know of
EPOCH_SHIFT = 24  # bits of a token below the epoch: the per-machine fence counter
DIAL_TIMEOUT_S = 1.0  # sibling connect: hosts are a few ms apart
STRANGERS_TOLD_S = 60.0  # a scanner of ports must not fill the log
MAX_FRAME_B = 1 << 20  # sibling frame bound; an ask of 64 tasks is a few KiB

# --- Workers ------------------------------------------------------------------------------
CLOCK_DRIFT = 0.001  # twice PROTOCOL's 0.05%: two clocks may drift apart both ways
LEASE_MARGIN_S = 1.0  # on top of a lease before its tasks count as gone
RENEW_MARGIN_S = 3.0  # how much earlier than strictly needed a blind node stops renewing
ORDERS_TIMEOUT_S = 3.0  # an order unanswered this long has an unknown outcome: fence
ORDERS_IN_FLIGHT = 16  # at most so many direct orders at once: bounds sockets and memory
ORDER_QUEUE_MOST_S = (
    1.0  # an order that waits longer is planned anew: check-ins, each 3 s, carry it
)
PROBES_IN_FLIGHT = 32  # likewise of orders without calls: many of them hang on dead machines
PROBE_TIMEOUT_S = 1.5  # for those: a living machine answers within milliseconds
SILENT_REPORTS = 2.5  # report periods of silence after which a machine gives no credit
SILENT_RETURN_REPORTS = 2.7  # report periods of silence, probes too, before it is given back
PROBE_REPORTS = 1.4  # report periods of silence before a machine is asked directly
SILENT_SHARE = 0.34  # silent part of one's machines from which the fault may be one's own
SILENT_FEW = 3  # silent machines that are never too many
ZONE_SILENT_FEW = 2  # quiet machines of one zone that are never a cut
ZONE_SILENT_SHARE = 0.5  # part of one's machines of a zone, quiet at once, that means a cut
UNSEEN_KEEP_S = 120.0  # machines behind a cut are kept so long: cuts last under a minute
UNREACHED_S = 4.0  # orders unanswered so long: what was never sent starts elsewhere; > one order
LOOK_ROUND_S = 1.0  # all own machines are looked at so often, though nothing changed
KILL_REPEAT_S = 2.0  # a kill not yet seen to work is sent again after this
STOP_SLACK_S = 4.0  # seconds on top of stow_s between the last kill and a spot machine's end
OVERTAKEN_S = 1.0  # a check-in this much older than an order's answer was not overtaken by it
SICK_ERRORS = 3  # failed tasks (of two jobs or more) that mark a machine as sick
SICK_JOBS = 2  # one job's mistake fails everywhere; two jobs blame the machine
SICK_WINDOW_S = 90.0  # errors further apart than this do not add up

# --- Credits ------------------------------------------------------------------------------
PROBES = 3  # credits that a task looks at from the queue head (DESIGN: three, ours)
PUBLISHED_IMAGES = 50  # images named per published total: bounds a heartbeat's size
HOLD_S = 3.0  # a held credit whose binding is not durable by then is free again
GANG_HOLD_S = 12.0  # gangs gather longer: members' machines may have to be emptied
ASK_TTL_S = 3.0  # a waiting task's place in an owner's queue, renewed by its leader
ASK_REPEAT_S = 1.0  # how often the leader renews it
ROOM_BELOW = 2  # priorities below high may be stopped for a machine that has the image
TELL_IMAGES_S = 2.0  # a node that joined is told of images then: links to it are up again
TELL_AT_ONCE = 500  # machines in one such message: some 30 images of 50 B each stay below a frame
MISS_LOSS = 500.0  # a missed aim, in task seconds lost: more than most machines can lose
RESTART_S = 60.0  # until a stopped task is where it was: its place, its fetch, work since saving
WORTH_FETCH_S = 5.0  # a fetch longer than this is worth stopping such a task
RESERVE_S = 15.0  # how long room emptied by preemption is kept for the one it was made for
CREDIT_TICK_S = 0.1  # longest sleep of the credit loop: bounds how late an ask may preempt
CREDIT_SWEEP_S = 2.0  # all credits are looked at so often: silence and lost wake-ups show then
CREDITS_SWEPT_A_SECOND = 250  # credits worked out anew a second though nothing was said: 5% of a
# core with 28 tasks a machine; up to 500 machines at a node each is once in CREDIT_SWEEP_S
LOOK_AGAIN_S = 2.0  # an ask that found no credit looks at all again; else only at changed ones
PUBLISH_S = 0.2  # shortest time between two published totals: bounds what heartbeats cost
ROUND_SPACING_S = 0.1  # pause after a round: what changes within it shares the next one; starts
# take seconds to fetch, and at 0.03 the rounds took a third of a busy day's processor time
PREEMPT_AFTER_S = 0.4  # an ask first waits this long for a credit on its way

# --- Placement ----------------------------------------------------------------------------
PLACE_TICK_S = 0.25  # the placement loop's longest sleep; changes wake it at once
ASK_STAY_S = 8.0  # after so long in vain at one part or in one zone the next has its turn: room is
# made within it, also by tasks that save for 6 s (docs/incidents/room-made-and-left.md)
ASK_LOOK_S = 0.25  # how often a waiting ask's part is thought over: its cost grows with asks
TIDY_S = 1.0  # how often what is remembered of jobs that are over is dropped
MAX_ASKS_PER_JOB = 64  # tasks of one job that queue at owners at once
VAIN_AFTER_S = 5.0  # an array of which no ask was served for so long keeps only a few asks
VAIN_ASKS = 8  # that few: credit that comes is found by them, and the others follow at once
ERROR_BACKOFF_S = 1.0  # first pause before a failed task is tried again
AVOID_S = 45.0  # a job leaves out a machine on which it failed: below the users' 90 s of waiting
AVOID_MOST = 50  # such machines named in one ask: bounds a message's size
ERROR_BACKOFF_MAX_S = 30.0  # longest pause; a job with a mistake fails until cancelled
SWEEPS_AT_ONCE = 8  # jobs cleaned up at once: ends and bindings keep most of the write rate
BEGIN_S = 120.0  # an array of which nothing has started for so long goes first among its priority:
# operators expect also a class's largest jobs to begin within four minutes
CHAIN_WORK = -1.0  # stands for the waiting work of a job in a pipeline: short ones go first
CHAIN_SMALL_S = 200.0  # task seconds of a pipeline's job that hold up nobody
CHAIN_STOP_S = 30.0  # a lent priority stops others when a start is needed this soon
NAMED_IN_NOTE = 5  # jobs that a waiting job's note names; the rest are counted
ZONE_TRY_S = 4.0  # how long a gang gathers in one zone before it tries one that shows room for it

# --- Fleet --------------------------------------------------------------------------------
CLOUD_TIMEOUT_S = 5.0  # cloud calls take about 250 ms
FLEET_TICK_S = 1.0  # how often rental plans are made
FLEET_SPACING_S = 0.8  # at least between two plans: their cost grows with the fleet
IDLE_LOOK_S = 3.0  # how often is looked for what nobody needs: it stays much longer anyway
LIST_EVERY_S = 4.0  # list calls: the list lags by seconds anyway, and calls are few
CATALOG_EVERY_S = 60.0  # prices move slowly
RECORDS_AT_ONCE = 24  # machine records changed, or rented, in one transaction: few calls suffice
CATALOG_RETRY_S = 5.0  # after a failed catalogue call; the few calls are for rentals
REFUSED_S = 15.0  # how long a zone that refused a rental is left alone
BOOT_FACTOR = 5.0  # times ready_s (plus a lease) after which a machine never comes up
BOOT_LATE_FACTOR = 1.7  # times ready_s after which one that boots is not counted on: usual is 1.5
ARRIVALS_S = 120.0  # arrivals of a class are counted over this long
PLAN_TASKS = 2_000  # waiting tasks looked at in one plan: bounds its processor time
IDLE_WORK_WAITS_S = 60.0  # idle-time work waits so long at least before it is paid for: two boots
IDLE_RETURN_S = 40.0  # operators expect unused machines back within a minute
GONE_KEEP_S = 300.0  # how long a gone machine's record stays, so late reports don't revive it
RETURN_BATCH = 50  # names per return call; PROTOCOL allows 100
SPOT_DISCOUNT = 0.8  # spot pays if it costs less than this part of the ordinary price
LIST_PAGE = 500  # machines per list call (PROTOCOL's maximum)

# --- Operators' expressions -----------------------------------------------------------------
EXPRESSION_CHARS = 500  # longest expression: a few lines of text, read by people
EXPRESSION_DEPTH = 20  # deepest nesting: bounds the checker's and the evaluation's stack
EXPRESSION_MOST = 1e12  # largest literal: far above any amount here

# --- Journal ------------------------------------------------------------------------------
JOURNAL_DRAFT_CHUNKS = 12  # chunks of one job in one append: 384 facts of some 40 B, 16 KB
JOURNAL_APPEND_B = 48_000  # facts in one append: below COMMIT_B with its conditions and keys
JOURNAL_TRIES = 12  # appends of one job's facts against moving marks before they are given up
JOURNAL_TIDY_S = 5.0  # how often values without a fact that still counts are dropped
JOURNAL_KEEP = 128  # values of one start after which the oldest are written anew, to be dropped
JOURNAL_RESTATED = 8  # values written anew in one transaction: bounds what idle work costs

# --- Short processor time -----------------------------------------------------------------
LATENESS_LOOK_S = 0.25  # how often the loop's lateness is measured: twice a heartbeat
LATE_UPKEEP_S = 0.25  # from this lateness on the fleet's plans wait: nobody misses one
LATE_PLACEMENT_S = 0.5  # and from this one placement: a machine's answer waits 4 s at most
LATE_USERS_S = 1.0  # and from this one most users are sent away: they wait 2 s for a poll
LATE_CROWD_AT_ONCE = 4  # but so many are still answered, whichever nodes are late
LATE_PLACEMENT_PAUSE_S = 0.5  # longest pause of placement: a start takes several rounds
LATE_PAUSE_MOST_S = 2.0  # and of the fleet's plans

# --- Loops --------------------------------------------------------------------------------
LOOP_PAUSE_S = 0.5  # a loop that failed is tried again after this
