"""The environment of a soak run: proxies, backends, discovery and the gossip relay."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from soak.backends import Backend
from soak.configuration import (
    COLD_S,
    DRAIN_GRACE_S,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW_S,
    REQUEST_CLASSES,
    SOCKET_LIMITS,
    START_CAPACITY,
    list_entry,
    proxy_settings,
)
from soak.discovery import DiscoveryAgent, DiscoveryState
from soak.gossip_relay import GossipRelay
from soak.loopback import free_address
from soak.proxies import ProxyProcess, build_fault_library
from soak.records import ColdStartLimits, RunRecord

SERVICE_S = 0.03  # mean service time of a request
CELL_COUNT = 4
DRAIN_STAGE_S = 3.5  # from a drain to the removal from the list, and from the removal to the kill


@dataclass(frozen=True)
class Plan:
    """The parameters of one run."""

    seed: int
    proxies: int = 24
    backends: int = 14
    seconds: float = 20.0  # duration of the load
    rate: float = 6.0  # requests per second and proxy
    fault_count: int = 12
    faulty_process_share: float = 0.4  # fraction of restarted processes with system call faults
    system_call_faults: bool = True


class Environment:
    """The backends, discovery and proxies of one run.

    Call `open` before use.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.random = Random(plan.seed)
        self.record = RunRecord(
            REQUEST_CLASSES,
            DRAIN_GRACE_S,
            ColdStartLimits(
                cold_s=COLD_S,
                start_capacity=START_CAPACITY,
                overload_multiple=OVERLOAD_MULTIPLE,
                overload_window_s=OVERLOAD_WINDOW_S,
                warm_rate=plan.rate * plan.proxies / plan.backends,
            ),
        )
        self.discovery = DiscoveryState(self.record)
        self.backends: dict[str, Backend] = {}
        self.proxies: list[ProxyProcess] = []
        self.agents: dict[int, DiscoveryAgent] = {}  # by proxy
        self.fault_library: str | None = None
        self._folder = folder
        self._uses_push_discovery = self.random.random() < 0.5
        self._gossip_addresses: list[str] = []
        self._gossip_relay = GossipRelay()
        self._loop = asyncio.get_running_loop()

    async def open(self) -> None:
        """Start everything; return when each proxy is ready or has exited."""
        if self.plan.system_call_faults:
            library = build_fault_library(self._folder)
            self.fault_library = str(library) if library is not None else None
        for _ in range(self.plan.backends):
            await self.add_backend(is_cold=False)
        for number in range(self.plan.proxies):
            self._gossip_addresses.append(free_address(socket.SOCK_DGRAM))
            await self.replace_agent(number)
            self.proxies.append(ProxyProcess(number, self._folder, self.record, self._configuration))
        await self._gossip_relay.open(self._gossip_addresses)
        await asyncio.gather(*(proxy.start({}) for proxy in self.proxies))

    async def add_backend(self, is_cold: bool) -> None:
        """Start a backend and publish it in the endpoint list."""
        backend_id = f"s-{self.random.getrandbits(32):08x}"
        cell = self.random.randrange(CELL_COUNT)
        backend = await Backend(backend_id, cell, self.record, self.random, SERVICE_S).open()
        self.backends[backend_id] = backend
        if is_cold:
            backend.boot_ms = int(time.time() * 1000)
            self.record.cold_started_at[backend_id] = self._loop.time()
        self.discovery.publish(list_entry(backend, "active"))

    async def drain_backend(self, backend: Backend) -> None:
        """Publish the drain of a backend, then its removal, then kill it."""
        self.discovery.publish(list_entry(backend, "leaving"))
        await asyncio.sleep(DRAIN_STAGE_S)
        self.discovery.publish(list_entry(backend, "left"))
        await asyncio.sleep(DRAIN_STAGE_S)
        backend.kill()

    async def replace_agent(self, proxy: int) -> None:
        """Start a new discovery agent for a proxy, at a new address."""
        self.agents[proxy] = await DiscoveryAgent(self.discovery, proxy).open()

    def _configuration(self, number: int) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": self.proxies[number].address,
            "discovery": self.agents[number].address,
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": 192,
                "sockets": SOCKET_LIMITS[number % len(SOCKET_LIMITS)],
            },
            "peer_listen": self._gossip_addresses[number],
            "peers": self._gossip_addresses,
            "peers_all": self._gossip_relay.address,
            "known": self.discovery.endpoint_list(None),
            "settings": proxy_settings(number, self.plan.proxies, self._uses_push_discovery),
        }

    async def stop_proxies(self) -> None:
        """Send SIGTERM to all proxies, wait for their exit, and close the gossip relay."""
        for proxy in self.proxies:
            proxy.send_signal(signal.SIGTERM)
        await asyncio.gather(*(proxy.wait_for_exit() for proxy in self.proxies))
        self._gossip_relay.close()

    def kill_proxies(self) -> None:
        """Kill the proxies that are still running."""
        for proxy in self.proxies:
            proxy.send_signal(signal.SIGKILL)
