"""What goes wrong in a run, and when: drawn from the seed, overlapping in time."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import NamedTuple

from soak.backends import Behaviour

HOUR_MS = 3_600_000
BAD_BEHAVIOURS = tuple(behaviour for behaviour in Behaviour if behaviour is not Behaviour.GOOD)
STARTUP_FAULT_MS = 400  # after a start, in which the first system calls fail


class FaultKind(Enum):
    """What goes wrong; the values are printed."""

    STOP = "stop"  # SIGTERM to some proxies, and a new start
    KILL = "kill"  # SIGKILL, and a new start
    RELOAD = "reload"  # another discovery address for some proxies by SIGHUP, now and then twice
    PAUSE = "hold"  # SIGSTOP for up to 0.15 s, again and again
    DISCOVERY_DOWN = "discovery down"
    UNRESPONSIVE_WATCHES = "silent watches"
    DRAIN = "drain"
    JOIN = "join"
    REPLACE = "replace"
    BAD_BACKENDS = "bad backends"
    CLOSE_IDLE = "close idle"
    CONNECTION_FLOOD = "crowd"  # of idle clients before some proxies


WEIGHTS = {
    FaultKind.STOP: 3,
    FaultKind.KILL: 2,
    FaultKind.RELOAD: 3,
    FaultKind.PAUSE: 2,
    FaultKind.DISCOVERY_DOWN: 2,
    FaultKind.UNRESPONSIVE_WATCHES: 1,
    FaultKind.DRAIN: 3,
    FaultKind.JOIN: 2,
    FaultKind.REPLACE: 2,
    FaultKind.BAD_BACKENDS: 4,
    FaultKind.CLOSE_IDLE: 1,
    FaultKind.CONNECTION_FLOOD: 1,
}


class SystemCallFault(NamedTuple):
    """A call of `shim/faults.c` and the errno with which it fails."""

    call: str
    error: int


SYSTEM_CALL_FAULTS = (
    SystemCallFault("socket", errno.ENFILE),
    SystemCallFault("socket", errno.ENOBUFS),
    SystemCallFault("connect", errno.EADDRNOTAVAIL),
    SystemCallFault("connect", errno.ENETUNREACH),
    SystemCallFault("connect", errno.ENOBUFS),
    SystemCallFault("accept", errno.ECONNABORTED),
    SystemCallFault("accept", errno.ENFILE),
    SystemCallFault("open", errno.ENFILE),
    SystemCallFault("log", errno.ENOSPC),
    SystemCallFault("log", errno.EIO),
    SystemCallFault("wait", errno.EINTR),
    SystemCallFault("short", 0),
)


@dataclass(frozen=True)
class Fault:
    """One fault of a run. Times are seconds after the start of the load."""

    at_s: float
    kind: FaultKind
    duration_s: float
    share: float  # of the proxies or backends
    behaviour: Behaviour = Behaviour.GOOD  # of bad backends

    def __str__(self) -> str:
        behaviour = "" if self.behaviour is Behaviour.GOOD else f" ({self.behaviour.value})"
        return f"{self.at_s:.1f} s {self.kind.value}{behaviour}, {self.share:.0%}, {self.duration_s:.1f} s"


def draw_faults(random: Random, seconds: float, count: int) -> list[Fault]:
    """Draw the faults of a run in order of time; they begin within its first four fifths."""
    kinds = random.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
    faults = []
    for kind in kinds:
        behaviour = random.choice(BAD_BEHAVIOURS) if kind is FaultKind.BAD_BACKENDS else Behaviour.GOOD
        at_s = random.uniform(0.05, 0.8) * seconds
        duration_s = random.uniform(1.0, 6.0)
        faults.append(Fault(at_s, kind, duration_s, random.uniform(0.1, 0.5), behaviour))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_process_environment(random: Random, library: str | None, share: float) -> dict[str, str]:
    """Draw the environment of one process: which system calls fail, when, and how far its clock is off.

    `share` of the processes are hit; without the fault library none is.
    """
    if library is None or random.random() >= share:
        return {}
    rules = [_draw_rule(random) for _ in range(random.randint(1, 3))]
    clock_offset_ms = random.choice((0, 0, HOUR_MS, -HOUR_MS))
    return {
        "LD_PRELOAD": library,
        "SOAK_FAULTS": " ".join(rules),
        "SOAK_CLOCK_MS": str(clock_offset_ms),
        "SOAK_SEED": str(random.getrandbits(31)),
    }


def _draw_rule(random: Random) -> str:
    """Return a rule in the form that `shim/faults.c` reads."""
    fault = random.choice(SYSTEM_CALL_FAULTS)
    begin_ms = 0 if random.random() < 0.3 else random.randint(500, 12_000)
    length_ms = STARTUP_FAULT_MS if begin_ms == 0 else random.randint(100, 600)
    percent = random.randint(30, 100)
    return f"{fault.call}:{fault.error}:{percent}:{begin_ms}:{begin_ms + length_ms}"
