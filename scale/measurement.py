"""The registry of measurements: a name, what it grows with, and the series of values that a run gives."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import NamedTuple

import click


class MeasurementError(click.ClickException):
    """What was asked can't be measured; the message is one line for a person."""

    exit_code = 2


class RunParameters(NamedTuple):
    """What a run is given besides its size."""

    proxies: int  # of the whole deployment
    seed: int  # of this repeat


class Series(NamedTuple):
    """One row of the result."""

    name: str
    unit: str
    description: str


Values = dict[str, float | None]  # by the series' name; None: could not be measured at that size
MeasureFunction = Callable[[RunParameters, int], Values]


class Measurement(NamedTuple):
    """A function that measures one or several series at a given size."""

    name: str
    axis: str  # one of DEFAULT_SIZES
    series: tuple[Series, ...]
    run: MeasureFunction


# What things grow with, and at which sizes they are measured unless the command line says otherwise. The
# last of each is the target's size where one machine allows.
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
NOTES: dict[str, None] = {}  # why something could not be measured, in order, each once


def add_note(text: str) -> None:
    """Record why something could not be measured, for the end of the report."""
    NOTES[text] = None


def measurement(name: str, axis: str, *series: Series) -> Callable[[MeasureFunction], MeasureFunction]:
    """Register the decorated function under `name`."""

    def register(run: MeasureFunction) -> MeasureFunction:
        MEASUREMENTS[name] = Measurement(name, axis, series, run)
        return run

    return register


def cpu_time_ms(work: Callable[[], object]) -> float:
    """Return the processor time (ms) that `work` takes. The garbage collector runs as it does in a proxy."""
    gc.collect()
    start_ns = time.process_time_ns()
    work()
    return (time.process_time_ns() - start_ns) / 1e6
