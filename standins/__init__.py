"""Stand-ins for the outside systems, written from the protocol, and a network for them.

They serve the tests (under a virtual clock, with late and lost messages) and the README's
five-minute start (on real sockets). Nothing of the service imports them.
"""
