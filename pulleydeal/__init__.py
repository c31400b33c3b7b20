"""pulleydeal: a cluster scheduler that assigns tasks to machines by credit."""

__version__ = "0.3.0"
