"""Tenant quotas, and this proxy's share of the traffic of all proxies."""

from __future__ import annotations

from dunecove.policy.settings import Settings
from dunecove.policy.smoothing import ewma

BURST_S = 1.0  # capacity of a token bucket, in seconds of quota
MIN_BURST_REQUESTS = 5.0  # minimum capacity of a token bucket: random clustering must not exceed the quota
USAGE_WEIGHT = 0.3  # weight of one second in a tenant's smoothed usage, to average out random variation
MIN_QUOTA = 0.001  # requests per second; a lower quota is raised to it, to avoid division by zero


class TenantQuotas:
    """A token bucket for each tenant. Quotas are in requests per second over all proxies."""

    def __init__(self, settings: Settings) -> None:
        quotas = settings.tenant_quotas
        self.traffic_share = 1 / settings.proxy_count
        self._quotas = quotas
        self._min_share = 1 / settings.proxy_count
        self._zone_count = settings.zone_count
        self._tokens = [quota / settings.proxy_count * BURST_S for quota in quotas]
        self._refilled_at = [0.0] * len(quotas)  # times of the last refill, in ms
        self._original_request_counts = [0] * len(quotas)  # since the last update of the traffic share
        self._usage = [0.0] * len(quotas)  # smoothed rate of original requests as a fraction of the quota

    def start(self, now: float) -> None:
        """Start refilling the buckets at `now`."""
        self._refilled_at = [now] * len(self._quotas)

    def try_consume_token(self, now: float, tenant: int) -> bool:
        """Consume a token for an arriving request or retry; return False if its tenant is over quota.

        An unknown tenant has no quota and is never over quota.
        """
        if tenant >= len(self._quotas):
            return True
        rate = self._quotas[tenant] * self.traffic_share
        tokens = self._tokens[tenant] + (now - self._refilled_at[tenant]) * rate / 1000
        tokens = min(tokens, max(rate * BURST_S, MIN_BURST_REQUESTS))
        self._refilled_at[tenant] = now
        has_token = tokens >= 1
        self._tokens[tenant] = tokens - 1 if has_token else tokens
        return has_token

    def record_original_request(self, tenant: int) -> None:
        """Count an arriving request that its client has not marked as a retry."""
        if tenant < len(self._original_request_counts):
            self._original_request_counts[tenant] += 1

    def update_traffic_share(self, seconds: float) -> None:
        """Estimate the traffic share from the original requests of the last `seconds`.

        Traffic is seldom split evenly over the proxies: with a share of 1/N, the only proxy of a zone would
        treat all tenants as over quota. The median tenant is therefore assumed to use its quota in full, and
        its usage is the estimate if it is above 1/N. With at most one tenant or one zone the share stays 1/N.
        """
        for tenant, quota in enumerate(self._quotas):
            usage = self._original_request_counts[tenant] / seconds / max(quota, MIN_QUOTA)
            self._usage[tenant] = ewma(self._usage[tenant], usage, USAGE_WEIGHT)
            self._original_request_counts[tenant] = 0
        if len(self._usage) <= 1 or self._zone_count <= 1:
            return
        median = sorted(self._usage)[(len(self._usage) - 1) // 2]
        # The share is at most that of a whole zone: in a flood even the median tenant is over quota.
        self.traffic_share = max(min(median, 1 / self._zone_count), self._min_share)
