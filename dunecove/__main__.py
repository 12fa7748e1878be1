"""One proxy on real sockets: reads its configuration, wires the parts, obeys SIGHUP and SIGTERM."""

from __future__ import annotations

import asyncio
import errno
import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from math import inf
from typing import Any, TypeVar

import orjson
import uvloop

from dunecove.errors import ConfigurationError, InvalidFieldError, MalformedInputError, UnreadableFileError
from dunecove.policy.settings import Settings
from dunecove.proxy.connection_pool import OWN_LACK
from dunecove.proxy.discovery_client import Discovery, Saved, check_ip, read_saved
from dunecove.proxy.engine import Engine
from dunecove.proxy.gossip import Peers, Tier
from dunecove.proxy.http1 import split_address
from dunecove.proxy.incremental_json import in_pieces, read, without
from dunecove.proxy.listener import Frontend
from dunecove.proxy.request_parser import Reader
from dunecove.proxy.telemetry import Telemetry, log, take_library_logs
from dunecove.wire.fields import (
    JsonObject,
    as_array,
    as_integer,
    as_number,
    as_object,
    as_string,
    default_if_none,
)
from dunecove.wire.settings import ProxySettings, read_proxy_settings, read_settings

ACCEPT_ON_S = 0.55  # s after SIGTERM in which connections still come, and a little more for a busy machine
# s, the longest deadline that the platform counts: 0.7 s after it a stopping proxy is ended by force.
LONGEST_S = 3.0
SPARE_SOCKETS = 40  # descriptors for the program itself, discovery, and those that are just closing
# With few descriptors a quarter of them, but no fewer than these: a running program has 16 of its own, peers
# and discovery among them, and one more for each connection that is accepted or opened as another closes.
LEAST_SPARE = 24
# What a call may lack for a moment, as Linux documents it. At the start it is made again for so long, well
# within the time in which a proxy has to be ready.
MOMENTARY = OWN_LACK | {errno.EAGAIN, errno.EINTR, errno.EIO}
START_PATIENCE_S = 5.0
START_RETRY_S = 0.05
PEERS_RETRY_S = 1.0
# s after which a reload that failed is made again: a move has to take effect within 4 s.
RELOAD_RETRY_S = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
REPORT_S = 60.0  # s between reports of the counters; SIGUSR1 asks for one at once
LEAST_SOCKETS = 32  # with fewer hardly anybody could be served
# Of the other descriptors: clients hold a third of all for requests at most, each in flight once or waiting
# here, and beside them there are kept and silent ones.
BACKEND_PART = 0.42


def read_tier(raw: JsonObject) -> Tier | None:
    """Where the other proxies are, if the platform says so."""
    if not raw.get("peers"):
        return None
    addresses = tuple(as_string(address, "peers") for address in as_array(raw["peers"], "peers"))
    tier = Tier(
        as_string(raw["peer_listen"], "peer_listen"), addresses, as_string(raw["peers_all"], "peers_all")
    )
    for address in (tier.listen, tier.everyone, *tier.peers):
        check_ip(split_address(address)[0])
    return tier


