"""A soak test: real proxies on loopback under overlapping faults, checked against the operators' rules."""
