"""Constants of the operators' interface, each with its unit and reason."""

CONNECTIONS = 32  # a handful of operators and their scripts; bounds what they can hold