class Config:
    """What the platform tells the proxy, checked; ConfigurationError says what is wrong with it."""

    def __init__(self, env: dict[str, str], again: bool = False) -> None:
        """Read `again`, a long saved list is of no use any more and passed over."""
        path = env.get("LB_CONFIG")
        if not path:
            raise ConfigurationError("LB_CONFIG is not set")
        try:
            outline, is_long = without(in_pieces(read(path), "known"))
            raw = as_object(outline, "configuration")
        except OSError as error:
            raise UnreadableFileError(path, error) from None
        except orjson.JSONDecodeError as error:
            raise ConfigurationError(f"{path}: not JSON: {error}") from None
        except InvalidFieldError as error:
            raise ConfigurationError(f"{path}: {error}") from None
        try:
            info = as_object(raw["settings"], "settings")
            # The limit tells what the simulator's clients are given; HTTP has Retry-After for all of them.
            self.settings: Settings = replace(read_settings(info), sends_retry_after=True)
            self.wire: ProxySettings = read_proxy_settings(info)
            ahead = in_pieces(read(path), "known") if is_long and not again else ()
            self.known: Saved = read_saved(raw["known"], self.wire, ahead)
            self.name = env.get("LB_NAME") or as_string(raw["name"], "name")
            self.listen = env.get("LB_LISTEN") or as_string(raw["listen"], "listen")
            self.discovery = env.get("LB_DISCOVERY") or as_string(raw["discovery"], "discovery")
            self.seed = int(as_string(raw["seed"], "seed"), 16)
            limits: dict[str, Any] = as_object(raw.get("limits") or {}, "limits")
            self.sockets = as_integer(default_if_none(limits, "sockets", 1024), "sockets")
            self.sockets = min(self.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
            if self.sockets < LEAST_SOCKETS:
                raise InvalidFieldError(f"sockets: {self.sockets} are too few, {LEAST_SOCKETS} are needed")
            self.memory_mb = as_number(default_if_none(limits, "memory_mb", 192), "memory_mb")
            if not 0 < self.memory_mb < inf:
                raise InvalidFieldError(f"memory_mb must be above 0 and finite: {self.memory_mb}")
            self.tier = read_tier(raw) if self.settings.may_gossip else None
            split_address(self.discovery)
            check_ip(split_address(self.listen)[0])
        except KeyError as error:
            raise ConfigurationError(f"{path}: {error.args[0]} is missing") from None
        except (MalformedInputError, ValueError) as error:
            raise ConfigurationError(f"{path}: {error}") from None


def places(sockets: int) -> tuple[int, int]:
    """How many connections clients may have, and how many may lead to backends."""
    sockets -= max(min(SPARE_SOCKETS, sockets // 4), LEAST_SPARE)
    to_backends = int(sockets * BACKEND_PART)
    return sockets - to_backends, to_backends


def start(config: Config) -> tuple[Engine, Frontend]:
    """Wire the parts; from here on clients are served."""
    of_clients, to_backends = places(config.sockets)
    engine = Engine(config.settings, config.wire, config.seed, to_backends)
    engine.take_saved(config.known)
    engine.discovery = Discovery(
        config.discovery,
        config.wire,
        config.known.rev,
        engine.on_list,
        engine.on_list_failure,
        pushed=not config.settings.polls_discovery,
        memory_mb=config.memory_mb,
        held=engine.backends.targets,
    )
    if config.tier is not None:
        open_peers(engine, config.tier)
    frontend = Frontend(engine, Reader(config.settings, config.wire), of_clients)
    frontend.listen(config.listen)  # before anything is asked: without the address the program ends here
    if not config.settings.polls_discovery:
        # A pushed list comes as far as the agent on this machine; from there it has to be read, from now on.
        engine.discovery.watch()
    return engine, frontend


def open_peers(engine: Engine, tier: Tier) -> None:
    """What peers would say is of help, but clients are served without it until the address is to be had."""
    if engine.discovery is None:  # closed
        return
    try:
        engine.peers = Peers(tier, engine.on_peer)
    except OSError as error:
        log(f"peers: {error}")
        asyncio.get_running_loop().call_later(PEERS_RETRY_S, open_peers, engine, tier)


class Reloader:
    """SIGHUP: the file has been replaced. Only where the list comes from may change while the proxy runs, and
    there the file counts, since the environment can't change."""

    def __init__(self, engine: Engine, environment: dict[str, str]) -> None:
        self.engine = engine
        self.environment = {name: value for name, value in environment.items() if name != "LB_DISCOVERY"}
        self.again: asyncio.TimerHandle | None = None

    def __call__(self) -> None:
        self.close()
        self._read(0)

    def _read(self, failures: int) -> None:
        """A file that can't be read now may be readable soon, and nobody sends another signal for it."""
        try:
            config = Config(self.environment, True)
        except ConfigurationError as error:
            self.engine.telemetry.count("reload.failed")
            if not failures:
                log(f"reload: {error}; going on as before")
            if failures < len(RELOAD_RETRY_S):
                loop = asyncio.get_running_loop()
                self.again = loop.call_later(RELOAD_RETRY_S[failures], self._read, failures + 1)
            return
        self.engine.telemetry.count("reload.read")
        self.engine.move_list(config.discovery)

    def close(self) -> None:
        if self.again is not None:
            self.again.cancel()


async def report_on(telemetry: Telemetry) -> None:
    while True:
        await asyncio.sleep(REPORT_S)
        telemetry.report()


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    # A bug in the code of one connection ends that connection, not the program.
    loop.set_exception_handler(
        lambda _, context: log(f"bug: {context.get('message')}: {context.get('exception')!r}")
    )
    stop = asyncio.Event()
    for ends in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(ends, stop.set)
    engine, frontend = start(config)
    # In the same turn as the start: no client can have seen the proxy ready before.
    reload = Reloader(engine, dict(os.environ))
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, engine.telemetry.report)
    reporting = loop.create_task(report_on(engine.telemetry))
    log(f"{config.name} listens on {frontend.address}")
    # What start-up made stays for good, and so does what the module's first step makes of the saved list: the
    # collector need not walk it in the middle of a request.
    await asyncio.sleep(0)
    gc.collect()
    gc.freeze()
    gc.enable()
    await stop.wait()
    log("stopping")
    frontend.stop_keeping()
    await asyncio.sleep(ACCEPT_ON_S)
    await frontend.finish(min(max(c.deadline_ms for c in config.settings.classes) / 1000, LONGEST_S))
    engine.close()
    reload.close()
    reporting.cancel()
    engine.telemetry.report()
    # The loop's handlers go with the loop: a signal in the last moment must not end the program in its way.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
    log("stopped")


def run_loop(config: Config) -> None:
    """Serve until the program is told to end."""
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    try:
        runner.run(serve(config))
    except OSError:
        # A loop that could not even be set up takes itself for running, and can't be closed.
        with suppress(RuntimeError):
            runner.close()
        raise
    runner.close()


T = TypeVar("T")


def patiently(begin: Callable[[], T], until: float) -> T:
    """What `begin` returns; it is begun anew while it lacks something for a moment, up to `until`."""
    while True:
        try:
            return begin()
        except (OSError, UnreadableFileError) as error:
            if error.errno not in MOMENTARY or time.monotonic() >= until:
                raise
        time.sleep(START_RETRY_S)


def main() -> int:
    for early in (signal.SIGHUP, signal.SIGUSR1):  # until the loop has its handlers: the file is read below
        signal.signal(early, signal.SIG_IGN)
    gc.disable()  # until all is made: next to nothing of it is to be thrown away
    take_library_logs()
    until = time.monotonic() + START_PATIENCE_S
    try:
        config = patiently(lambda: Config(dict(os.environ)), until)
        patiently(lambda: run_loop(config), until)
    except (
        ConfigurationError,
        OSError,
    ) as error:  # the configuration is bad, or the address is not to be had
        log(str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
