"""The edge: the names of settings and of the simulator's wire, mapped to the code's own terms and checked."""
