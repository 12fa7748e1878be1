"""A real proxy process that is handed a list: memory, processor time, and how long it answers nobody."""

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

PIECE_ENTRIES = 4000  # in one answer where the list comes in pieces: well under 1 MiB
TAKE_TIMEOUT_S = 60.0  # in which a list must have been taken
# After taking a list, in which work put off is still its cost; and at rest. Both are whole seconds, as some
# of what a proxy does at rest comes once a second.
SETTLE_S = 2.0
REST_S = 3.0
AFTER_CHANGES_S = 0.5
CHANGES = 10
CACHED_ENTRIES = 3


def process_series(name: str, how: str) -> tuple[Series, ...]:
    """Return the rows of a measurement; `how` says in which form the list comes."""
    return (
        Series(f"{name}-resident", "MB", f"in memory once it has taken a list that came {how}"),
        Series(
            f"{name}-take",
            "ms",
            f"to take it, until {SETTLE_S:g} s after the next watch, less so long at rest",
        ),
        Series(f"{name}-rest", "ms", "a second at rest with that list"),
        Series(f"{name}-change", "ms", "a change of two entries, rest taken off"),
        Series(
            f"{name}-gap", "ms", "longest wall time between two answers of its readiness while it takes it"
        ),
        Series(f"{name}-change-gap", "ms", f"the same while {CHANGES} changes come, one after the other"),
        Series(f"{name}-ready", "us", "an answer of its readiness with that list, rest taken off"),
    )


class UpdateRefusedError(Exception):
    """The proxy ended the connection on an update; the message is the last line of its log."""


@dataclass(frozen=True)
class UnprobedCost:
    """What a list costs a proxy that nobody asks anything."""

    resident_mb: float
    take_ms: float
    rest_core_share: float
    change_ms: float


@dataclass(frozen=True)
class ProbedResponsiveness:
    """How a proxy answers its readiness while it is handed a list, and at rest after that."""

    take_gap_ms: float
    change_gap_ms: float
    rest_core_share: float
    rest_responses: int


def measure_list(name: str, parameters: RunParameters, updates: list[bytes]) -> Values:
    """Measure two proxies, one after the other, that are handed `updates` from revision 1 on, and changes.

    Nobody asks the first one anything, for its processor time; the readiness of the second one is asked all
    the time. All values are None if an update is refused.
    """
    try:
        cost = measure_unprobed(parameters, updates)
        probed = measure_probed(parameters, updates)
    except UpdateRefusedError as error:
        size = max(map(len, updates))
        add_note(f"{name}: a list in {len(updates)} answers of up to {size:,} bytes was not taken: {error}")
        return dict.fromkeys(series.name for series in process_series(name, ""))
    probe_core_share = probed.rest_core_share - cost.rest_core_share
    return {
        f"{name}-resident": cost.resident_mb,
        f"{name}-take": cost.take_ms - cost.rest_core_share * 1000 * SETTLE_S,
        f"{name}-rest": cost.rest_core_share * 1000,
        f"{name}-change": cost.change_ms / CHANGES,
        f"{name}-gap": probed.take_gap_ms,
        f"{name}-change-gap": probed.change_gap_ms,
        f"{name}-ready": probe_core_share * REST_S * 1e6 / max(probed.rest_responses, 1),
    }


def measure_unprobed(parameters: RunParameters, updates: list[bytes]) -> UnprobedCost:
    """Measure memory and processor time of a proxy without requests; `change_ms` is of all changes."""
    with start_proxy(parameters) as (discovery, proxy):
        before_ms = proxy.cpu_ms()
        revision = publish_all(discovery, updates, 1)
        time.sleep(SETTLE_S)
        take_ms = proxy.cpu_ms() - before_ms
        resident_mb = proxy.resident_bytes() / 1e6
        rest = measure_core_share(proxy, REST_S)
        before_ms = proxy.cpu_ms()
        started_at = time.monotonic()
        publish_changes(discovery, revision)
        time.sleep(AFTER_CHANGES_S)
        change_ms = proxy.cpu_ms() - before_ms - rest * 1000 * (time.monotonic() - started_at)
    return UnprobedCost(resident_mb, take_ms, rest, change_ms)


