"""The decisions of a proxy: events in, actions out, without sockets or a clock of its own.

`balancer` passes each event to the modules that are responsible for it and collects their actions:

- admission and load shedding: `admission`, `tenant_quotas`, `client_retries`;
- queues and their timeouts: `request_queue`, `overload_detector`, `queue_timeouts`;
- dispatch and limits: `dispatcher`, `bandit`, `concurrency_limit`, `in_flight_limit`;
- retries: `retry_policy`, `pinned_retries`; the rules for every attempt: `request_rules`;
- learning from outcomes: `feedback`, `latency_tracker`, `outlier_detection`;
- the endpoint list and subsets: `discovery_polling`, `list_updates`, `subsetting`, `unsubscribed_backends`;
- slow start of cold backends: `slow_start`, `slow_start_budget`.

Types: `events`, `actions`, `models`, `settings`, `backend`, `request`.
"""
