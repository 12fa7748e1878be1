"""The decisions of a proxy, without sockets and with no clock but the events'.

`balancer` passes each event to the owners of the rules and collects the actions:

- which arrivals are shed: `admission`, `tenant_quotas`, `client_retries`;
- what waits, and for how long: `request_queue`, `overload_detector`, `queue_timeouts`;
- what is sent next, and where: `dispatcher`, `bandit`, `concurrency_limit`, `in_flight_limit`;
- what is sent again: `retry_policy`, `pinned_retries`; what may be sent at all: `request_rules`;
- what outcomes teach: `feedback`, `latency_tracker`, `outlier_detection`;
- which backends there are: `discovery_polling`, `list_updates`, `subsetting`, `unsubscribed_backends`;
- how a backend warms up: `slow_start`, `slow_start_budget`.

Values: `events`, `actions`, `models`, `settings`, `backend`, `request`.
"""
