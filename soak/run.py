"""One run: a world on loopback, proxies before it, troubles in it, and the judge's word."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from dunecove.policy.models import Idempotency
from soak.backends import Backend, Mix
from soak.clients import Clients, Habits
from soak.discovery import ProxyAgent, Registry
from soak.judge import Breach, judge
from soak.proxies import ProxyProcess, build_shim, free_address
from soak.records import Journal, Lane
from soak.troubles import Kind, Trouble, draw_environment, draw_troubles

LANES = (
    Lane("ficha", Idempotency.IDEMPOTENT, 0.4, 1.2),
    Lane("cargo", Idempotency.NON_IDEMPOTENT, 0.6, 1.6),
    Lane("cuota", Idempotency.KEYED, 0.8, 2.0, 1.0),
)
EFFECTS = {
    Idempotency.IDEMPOTENT: "read_like",
    Idempotency.NON_IDEMPOTENT: "non_idempotent",
    Idempotency.KEYED: "idempotency_key",
}
DRAIN_GRACE_S = 2.5
COLD_S, START_PART, FALL_MULTIPLE, FALL_S = 6.0, 0.16, 3.0, 1.0
CONNECT_TIMEOUT_MS, CONN_IDLE_MS = 250, 4000
WORK_S = 0.03
CELLS = 4
LEFT_AFTER_S = 3.5  # from the begin of a drain until that backend has left
OLD_SERVICE_S = 1.5  # for which the old discovery keeps its connections after SIGHUP
SETTLE_S = 3.5  # after the last request, until each has had its answer
LEAST_BACKENDS = 6
HOLD_S = 0.15
CROWD = 70
SOCKETS = (96, 512)  # descriptors that a proxy may have
LAG_LOOK_S = 0.02
CALM_S = 1.0  # from the readiness of all proxies to the first request
TERM_SLACK_S = 6.0  # until a process that does not end on SIGTERM is killed: that is judged


@dataclass(frozen=True)
class Plan:
    seed: int
    proxies: int = 24
    backends: int = 14
    seconds: float = 20.0
    rate: float = 6.0  # requests a second for each proxy
    troubles: int = 12
    faulty: float = 0.4  # share of the processes whose system calls fail now and then
    faults: bool = True


@dataclass(frozen=True)
class Result:
    plan: Plan
    troubles: list[Trouble]
    breaches: list[Breach]
    journal: Journal
    statuses: Counter[str]


class World:
    """Everything round the proxies, and the proxies."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder, self.random = plan, folder, Random(plan.seed)
        self.journal = Journal(LANES, DRAIN_GRACE_S)
        self.journal.cold_s, self.journal.start_part = COLD_S, START_PART
        self.journal.fall_multiple, self.journal.fall_s = FALL_MULTIPLE, FALL_S
        self.journal.warm_rate = plan.rate * plan.proxies / plan.backends
        self.pushed = self.random.random() < 0.5
        self.registry = Registry(self.journal)
        self.backends: dict[str, Backend] = {}
        self.proxies: list[ProxyProcess] = []
        self.agents: dict[int, ProxyAgent] = {}
        self.peers: list[str] = []
        self.library: str | None = None
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        if self.plan.faults and (library := build_shim(self.folder)) is not None:
            self.library = str(library)
        for _ in range(self.plan.backends):
            await self.add_backend(cold=False)
        self.everyone = Everyone()
        for number in range(self.plan.proxies):
            self.peers.append(free_address(socket.SOCK_DGRAM))
            self.agents[number] = await ProxyAgent(self.registry, number).open()
            self.proxies.append(ProxyProcess(number, self.folder, self.journal, self.configuration))
        await self.everyone.open(self.peers)
        await asyncio.gather(*(proxy.start({}) for proxy in self.proxies))

    async def add_backend(self, cold: bool) -> None:
        uid = f"s-{self.random.getrandbits(32):08x}"
        cell = self.random.randrange(CELLS)
        backend = await Backend(uid, cell, self.journal, self.random, WORK_S).open()
        self.backends[uid] = backend
        if cold:
            backend.boot_ms = int(time.time() * 1000)
            self.journal.cold[uid] = self.loop.time()
        self.registry.put(self.entry(backend, "active"))

    def entry(self, backend: Backend, state: str) -> dict[str, Any]:
        return {
            "uid": backend.uid,
            "endpoint": backend.address,
            "az": "a",
            "model": "m",
            "pod_group": backend.cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": backend.boot_ms,
        }

    def configuration(self, number: int) -> dict[str, Any]:
        lanes = [
            {
                "Name": lane.name,
                "AimMs": lane.aim_s * 1000,
                "HardLimitMs": lane.deadline_s * 1000,
                "Effect": EFFECTS[lane.effect],
                "KeyScope": "cell",
                "KeyTtlMs": lane.window_s * 1000,
                "Points": 5,
            }
            for lane in LANES
        ]
        return {
            "name": f"n{number}",
            "listen": self.proxies[number].listen if number < len(self.proxies) else "127.0.0.1:0",
            "discovery": self.agents[number].address,
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS[number % 2]},
            "peer_listen": self.peers[number],
            "peers": self.peers,
            "peers_all": self.everyone.address,
            "known": self.registry.listing(None),
            "settings": {
                "Balancers": self.plan.proxies,
                "Me": number,
                "Lanes": lanes,
                "Projects": [{"Name": "all", "Share": 1.0, "QuotaPerS": 1000.0}],
                "Dcs": ["a"],
                "Kinds": ["m"],
                "Discovery": "push" if self.pushed else "ask",
                "TickMs": 5.0,
                "Limits": {
                    "MayCancel": True,
                    "MostTries": 5,
                    "Peers": True,
                    "RetryAfter": True,
                    "MaxRetryAfterMs": 2000.0,
                    "ConnectTimeoutMs": CONNECT_TIMEOUT_MS,
                    "ConnIdleMs": CONN_IDLE_MS,
                },
                "Obligations": {
                    "ColdMs": COLD_S * 1000,
                    "StartCapacity": START_PART,
                    "FallMultiple": FALL_MULTIPLE,
                    "OverloadForMs": FALL_S * 1000,
                    "DrainGraceMs": DRAIN_GRACE_S * 1000,
                    "MustAskInMs": 10_000,
                },
            },
        }

    # Troubles

    def spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def trouble(self, trouble: Trouble, started: float) -> None:
        await asyncio.sleep(max(started + trouble.at_s - self.loop.time(), 0.0))
        chosen = self.random.sample(self.proxies, max(1, int(trouble.part * len(self.proxies))))
        if trouble.kind in (Kind.STOP, Kind.KILL):
            for proxy in chosen:
                self.spawn(self.restart(proxy, trouble.kind is Kind.STOP))
        elif trouble.kind is Kind.RELOAD:
            for proxy in chosen:
                self.spawn(self.reload(proxy, times=self.random.randint(1, 2)))
        elif trouble.kind is Kind.HOLD:
            for proxy in chosen:
                self.spawn(self.hold(proxy, trouble.length_s))
        elif trouble.kind is Kind.CROWD:
            for proxy in chosen:
                self.spawn(self.clients.crowd(proxy, CROWD))
        elif trouble.kind is Kind.DISCOVERY_DOWN:
            self.registry.switch(False)
            await asyncio.sleep(trouble.length_s)
            self.registry.switch(True)
        elif trouble.kind is Kind.SILENT_WATCHES:
            for agent in self.agents.values():
                agent.silence()
        elif trouble.kind is Kind.CLOSE_IDLE:
            for backend in self.backends.values():
                backend.close_idle()
        elif trouble.kind is Kind.BAD_BACKENDS:
            await self.spoil(trouble)
        else:
            await self.change_backends(trouble)

    async def restart(self, proxy: ProxyProcess, planned: bool) -> None:
        if not proxy.up():
            return
        proxy.send(signal.SIGTERM if planned else signal.SIGKILL)
        await self.wait_for_end(proxy)
        await asyncio.sleep(self.random.uniform(0.05, 0.5))
        # Of its own: what else was drawn by then depends on the order of events.
        random = Random(f"{self.plan.seed} {proxy.number} {proxy.lives}")
        await proxy.start(draw_environment(random, self.library, self.plan.faulty))

    async def reload(self, proxy: ProxyProcess, times: int) -> None:
        """Another discovery is named by the file; the old one takes nothing new and closes a while later."""
        for _ in range(times):
            if not proxy.up():
                return
            old = self.agents[proxy.number]
            self.agents[proxy.number] = await ProxyAgent(self.registry, proxy.number).open()
            proxy.write()
            proxy.send(signal.SIGHUP)
            self.journal.moved.setdefault(proxy.number, []).append(self.loop.time())
            old.server.close()
            self.loop.call_later(OLD_SERVICE_S, old.close)
            await asyncio.sleep(self.random.uniform(0.0, 0.4))

    async def hold(self, proxy: ProxyProcess, seconds: float) -> None:
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            proxy.send(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.02, HOLD_S))
            proxy.send(signal.SIGCONT)
            await asyncio.sleep(self.random.uniform(0.1, 1.0))

    async def spoil(self, trouble: Trouble) -> None:
        chosen = self.random.sample(
            list(self.backends.values()), max(1, int(trouble.part * len(self.backends)))
        )
        mix = Mix(trouble.manner, self.random.uniform(0.3, 1.0))
        for backend in chosen:
            backend.mix.append(mix)
        await asyncio.sleep(trouble.length_s)
        for backend in chosen:
            backend.mix.remove(mix)

    async def change_backends(self, trouble: Trouble) -> None:
        number = max(1, int(trouble.part * len(self.backends)))
        if trouble.kind in (Kind.JOIN, Kind.REPLACE):
            for _ in range(number):
                await self.add_backend(cold=True)
        if trouble.kind in (Kind.DRAIN, Kind.REPLACE):
            most = len(self.backends) - LEAST_BACKENDS
            for uid in self.random.sample(sorted(self.backends), min(number, max(most, 0))):
                self.spawn(self.drain(self.backends.pop(uid)))

    async def drain(self, backend: Backend) -> None:
        self.registry.put(self.entry(backend, "leaving"))
        await asyncio.sleep(LEFT_AFTER_S)
        self.registry.put(self.entry(backend, "left"))
        await asyncio.sleep(LEFT_AFTER_S)
        backend.vanish()

    async def watch_lag(self) -> None:
        while True:
            before = self.loop.time()
            await asyncio.sleep(LAG_LOOK_S)
            self.journal.lag_s = max(self.journal.lag_s, self.loop.time() - before - LAG_LOOK_S)

    async def run(self, troubles: list[Trouble]) -> Result:
        await self.open()
        lag = self.loop.create_task(self.watch_lag())
        await asyncio.sleep(CALM_S)
        habits = Habits()
        rate = self.plan.rate * self.plan.proxies
        clients = self.clients = Clients(self.proxies, self.journal, self.random, rate, habits)
        started = self.loop.time()
        for trouble in troubles:
            self.spawn(self.trouble(trouble, started))
        await clients.run(self.plan.seconds)
        await asyncio.sleep(SETTLE_S)
        while self.tasks:
            await asyncio.wait(self.tasks)
        lag.cancel()
        clients.close()
        for proxy in self.proxies:
            proxy.send(signal.SIGTERM)
        await asyncio.gather(*(self.wait_for_end(proxy) for proxy in self.proxies))
        self.everyone.close()
        statuses = Counter(
            f"{LANES[r.lane].name} {r.status or ('left' if r.left is not None else 'none')}"
            for r in self.journal.requests.values()
        )
        return Result(self.plan, troubles, judge(self.journal), self.journal, statuses)

    async def wait_for_end(self, proxy: ProxyProcess) -> None:
        try:
            async with asyncio.timeout(TERM_SLACK_S):
                await asyncio.shield(proxy.ended())
        except TimeoutError:
            proxy.send(signal.SIGKILL)
            await proxy.ended()

    def kill_all(self) -> None:
        for proxy in self.proxies:
            proxy.send(signal.SIGKILL)


class Everyone(asyncio.DatagramProtocol):
    """The address for every proxy of the tier: what comes there goes to all of them."""

    async def open(self, peers: list[str]) -> None:
        loop = asyncio.get_running_loop()
        self.targets = [(host, int(port)) for host, port in (peer.split(":") for peer in peers)]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.transport.get_extra_info("sockname"))

    def __init__(self) -> None:
        self.address = ""

    def datagram_received(self, data: bytes, sender: Any) -> None:
        # As from the sender's own address: the proxies know one another by it.
        for target in self.targets:
            if target != sender:
                self.transport.sendto(data, target)

    def close(self) -> None:
        self.transport.close()


async def play(plan: Plan) -> Result:
    """Play one run; raises what went wrong in the tool itself. All processes have ended by then."""
    troubles = draw_troubles(Random(plan.seed + 1), plan.seconds, plan.troubles)
    with tempfile.TemporaryDirectory() as folder:
        world = World(plan, Path(folder))
        try:
            return await world.run(troubles)
        finally:
            world.kill_all()
