"""The operators' HTTP interface, on its own listener."""
