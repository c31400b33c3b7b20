"""The user API: submissions, their state, cancellation."""
