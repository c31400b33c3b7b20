"""State service access: client, in-memory replica and batched commits."""
