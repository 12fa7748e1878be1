"""The register of measurements: a name, what it grows with, and the series of values that a run gives."""

from __future__ import annotations

import gc
import json
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import click


class Trouble(click.ClickException):
    """It can't be measured as asked; the text is one line for a person."""

    exit_code = 2


class Plan(NamedTuple):
    """What a run is given besides its size."""

    proxies: int  # of the whole tier
    seed: int  # of this repeat


class Series(NamedTuple):
    name: str
    unit: str
    says: str


Values = dict[str, float | None]  # by the series' name; None: could not be measured at that size


class Measure(NamedTuple):
    name: str
    axis: str  # one of AXES
    series: tuple[Series, ...]
    run: Callable[[Plan, int], Values]


# What things grow with, and at which sizes they are measured unless the command line says otherwise. The
# last of each is the target's size where one machine allows.
AXES: dict[str, tuple[int, ...]] = {
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
MEASURES: dict[str, Measure] = {}
NOTES: dict[str, None] = {}  # why something could not be measured, in order, each once


def note(text: str) -> None:
    NOTES[text] = None


def measure(name: str, axis: str, *series: Series) -> Callable[[Callable[[Plan, int], Values]], None]:
    def register(run: Callable[[Plan, int], Values]) -> None:
        MEASURES[name] = Measure(name, axis, series, run)

    return register


def spent_ms(work: Callable[[], object]) -> float:
    """Processor time of this process for a piece of work, in ms. The collector runs as it does in a proxy."""
    gc.collect()
    start = time.process_time_ns()
    work()
    return (time.process_time_ns() - start) / 1e6


def child(module: str, *arguments: object) -> list[str]:
    return [sys.executable, "-m", f"scale.{module}", *map(str, arguments)]


def child_json(process: subprocess.Popen[str]) -> Any:
    """The next line of a child, read as JSON. Raises Trouble if it ended instead."""
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise Trouble(f"{process.args!r} ended with {process.wait()} and no answer")
    return json.loads(line)


def end(process: subprocess.Popen[Any]) -> None:
    """End a child that this process started, and wait for it."""
    process.kill()
    process.wait()
    for pipe in (process.stdin, process.stdout, process.stderr):
        if pipe is not None:
            pipe.close()
