"""Facts of many jobs in one change of the state service (docs/journal.md)."""
