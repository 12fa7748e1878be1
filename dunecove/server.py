"""The proxy process on real sockets: startup, signal handling and graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from contextlib import suppress
from typing import Any, NamedTuple

import uvloop

from dunecove.config import Config
from dunecove.limits import connection_limits, memory_limits
from dunecove.policy.settings import Settings
from dunecove.proxy.discovery_client import DiscoveryClient
from dunecove.proxy.engine import Engine
from dunecove.proxy.gossip import GossipChannel, PeerAddresses
from dunecove.proxy.listener import Listener
from dunecove.proxy.log_writer import log
from dunecove.proxy.memory_budget import ContentBudgets, MemoryBudget
from dunecove.proxy.request_validator import RequestValidator
from dunecove.proxy.telemetry import Telemetry
from dunecove.reload import Reloader

# New connections still arrive for 0.5 s after SIGTERM; the rest is a margin for a busy machine.
ACCEPT_AFTER_SIGTERM_S = 0.55
# The platform kills the proxy 0.7 s after the longest class deadline (at most 3 s), counted from SIGTERM. The
# 0.7 s include `ACCEPT_AFTER_SIGTERM_S`, which precedes this timeout, and the time for the last responses.
MAX_SHUTDOWN_DEADLINE_S = 3.0
GOSSIP_RETRY_S = 1.0
COUNTERS_INTERVAL_S = 60.0  # between reports; SIGUSR1 triggers one immediately


class RunningProxy(NamedTuple):
    """The engine and the listener of a proxy that serves clients."""

    engine: Engine
    listener: Listener


def start(config: Config) -> RunningProxy:
    """Create and connect the components, and start to serve clients."""
    limits = connection_limits(config.max_descriptors, config.memory_mb)
    memory = memory_limits(config.memory_mb, limits)
    budgets = ContentBudgets(MemoryBudget(memory.requests), MemoryBudget(memory.responses))
    engine = Engine(
        config.settings, config.proxy_settings, config.seed, limits.backends, budgets, memory.executed_ids
    )
    engine.load_cached_list(config.cached_list)
    engine.discovery = DiscoveryClient(
        config.discovery_address,
        config.proxy_settings,
        config.cached_list.revision,
        engine.on_list_update,
        engine.on_list_failure,
        pushed=not config.settings.polls_discovery,
        memory_mb=config.memory_mb,
        endpoints=engine.connection_pool.endpoints,  # after load_cached_list, which replaces the table
    )
    if config.peer_addresses is not None:
        _open_gossip(engine, config.peer_addresses)
    listener = Listener(engine, RequestValidator(config.settings, config.proxy_settings), limits.clients)
    # Before discovery is polled: if the address is unavailable, the process ends.
    listener.listen(config.listen_address)
    if not config.settings.polls_discovery:
        # A pushed list only reaches the discovery agent on this machine; the proxy must read it from there.
        engine.discovery.watch()
    return RunningProxy(engine, listener)


def _open_gossip(engine: Engine, addresses: PeerAddresses) -> None:
    """Open the gossip channel, or retry later if its address is unavailable; clients are served meanwhile."""
    if engine.is_closed:
        return
    try:
        engine.gossip = GossipChannel(addresses, engine.on_gossip)
    except OSError as error:
        log(f"opening the gossip channel failed: {error}; serving without gossip and retrying")
        asyncio.get_running_loop().call_later(GOSSIP_RETRY_S, _open_gossip, engine, addresses)


def run(config: Config) -> None:
    """Run the proxy in a new event loop until it is stopped; raise OSError if it can't start."""
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    try:
        runner.run(serve(config))
    except OSError:
        # An event loop whose setup failed considers itself running and can't be closed.
        with suppress(RuntimeError):
            runner.close()
        raise
    runner.close()


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; raise OSError if the proxy can't start."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_internal_error)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    engine, listener = start(config)
    # In the same loop iteration as `start`, so that signals are handled before any client sees a ready proxy.
    reloader = Reloader(engine, dict(os.environ))
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, engine.telemetry.report)
    report_task = loop.create_task(_report_counters(engine.telemetry))
    log(f"{config.name} listens on {listener.address}")
    await _freeze_startup_objects()
    await stop.wait()
    log("stopping: waiting for open requests to finish")
    await _finish_requests(listener, config.settings)
    engine.close()
    reloader.close()
    report_task.cancel()
    engine.telemetry.report()
    # Closing the loop removes its signal handlers; a later SIGHUP, SIGTERM or SIGINT must not kill the
    # process before it exits. SIGUSR1 is not blocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
    log("stopped")


def _log_internal_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an unexpected exception.

    It ends the connection if a method of its protocol raised it, but never the process.
    """
    log(f"internal error in the event loop: {context.get('message')}: {context.get('exception')!r}")


async def _report_counters(telemetry: Telemetry) -> None:
    while True:
        await asyncio.sleep(COUNTERS_INTERVAL_S)
        telemetry.report()


async def _freeze_startup_objects() -> None:
    """Exclude long-lived objects from garbage collection: traversing them would delay requests."""
    await asyncio.sleep(0)  # runs the balancer's first step, which loads the first slice of the cached list
    gc.collect()
    gc.freeze()
    gc.enable()


async def _finish_requests(listener: Listener, settings: Settings) -> None:
    """Accept connections for `ACCEPT_AFTER_SIGTERM_S`, then wait until all requests are answered."""
    listener.begin_shutdown()
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
    max_deadline_s = max(request_class.deadline_ms for request_class in settings.classes) / 1000
    await listener.finish_shutdown(min(max_deadline_s, MAX_SHUTDOWN_DEADLINE_S))
