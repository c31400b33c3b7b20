"""Constants of the operators' interface, each with its unit and reason."""

CONNECTIONS = 32  # enough for a few operators and scripts; bounds the sockets they can hold
