"""Injection of the faults of a run."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from soak.backends import BehaviourOverride
from soak.clients import Clients
from soak.environment import Environment
from soak.faults import Fault, FaultKind, draw_process_environment
from soak.proxies import ProxyProcess

RESTART_DELAY_S = (0.05, 0.5)  # from the exit of a process to the start of the next
RELOAD_PAUSE_S = (0.0, 0.4)  # after a reload
AGENT_CLOSE_DELAY_S = 1.5  # from SIGHUP until the old agent closes its connections
PAUSE_S = (0.02, 0.15)  # between SIGSTOP and SIGCONT
PAUSE_INTERVAL_S = (0.1, 1.0)  # from SIGCONT to the next SIGSTOP
FLOOD_CONNECTIONS = 70  # per proxy
MIN_BACKENDS = 6  # minimum number of backends that drains leave in service
OVERRIDE_SHARE = (0.3, 1.0)  # fraction of a faulty backend's requests


class FaultInjector:
    """Injects faults at their scheduled times, each in its own task."""

    def __init__(self, environment: Environment, clients: Clients) -> None:
        self._environment = environment
        self._clients = clients
        self._random = environment.random
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def schedule(self, faults: list[Fault]) -> None:
        """Schedule the faults, with times counted from now."""
        started_at = self._loop.time()
        for fault in faults:
            self._spawn(self._inject_at(fault, started_at + fault.at_s))

    async def wait(self) -> None:
        """Wait until all faults are over."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inject_at(self, fault: Fault, time: float) -> None:
        await asyncio.sleep(max(time - self._loop.time(), 0.0))
        proxies = self._environment.proxies
        chosen = self._random.sample(proxies, max(1, int(fault.share * len(proxies))))
        proxy_action = self._proxy_action(fault)
        if proxy_action is None:
            await self._inject_environment_fault(fault)
            return
        for proxy in chosen:
            self._spawn(proxy_action(proxy))

    def _proxy_action(self, fault: Fault) -> Callable[[ProxyProcess], Coroutine[Any, Any, None]] | None:
        """Return the action of a fault on each chosen proxy, or None if the fault doesn't act on proxies."""
        match fault.kind:
            case FaultKind.TERMINATE:
                return lambda proxy: self._restart(proxy, signal.SIGTERM)
            case FaultKind.KILL:
                return lambda proxy: self._restart(proxy, signal.SIGKILL)
            case FaultKind.RELOAD:
                return lambda proxy: self._reload(proxy, times=self._random.randint(1, 2))
            case FaultKind.PAUSE:
                return lambda proxy: self._pause(proxy, fault.duration_s)
            case FaultKind.CONNECTION_FLOOD:
                return lambda proxy: self._clients.flood_connections(proxy, FLOOD_CONNECTIONS)
            case _:
                return None

    async def _inject_environment_fault(self, fault: Fault) -> None:
        environment = self._environment
        match fault.kind:
            case FaultKind.DISCOVERY_DOWN:
                environment.discovery.suspend()
                await asyncio.sleep(fault.duration_s)
                environment.discovery.resume()
            case FaultKind.UNRESPONSIVE_WATCHES:
                for agent in environment.agents.values():
                    agent.abandon_watches()
            case FaultKind.CLOSE_IDLE:
                for backend in environment.backends.values():
                    backend.close_idle_connections()
            case FaultKind.FAULTY_BACKENDS:
                await self._override_behaviour(fault)
            case _:
                await self._change_backends(fault)

    async def _restart(self, proxy: ProxyProcess, signal_number: signal.Signals) -> None:
        if not proxy.is_up():
            return
        proxy.send_signal(signal_number)
        await proxy.wait_for_exit()
        await asyncio.sleep(self._random.uniform(*RESTART_DELAY_S))
        # A separate generator keeps the draw reproducible: the shared one depends on the order of events.
        plan = self._environment.plan
        random = Random(f"{plan.seed} {proxy.number} {proxy.incarnation_count}")
        library = self._environment.fault_library
        await proxy.start(draw_process_environment(random, library, plan.faulty_process_share))

    async def _reload(self, proxy: ProxyProcess, times: int) -> None:
        """Move a proxy to a new discovery agent by SIGHUP; the old agent stops listening and closes later."""
        for _ in range(times):
            if not proxy.is_up():
                return
            old_agent = self._environment.agents[proxy.number]
            await self._environment.replace_agent(proxy.number)
            proxy.write_configuration()
            proxy.send_signal(signal.SIGHUP)
            relocations = self._environment.record.relocated_at.setdefault(proxy.number, [])
            relocations.append(self._loop.time())
            old_agent.stop_listening()
            self._loop.call_later(AGENT_CLOSE_DELAY_S, old_agent.close)
            await asyncio.sleep(self._random.uniform(*RELOAD_PAUSE_S))

    async def _pause(self, proxy: ProxyProcess, duration_s: float) -> None:
        end = self._loop.time() + duration_s
        while self._loop.time() < end:
            proxy.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            proxy.send_signal(signal.SIGCONT)
            await asyncio.sleep(self._random.uniform(*PAUSE_INTERVAL_S))

    async def _override_behaviour(self, fault: Fault) -> None:
        backends = list(self._environment.backends.values())
        chosen = self._random.sample(backends, max(1, int(fault.share * len(backends))))
        override = BehaviourOverride(fault.behaviour, self._random.uniform(*OVERRIDE_SHARE))
        for backend in chosen:
            backend.overrides.append(override)
        await asyncio.sleep(fault.duration_s)
        for backend in chosen:
            backend.overrides.remove(override)

    async def _change_backends(self, fault: Fault) -> None:
        backends = self._environment.backends
        count = max(1, int(fault.share * len(backends)))
        if fault.kind in (FaultKind.JOIN, FaultKind.REPLACE):
            for _ in range(count):
                await self._environment.add_backend(is_cold=True)
        if fault.kind in (FaultKind.DRAIN, FaultKind.REPLACE):
            max_drained = max(len(backends) - MIN_BACKENDS, 0)
            for backend_id in self._random.sample(sorted(backends), min(count, max_drained)):
                self._spawn(self._environment.drain_backend(backends.pop(backend_id)))
