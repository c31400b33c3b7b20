"""Measurements and randomized fault runs beside the benchmark: `python3 -m experiments NAME`."""
