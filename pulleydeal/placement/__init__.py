"""Placement of tasks: a job's leader requests credit and decides which tasks may be bound."""
