"""A fleet in one process: real decisions and list code over hollow sockets, on a virtual clock."""
