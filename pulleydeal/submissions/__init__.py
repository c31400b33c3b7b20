"""The user API: submission, state and cancellation of jobs."""
