"""Communication with worker machines: check-ins, orders, fencing tokens and leases."""
