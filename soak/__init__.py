"""A soak test: real proxy processes on loopback, overlapping troubles, judged by the operators' rules."""
