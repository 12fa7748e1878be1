"""Tenants' quotas, and the share of the deployment's traffic that comes to this proxy."""

from __future__ import annotations

from dunecove.policy.settings import Settings
from dunecove.policy.smoothing import ewma

BURST_S = 1.0  # of quota that a tenant may use at once before it counts as over quota
MIN_BURST_REQUESTS = 5.0  # least requests of such a burst: chance must not look like excess
USAGE_WEIGHT = 0.3  # of one second in a tenant's usage: some seconds even out chance
MIN_QUOTA = 0.001  # requests a second, for usage as a part of it


class TenantQuotas:
    """A token bucket for each tenant. Quotas are requests a second over all proxies together."""

    def __init__(self, settings: Settings) -> None:
        quotas = settings.tenant_quotas
        self.traffic_share = 1 / settings.proxy_count
        self._quotas = quotas
        self._min_share = 1 / settings.proxy_count
        self._zone_count = settings.zone_count
        self._tokens = [quota / settings.proxy_count * BURST_S for quota in quotas]
        self._refilled_at = [0.0] * len(quotas)  # ms
        self._original_request_counts = [0] * len(quotas)  # in this second
        self._usage = [0.0] * len(quotas)  # smoothed rate of first tries over the quota

    def start(self, now: float) -> None:
        """Begin to fill the buckets."""
        self._refilled_at = [now] * len(self._quotas)

    def try_consume_token(self, now: float, tenant: int) -> bool:
        """Take a token for an arrival of a tenant, for retries too; return False if it is over quota.

        An unknown tenant has no quota.
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
        """Count an arrival that its client doesn't mark as a retry."""
        if tenant < len(self._original_request_counts):
            self._original_request_counts[tenant] += 1

    def update_traffic_share(self, seconds: float) -> None:
        """Estimate the traffic share from what came in the last seconds.

        Traffic is seldom split evenly: a proxy alone in its zone would take all tenants for over quota. So
        the median tenant is taken to keep its quota, if that makes the share more than one in N.
        """
        for tenant, quota in enumerate(self._quotas):
            usage = self._original_request_counts[tenant] / seconds / max(quota, MIN_QUOTA)
            self._usage[tenant] = ewma(self._usage[tenant], usage, USAGE_WEIGHT)
            self._original_request_counts[tenant] = 0
        if len(self._usage) <= 1 or self._zone_count <= 1:
            return
        median = sorted(self._usage)[(len(self._usage) - 1) // 2]
        # No more than a whole zone's: in a flood all are over quota, the median tenant too.
        self.traffic_share = max(min(median, 1 / self._zone_count), self._min_share)
