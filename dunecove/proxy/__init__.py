"""The network side of the proxy: executes the actions of the balancer on sockets."""
