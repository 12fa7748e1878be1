"""A fleet run: a cluster, its proxies and an event."""

from __future__ import annotations

import gc
import os
import sys
from time import monotonic, process_time
from typing import Any

from scale.fleet.clock import ORIGIN_S, create_virtual_loop
from scale.fleet.cluster import REGION_COUNT, ClusterSettings, SimulatedCluster
from scale.fleet.disruptions import Disruptions
from scale.fleet.figures import MemoryUse, collect_figures
from scale.fleet.network import RegionEndpoint
from scale.fleet.plan import FleetEvent, InvalidPlanError, Plan
from scale.fleet.proxy import ProxyOptions, SimulatedProxy, discovery_address
from scale.process_memory import resident_bytes

RESTART_DELAY_S = 0.5  # time from the stop of all proxies to their restart
FIRST_WEIGHTS_S = 1.0  # time of the first weight update
PROGRESS_INTERVAL_S = 10.0  # real time between two progress messages
MEMORY_CHECKS_AT_START = 20


class Fleet:
    """The proxies of one run, their cluster and their event loop."""

    def __init__(self, plan: Plan) -> None:
        plan.check()
        self.plan = plan
        self.loop = create_virtual_loop()
        settings = ClusterSettings(plan.grace_ms)
        self.cluster = SimulatedCluster(self.loop, plan.backends, plan.seed, settings, plan.services)
        self._disruptions = Disruptions(self.cluster)
        for region in range(REGION_COUNT):
            endpoint = RegionEndpoint(self.cluster.discovery, region)
            self.loop.listeners[discovery_address(region)] = endpoint
        self._cached_list = self.cluster.discovery.snapshot()
        self._memory = MemoryUse(resident_bytes())
        self._max_memory_bytes = plan.memory_mb * 1e6 or half_of_machine_memory()
        options = ProxyOptions(plan.seed, plan.configured_proxies, plan.pushed, plan.rate)
        self.proxies = [
            SimulatedProxy(self.cluster, number, options, frozen=number < plan.frozen)
            for number in range(plan.proxies)
        ]

    def run(self) -> dict[str, Any]:
        """Run the plan and return its figures; raise InvalidPlanError if the memory limit is exceeded."""
        plan = self.plan
        progress = ProgressReport(self.plan.seconds)
        self._start_proxies()
        self._disruptions.start_churn(plan.churn)
        if plan.weights:
            self.loop.call_later(FIRST_WEIGHTS_S, self._disruptions.renew_weights)
        for second in range(1, plan.seconds + 1):
            self.loop.run_until(ORIGIN_S + second)
            self._check_memory()
            if second == plan.started_at:
                gc.collect()
                gc.freeze()  # as the real proxy does after its start
                self._memory.started_bytes = resident_bytes()
            if second == plan.event_at:
                self._begin_event()
            progress.update(second, self._memory.max_bytes)
        gc.unfreeze()
        return collect_figures(plan, self.cluster, self.proxies, self._memory, process_time())

    def _start_proxies(self) -> None:
        """Start the proxies spread over a second of the clock."""
        check_interval = max(1, len(self.proxies) // MEMORY_CHECKS_AT_START)
        for number, proxy in enumerate(self.proxies):
            self.loop.run_until(ORIGIN_S + number / len(self.proxies))
            proxy.start(self._cached_list)
            if number % check_interval == 0:
                self._check_memory()

    def _check_memory(self) -> None:
        self._memory.max_bytes = max(self._memory.max_bytes, resident_bytes())
        if self._memory.max_bytes > self._max_memory_bytes:
            used_mb = self._memory.max_bytes / 1e6
            allowed_mb = self._max_memory_bytes / 1e6
            raise InvalidPlanError(f"memory use of {used_mb:.0f} MB exceeds the limit of {allowed_mb:.0f} MB")

    def _begin_event(self) -> None:
        plan = self.plan
        disruptions = self._disruptions
        match FleetEvent(plan.event):
            case FleetEvent.STEADY:
                pass
            case FleetEvent.RACK:
                disruptions.lose_rack()
            case FleetEvent.ZONE:
                disruptions.lose_zone(plan.event_duration_s)
            case FleetEvent.RELEASE:
                disruptions.release(plan.seconds / 3)
            case FleetEvent.SPLIT:
                disruptions.partition_regions(plan.event_duration_s)
            case FleetEvent.DOWN:
                disruptions.stop_discovery()
            case FleetEvent.RESTART:
                self._restart_proxies()

    def _restart_proxies(self) -> None:
        """Restart all proxies with a cached list that is older than discovery's history of changes."""
        for proxy in self.proxies:
            proxy.stop()
        self.cluster.drain_active(self.cluster.active_backends()[:1])
        self.cluster.discovery.clear_history()
        for proxy in self.proxies:
            self.loop.call_later(RESTART_DELAY_S, proxy.start, self._cached_list)


class ProgressReport:
    """Prints the progress of a run to standard error at intervals."""

    def __init__(self, seconds: int) -> None:
        self._seconds = seconds
        self._started_at = self._printed_at = monotonic()

    def update(self, second: int, max_memory_bytes: int) -> None:
        """Print the progress if the interval since the last message has passed."""
        now = monotonic()
        if now - self._printed_at > PROGRESS_INTERVAL_S:
            self._printed_at = now
            used = f"{now - self._started_at:.0f} s of real time, {max_memory_bytes / 1e6:.0f} MB"
            print(f"fleet: simulated {second} of {self._seconds} s in {used}", file=sys.stderr, flush=True)


def half_of_machine_memory() -> int:
    """Return half of the machine's physical memory in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2
