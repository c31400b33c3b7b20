"""Constants of recurring jobs, each with its unit and reason."""

FORMAT = 1  # of the records; tzdata's version is shown with it, see `service.shown_format`
MOST_LINES = 20_000  # of one table: two large offices' crontabs together, ten times over
MOST_TABLE_B = 4_000_000  # of one table's text; 20,000 lines of 200 B
MOST_LINE_B = 1_000  # of one line, as cron's own MAX_COMMAND; a line must fit into a value
UPLOAD_B = 48_000  # of one piece of an upload; below PROTOCOL's 64 KiB with its head
UPLOAD_KEPT_S = 600.0  # an upload that nobody ends is forgotten after this
PART_B = 1_300  # of text in one record: as JSON it stays below the smallest value, 2 KB
BUCKETS = 1_024  # records of marks per table: 20 lines in each of the largest
LATE_S = 300.0  # an instant older than this was missed: an outage, or all nodes down
TICK_S = 0.25  # how often due lines are looked for; cron's own grain is a minute
SLICE = 200  # lines read or planned before others have their turn: some 20 ms
BATCH_CHANGES = 9  # in one transaction of firings: 10 changes are the fewest allowed
SWEEP_S = 60.0  # between two looks for pieces that no version in force needs
LATENESS_S = (0.5, 1, 2, 5, 10, 30, 60, 120, 300, 900)  # a herd at midnight takes minutes
KEPT_ENTRIES = 200  # of a table's history
NOTE_CHARS = 60  # of what a mark says of its line's last firing
JUMP_S = 2.0  # the time of day may differ so much from the steady clock since the last look
JUMP_TRUST_S = 60.0  # one that jumped further is believed after it stood for this long
NEVER_YEARS = 50  # cronsim gives up after so many years: the line never fires
TEN = 10  # firings that `import --dry-run` shows of a line
