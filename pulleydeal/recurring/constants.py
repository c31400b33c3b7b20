"""Limits, intervals and sizes of recurring jobs."""

RECORD_FORMAT = 1  # of the stored records; `service.advertised_format` adds the tzdata version
MAX_TABLE_LINES = 20_000  # per table: ten times the crontabs of two large offices together
MAX_TABLE_BYTES = 4_000_000  # of a table's text: 20,000 lines of 200 bytes
MAX_LINE_BYTES = 1_000  # as MAX_COMMAND in cron; a line must also fit into one stored value
UPLOAD_PIECE_BYTES = 48_000  # with the request's head below the 64 KiB limit of PROTOCOL
UPLOAD_RETENTION_S = 600.0  # an upload that receives no further piece is discarded after this
MAX_CHUNK_BYTES = 1_300  # of text per record: as JSON it stays below the smallest value limit, 2 KB
PROGRESS_BUCKETS = 1_024  # progress records per table: 20 lines in each for the largest table
MISSED_AFTER_S = 300.0  # an older instant counts as missed: an outage, or all nodes were down
POLL_INTERVAL_S = 0.25  # between checks for due lines; cron itself has a resolution of a minute
LINES_PER_SLICE = 200  # lines processed before yielding to the event loop: about 20 ms
BATCH_CHANGES = 9  # per transaction; the smallest limit that a state service may have is 10
SWEEP_INTERVAL_S = 60.0  # between searches for chunks of versions that are no longer in force
LATENESS_BUCKETS_S = (0.5, 1, 2, 5, 10, 30, 60, 120, 300, 900)  # a midnight burst takes minutes
MAX_HISTORY_ENTRIES = 200  # kept per table
MAX_NOTE_CHARS = 60  # of the note on a line's last instant
CLOCK_JUMP_S = 2.0  # larger deviations from the monotonic clock since the last reading are jumps
CLOCK_JUMP_TRUST_S = 60.0  # a jump is accepted after it has persisted for this long
MAX_SEARCH_YEARS = 50  # cronsim stops searching after this many years: the line never fires
DRY_RUN_FIRINGS = 10  # firings per line that `import --dry-run` shows
