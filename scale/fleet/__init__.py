"""A fleet in one process: real decisions and list code over simulated sockets, on a virtual clock."""
