"""The proxy on real sockets: executes what the balancer decides."""
