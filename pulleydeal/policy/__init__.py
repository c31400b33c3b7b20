"""Operator-defined policy: statically checked expressions, never executable code."""
