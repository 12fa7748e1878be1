"""Measures a real proxy process that receives a list: memory, processor time and unresponsive periods."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import orjson

from scale import synthetic
from scale.measurement import MeasurementError, RunParameters, Series, Values, add_note, measurement
from scale.proxy_process import ProxyProcess, ReadinessProbe
from scale.stub_discovery import StubDiscovery

# When the list is sent as several deltas; such a response is well under 1 MiB, which any proxy accepts.
ENTRIES_PER_DELTA = 4000
APPLY_TIMEOUT_S = 60.0  # time within which the proxy must have applied a list
# SETTLE_S and IDLE_S are whole seconds, since an idle proxy does some of its work once per second.
SETTLE_S = 2.0  # time after a list is applied in which deferred work still counts as the cost of the list
IDLE_S = 3.0  # time over which the idle proxy is measured
AFTER_DELTAS_S = 0.5  # time after the last delta is applied in which deferred work still counts
DELTA_COUNT = 10
CACHED_ENTRIES = 3  # backends in the cached list with which the proxy starts


def process_series(name: str, form: str) -> tuple[Series, ...]:
    """Return the series of a measurement; `form` describes how the list is sent."""
    return (
        Series(f"{name}-resident", "MB", f"resident memory after applying a list that was sent {form}"),
        Series(
            f"{name}-take",
            "ms",
            f"to apply the list, plus the cost above idle in the {SETTLE_S:g} s after it is applied",
        ),
        Series(f"{name}-rest", "ms", "per second when the proxy is idle with that list"),
        Series(f"{name}-change", "ms", "a delta of two entries, minus the idle cost"),
        Series(
            f"{name}-gap",
            "ms",
            "longest wall time between two readiness responses while the proxy applies the list",
        ),
        Series(
            f"{name}-change-gap",
            "ms",
            f"longest wall time between two readiness responses while {DELTA_COUNT} deltas follow each other",
        ),
        Series(f"{name}-ready", "us", "a readiness response with that list, minus the idle cost"),
    )


class UpdateRefusedError(Exception):
    """The proxy closed the connection after an update; the message is the last line of its log."""


@dataclass(frozen=True)
class UnprobedCost:
    """The cost of a list to a proxy without requests."""

    resident_mb: float
    apply_ms: float
    idle_core_share: float
    delta_ms: float


@dataclass(frozen=True)
class ProbedResponsiveness:
    """Readiness responses of a proxy while it applies a list and deltas, and while it is idle."""

    apply_gap_ms: float
    delta_gap_ms: float
    idle_core_share: float
    idle_responses: int


def measure_list(name: str, parameters: RunParameters, updates: list[bytes]) -> Values:
    """Measure two proxies, one after the other, that receive `updates` and then small deltas.

    The updates follow revision 1. The first proxy gets no requests, to measure its processor time; the
    second is probed for its readiness throughout. All values are None if the proxy refuses an update.
    """
    try:
        cost = measure_unprobed(parameters, updates)
        probed = measure_probed(parameters, updates)
    except UpdateRefusedError as error:
        size = max(map(len, updates))
        add_note(f"{name}: a list in {len(updates)} responses of up to {size:,} bytes was refused: {error}")
        return dict.fromkeys(series.name for series in process_series(name, ""))
    probe_core_share = probed.idle_core_share - cost.idle_core_share
    return {
        f"{name}-resident": cost.resident_mb,
        f"{name}-take": cost.apply_ms - cost.idle_core_share * 1000 * SETTLE_S,
        f"{name}-rest": cost.idle_core_share * 1000,
        f"{name}-change": cost.delta_ms / DELTA_COUNT,
        f"{name}-gap": probed.apply_gap_ms,
        f"{name}-change-gap": probed.delta_gap_ms,
        f"{name}-ready": probe_core_share * IDLE_S * 1e6 / max(probed.idle_responses, 1),
    }


def measure_unprobed(parameters: RunParameters, updates: list[bytes]) -> UnprobedCost:
    """Measure memory and processor time of a proxy without requests.

    `delta_ms` is the sum over all deltas, without the idle cost; `apply_ms` includes the idle cost.
    """
    with start_proxy(parameters) as (discovery, proxy):
        before_ms = proxy.cpu_ms()
        revision = publish_all(discovery, updates, 1)
        time.sleep(SETTLE_S)
        apply_ms = proxy.cpu_ms() - before_ms
        resident_mb = proxy.resident_bytes() / 1e6
        idle_share = measure_core_share(proxy, IDLE_S)
        before_ms = proxy.cpu_ms()
        started_at = time.monotonic()
        publish_deltas(discovery, revision)
        time.sleep(AFTER_DELTAS_S)
        delta_ms = proxy.cpu_ms() - before_ms - idle_share * 1000 * (time.monotonic() - started_at)
    return UnprobedCost(resident_mb, apply_ms, idle_share, delta_ms)


def measure_probed(parameters: RunParameters, updates: list[bytes]) -> ProbedResponsiveness:
    """Measure the gaps between the readiness responses of a proxy."""
    with start_proxy(parameters) as (discovery, proxy), ReadinessProbe(proxy.address) as probe:
        probe.take_result()
        revision = publish_all(discovery, updates, 1)
        time.sleep(SETTLE_S)
        during_list = probe.take_result()
        idle_share = measure_core_share(proxy, IDLE_S)
        during_idle = probe.take_result()
        publish_deltas(discovery, revision)
        time.sleep(AFTER_DELTAS_S)
        during_deltas = probe.take_result()
    return ProbedResponsiveness(
        during_list.longest_gap_ms, during_deltas.longest_gap_ms, idle_share, during_idle.responses
    )


@contextmanager
def start_proxy(parameters: RunParameters) -> Iterator[tuple[StubDiscovery, ProxyProcess]]:
    """Run a proxy, and yield once its first watch, from revision 1, has begun.

    Raise UpdateRefusedError with the proxy's log message if it refuses an update.
    """
    cached = [synthetic.list_entry(number) for number in range(CACHED_ENTRIES)]
    with StubDiscovery(synthetic.empty_delta_body(1)) as discovery:
        settings = synthetic.settings(parameters.proxies)
        configuration = synthetic.configuration(discovery.address, "127.0.0.1:0", settings, cached)
        with ProxyProcess(configuration) as proxy:
            try:
                wait_until_applied(discovery, 1)
                yield discovery, proxy
            except UpdateRefusedError:
                raise UpdateRefusedError(proxy.next_log_line()) from None


def wait_until_applied(discovery: StubDiscovery, revision: int) -> None:
    """Wait until the proxy watches from `revision`, which shows that it has applied the list up to it.

    Raise UpdateRefusedError if it refuses an update, or MeasurementError after a timeout.
    """
    if discovery.wait_for_watch(revision, APPLY_TIMEOUT_S):
        return
    if discovery.was_refused:
        raise UpdateRefusedError
    raise MeasurementError(
        f"the proxy did not apply revision {revision} of the list within {APPLY_TIMEOUT_S:g} s"
    )


def publish_all(discovery: StubDiscovery, updates: list[bytes], revision: int) -> int:
    """Publish `updates` as the revisions after `revision`, and wait until the proxy has applied them.

    Return the last revision.
    """
    for update in updates:
        discovery.publish(revision, update)
        revision += 1
    wait_until_applied(discovery, revision)
    return revision


def publish_deltas(discovery: StubDiscovery, revision: int) -> None:
    """Publish small deltas after `revision`, each once the previous one is applied."""
    for since in range(revision, revision + DELTA_COUNT):
        publish_all(discovery, [synthetic.delta_body(since + 1, 2)], since)


def measure_core_share(proxy: ProxyProcess, seconds: float) -> float:
    """Return the share of a core that the proxy uses over a period of `seconds`."""
    before_ms = proxy.cpu_ms()
    started_at = time.monotonic()
    time.sleep(seconds)
    return (proxy.cpu_ms() - before_ms) / 1000 / (time.monotonic() - started_at)


@measurement("process", "backend", *process_series("process", "as one snapshot"))
def process_snapshot(parameters: RunParameters, size: int) -> Values:
    """Measure a proxy process that receives a snapshot."""
    return measure_list("process", parameters, [synthetic.snapshot_body(2, size)])


@measurement(
    "pieces", "backend", *process_series("pieces", f"as deltas of {ENTRIES_PER_DELTA:,} entries each")
)
def process_deltas(parameters: RunParameters, size: int) -> Values:
    """Measure a proxy process that receives the same list as several deltas."""
    updates = []
    for revision, start in enumerate(range(0, size, ENTRIES_PER_DELTA), 2):
        stop = min(start + ENTRIES_PER_DELTA, size)
        entries = [synthetic.list_entry(number) for number in range(start, stop)]
        updates.append(orjson.dumps(synthetic.endpoint_list(revision, entries, is_snapshot=False)))
    return measure_list("pieces", parameters, updates)
