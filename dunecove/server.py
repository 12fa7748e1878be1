"""One proxy on real sockets, from its start to its end: signals, and how it stops."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from contextlib import suppress
from typing import Any, NamedTuple

import uvloop

from dunecove.config import Config, connection_limits
from dunecove.policy.settings import Settings
from dunecove.proxy.discovery_client import DiscoveryClient
from dunecove.proxy.engine import Engine
from dunecove.proxy.gossip import GossipChannel, PeerAddresses
from dunecove.proxy.listener import Listener
from dunecove.proxy.log_writer import log
from dunecove.proxy.request_validator import RequestValidator
from dunecove.proxy.telemetry import Telemetry
from dunecove.reload import Reloader

# After SIGTERM connections still come for half a second; and a little more for a busy machine.
ACCEPT_AFTER_SIGTERM_S = 0.55
# The longest deadline that the platform counts: 0.7 s after it a stopping proxy is ended by force.
MAX_SHUTDOWN_DEADLINE_S = 3.0
GOSSIP_RETRY_S = 1.0
COUNTERS_INTERVAL_S = 60.0  # between reports; SIGUSR1 asks for one at once


class RunningProxy(NamedTuple):
    """The two sides of a proxy that serves clients."""

    engine: Engine
    listener: Listener


def start(config: Config) -> RunningProxy:
    """Wire the parts; from here on clients are served."""
    limits = connection_limits(config.max_descriptors)
    engine = Engine(config.settings, config.proxy_settings, config.seed, limits.backends)
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
    listener.listen(config.listen_address)  # before discovery is polled: this may end the program
    if not config.settings.polls_discovery:
        # A pushed list comes as far as the agent on this machine; from there it has to be read, from now on.
        engine.discovery.watch()
    return RunningProxy(engine, listener)


def _open_gossip(engine: Engine, addresses: PeerAddresses) -> None:
    """Open the channel, or retry later: clients are served without it until the address is to be had."""
    if engine.is_closed:
        return
    try:
        engine.gossip = GossipChannel(addresses, engine.on_gossip)
    except OSError as error:
        log(f"peers: {error}")
        asyncio.get_running_loop().call_later(GOSSIP_RETRY_S, _open_gossip, engine, addresses)


def run(config: Config) -> None:
    """Serve in an event loop until the program is told to end; OSError if it can't start."""
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    try:
        runner.run(serve(config))
    except OSError:
        # A loop that could not even be set up takes itself for running, and can't be closed.
        with suppress(RuntimeError):
            runner.close()
        raise
    runner.close()


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; OSError if the proxy can't start."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_bug)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    engine, listener = start(config)
    # In the same turn as the start: no client can have seen the proxy ready before.
    reloader = Reloader(engine, dict(os.environ))
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, engine.telemetry.report)
    reporting = loop.create_task(_report_counters(engine.telemetry))
    log(f"{config.name} listens on {listener.address}")
    await _freeze_startup_objects()
    await stop.wait()
    log("stopping")
    await _finish_requests(listener, config.settings)
    engine.close()
    reloader.close()
    reporting.cancel()
    engine.telemetry.report()
    # The loop's handlers go with the loop: a signal in the last moment must not end the program in its way.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
    log("stopped")


def _log_bug(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """A bug in the code of one connection ends that connection, not the program."""
    log(f"bug: {context.get('message')}: {context.get('exception')!r}")


async def _report_counters(telemetry: Telemetry) -> None:
    while True:
        await asyncio.sleep(COUNTERS_INTERVAL_S)
        telemetry.report()


async def _freeze_startup_objects() -> None:
    """Keep from the collector what stays for good: it need not walk that in the middle of a request."""
    await asyncio.sleep(0)  # the balancer's first step, which takes over the cached list
    gc.collect()
    gc.freeze()
    gc.enable()


async def _finish_requests(listener: Listener, settings: Settings) -> None:
    """Serve on for a moment, then wait until all requests are answered."""
    listener.begin_shutdown()
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
    max_deadline_s = max(request_class.deadline_ms for request_class in settings.classes) / 1000
    await listener.finish_shutdown(min(max_deadline_s, MAX_SHUTDOWN_DEADLINE_S))
