"""The decisions, without sockets and with no clock but the events'."""
