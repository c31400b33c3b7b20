"""pulleydeal: a cluster scheduler in which tasks are dealt to machines by credit."""

__version__ = "0.3.0"
