"""Simulated external systems, written from the protocol, and a simulated network.

They are used by the tests (on a virtual clock, with late and lost messages) and by the demo and
the experiments (on real sockets). The package `pulleydeal` does not import them.
"""
