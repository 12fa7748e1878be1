"""A soak test: real proxy processes on loopback, overlapping faults, judged by the operators' rules."""