def measure_probed(parameters: RunParameters, updates: list[bytes]) -> ProbedResponsiveness:
    """Measure the gaps between a proxy's readiness responses."""
    with start_proxy(parameters) as (discovery, proxy), ReadinessProbe(proxy.address) as probe:
        probe.take_result()
        revision = publish_all(discovery, updates, 1)
        time.sleep(SETTLE_S)
        taking = probe.take_result()
        rest = measure_core_share(proxy, REST_S)
        resting = probe.take_result()
        publish_changes(discovery, revision)
        time.sleep(AFTER_CHANGES_S)
        changing = probe.take_result()
    return ProbedResponsiveness(taking.longest_gap_ms, changing.longest_gap_ms, rest, resting.responses)


@contextmanager
def start_proxy(parameters: RunParameters) -> Iterator[tuple[StubDiscovery, ProxyProcess]]:
    """Run a proxy that has just begun its first watch, from revision 1 on.

    Raises UpdateRefusedError with the proxy's own words where it refuses an update.
    """
    cached = [synthetic.list_entry(number) for number in range(CACHED_ENTRIES)]
    with StubDiscovery(synthetic.empty_delta_body(1)) as discovery:
        settings = synthetic.settings(parameters.proxies)
        configuration = synthetic.configuration(discovery.address, "127.0.0.1:0", settings, cached)
        with ProxyProcess(configuration) as proxy:
            try:
                wait_for_watch(discovery, 1)
                yield discovery, proxy
            except UpdateRefusedError:
                raise UpdateRefusedError(proxy.next_log_line()) from None


def wait_for_watch(discovery: StubDiscovery, revision: int) -> None:
    """Wait until the proxy has taken all before `revision`. Raises UpdateRefusedError, MeasurementError."""
    if discovery.wait_for_watch(revision, TAKE_TIMEOUT_S):
        return
    if discovery.was_refused:
        raise UpdateRefusedError
    raise MeasurementError(
        f"the proxy did not take version {revision} of the list within {TAKE_TIMEOUT_S:g} s"
    )


def publish_all(discovery: StubDiscovery, updates: list[bytes], revision: int) -> int:
    """Publish each update after the revision before; return the last, once a watch has named it."""
    for update in updates:
        discovery.publish(revision, update)
        revision += 1
    wait_for_watch(discovery, revision)
    return revision


def publish_changes(discovery: StubDiscovery, revision: int) -> None:
    """Publish small changes after `revision`, each once the one before is taken."""
    for since in range(revision, revision + CHANGES):
        publish_all(discovery, [synthetic.delta_body(since + 1, 2)], since)


def measure_core_share(proxy: ProxyProcess, seconds: float) -> float:
    """Return the share of a core that the proxy takes over so long."""
    before_ms = proxy.cpu_ms()
    started_at = time.monotonic()
    time.sleep(seconds)
    return (proxy.cpu_ms() - before_ms) / 1000 / (time.monotonic() - started_at)


@measurement("process", "backend", *process_series("process", "whole, in one answer"))
def process_snapshot(parameters: RunParameters, size: int) -> Values:
    """Measure a proxy process that is handed a snapshot."""
    return measure_list("process", parameters, [synthetic.snapshot_body(2, size)])


@measurement("pieces", "backend", *process_series("pieces", f"as changes of {PIECE_ENTRIES:,} entries each"))
def process_pieces(parameters: RunParameters, size: int) -> Values:
    """Measure a proxy process that is handed the same list in deltas."""
    updates = []
    for revision, start in enumerate(range(0, size, PIECE_ENTRIES), 2):
        stop = min(start + PIECE_ENTRIES, size)
        entries = [synthetic.list_entry(number) for number in range(start, stop)]
        updates.append(orjson.dumps(synthetic.endpoint_list(revision, entries, is_snapshot=False)))
    return measure_list("pieces", parameters, updates)
