"""Check-ins, orders, tokens and leases: everything said with the machines."""
