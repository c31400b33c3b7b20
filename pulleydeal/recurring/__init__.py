"""Jobs that come again: cron tables now, calendars beside them next; one engine fires both."""
