"""Recurring jobs: cron tables and the engine that fires them, to be shared with calendars later."""
