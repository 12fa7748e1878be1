"""One soak run: set up the environment, apply load and faults, and check the record against the rules."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

from soak.clients import Clients
from soak.environment import Environment, Plan
from soak.fault_injection import FaultInjector
from soak.faults import Fault, draw_faults
from soak.records import RunRecord
from soak.rules import Violation, find_violations

LAG_INTERVAL_S = 0.02  # between two measurements of the event loop's delay
SETTLE_BEFORE_S = 1.0  # from the readiness of all proxies to the first request
SETTLE_AFTER_S = 3.5  # after the last request, for the responses to arrive


@dataclass(frozen=True)
class Result:
    """The result of one run."""

    plan: Plan
    faults: list[Fault]
    violations: list[Violation]
    record: RunRecord
    statuses: Counter[str]  # number of requests by class and status


async def run_soak(plan: Plan) -> Result:
    """Run one plan and return its result.

    Errors of the tool itself are raised once the proxies were sent SIGKILL.
    """
    faults = draw_faults(Random(plan.seed + 1), plan.seconds, plan.fault_count)
    with tempfile.TemporaryDirectory() as folder:
        environment = Environment(plan, Path(folder))
        try:
            await environment.open()
            await apply_load(environment, faults)
            await environment.stop_proxies()
        finally:
            environment.kill_proxies()
    record = environment.record
    return Result(plan, faults, find_violations(record), record, count_statuses(record))


async def apply_load(environment: Environment, faults: list[Fault]) -> None:
    """Send requests and inject faults, until both are over."""
    plan = environment.plan
    record = environment.record
    lag_task = asyncio.get_running_loop().create_task(measure_lag(record))
    await asyncio.sleep(SETTLE_BEFORE_S)
    clients = Clients(environment.proxies, record, environment.random, plan.rate * plan.proxies)
    injector = FaultInjector(environment, clients)
    injector.schedule(faults)
    await clients.run(plan.seconds)
    await asyncio.sleep(SETTLE_AFTER_S)
    await injector.wait()
    lag_task.cancel()
    clients.close()


async def measure_lag(record: RunRecord) -> None:
    """Record the largest delay of this tool's event loop, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(LAG_INTERVAL_S)
        record.max_lag_s = max(record.max_lag_s, loop.time() - before - LAG_INTERVAL_S)


def count_statuses(record: RunRecord) -> Counter[str]:
    """Count the requests by class and status.

    Without a response, the status is `disconnected` if the client disconnected and `none` otherwise.
    """
    return Counter(
        f"{record.classes[request.class_index].name} "
        f"{request.status or ('disconnected' if request.disconnected_at is not None else 'none')}"
        for request in record.requests.values()
    )
