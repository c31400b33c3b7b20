"""Binding, gangs, spread, quota: the leader of a job decides what may start."""
