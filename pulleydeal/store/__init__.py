"""State client, batching committer, watched replica."""
