"""The registry of measurements, each with its name, its axis and the series that it returns."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import NamedTuple

import click


class MeasurementError(click.ClickException):
    """A measurement that is not possible; the message is one line for the user."""

    exit_code = 2


class RunParameters(NamedTuple):
    """The parameters of a run other than its size."""

    proxies: int  # number of proxies in the deployment
    seed: int  # seed of this repeat


class Series(NamedTuple):
    """One row of the report."""

    name: str
    unit: str
    description: str


Values = dict[str, float | None]  # by series name; None: could not be measured at that size
MeasureFunction = Callable[[RunParameters, int], Values]


class Measurement(NamedTuple):
    """A function that measures one or more series at a given size."""

    name: str
    axis: str  # a key of DEFAULT_SIZES
    series: tuple[Series, ...]
    run: MeasureFunction


# Axes along which costs grow, with the default sizes. The largest size of each axis is that of the target
# deployment where one machine can hold it.
DEFAULT_SIZES: dict[str, tuple[int, ...]] = {
    "backend": (1000, 10000, 150000),
    "changed-entry": (1, 2, 10, 100),
    "watch-call": (1, 5, 20),
    "class": (100, 1000, 3000),
    "tenant": (1000, 88000, 880000),
    "peer": (10, 340, 3400),
    "connection": (50, 200, 400),
    "request": (50, 200, 400),
    "proxy": (10, 50, 100, 200),
}
MEASUREMENTS: dict[str, Measurement] = {}
NOTES: dict[str, None] = {}  # reasons why something could not be measured, without duplicates, in order


def add_note(text: str) -> None:
    """Record why something could not be measured; the report ends with these notes."""
    NOTES[text] = None


def measurement(name: str, axis: str, *series: Series) -> Callable[[MeasureFunction], MeasureFunction]:
    """Register the decorated function under `name`."""

    def register(run: MeasureFunction) -> MeasureFunction:
        MEASUREMENTS[name] = Measurement(name, axis, series, run)
        return run

    return register


def cpu_time_ms(work: Callable[[], object]) -> float:
    """Return the processor time (ms) of `work`, with the garbage collector enabled as in a proxy."""
    gc.collect()
    start_ns = time.process_time_ns()
    work()
    return (time.process_time_ns() - start_ns) / 1e6
