"""A fleet in one process: the real balancer and discovery client on simulated sockets and a virtual clock."""
