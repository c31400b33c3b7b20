"""The operators' interface: what runs here, on a listener of its own."""
