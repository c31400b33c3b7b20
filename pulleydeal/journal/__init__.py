"""Writes task facts of many jobs in one state service transaction (docs/journal.md)."""
