"""The faults of a run, drawn from the seed; they may overlap in time."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import NamedTuple

from soak.backends import Behaviour

HOUR_MS = 3_600_000
FAULTY_BEHAVIOURS = tuple(behaviour for behaviour in Behaviour if behaviour is not Behaviour.GOOD)
STARTUP_FAULT_MS = 400  # length of a system call fault that begins with the process


class FaultKind(Enum):
    """A kind of fault; the values are printed in reports."""

    TERMINATE = "terminate"  # restart some proxies with SIGTERM
    KILL = "kill"  # restart some proxies with SIGKILL
    RELOAD = "reload"  # give some proxies another discovery address by SIGHUP, once or twice
    PAUSE = "pause"  # pause some proxies repeatedly with SIGSTOP, for up to 0.15 s
    DISCOVERY_DOWN = "discovery down"  # discovery doesn't respond to any proxy
    UNRESPONSIVE_WATCHES = (
        "unresponsive watches"  # the open connections to discovery never get a response; new ones do
    )
    DRAIN = "drain"  # drain some backends, then remove them
    JOIN = "join"  # add cold backends
    REPLACE = "replace"  # add cold backends and drain others
    FAULTY_BACKENDS = (
        "faulty backends"  # some backends show the same faulty behaviour on part of their requests
    )
    CLOSE_IDLE = "close idle connections"  # all backends close their idle connections
    CONNECTION_FLOOD = "connection flood"  # idle client connections to some proxies


WEIGHTS = {  # relative frequency
    FaultKind.TERMINATE: 3,
    FaultKind.KILL: 2,
    FaultKind.RELOAD: 3,
    FaultKind.PAUSE: 2,
    FaultKind.DISCOVERY_DOWN: 2,
    FaultKind.UNRESPONSIVE_WATCHES: 1,
    FaultKind.DRAIN: 3,
    FaultKind.JOIN: 2,
    FaultKind.REPLACE: 2,
    FaultKind.FAULTY_BACKENDS: 4,
    FaultKind.CLOSE_IDLE: 1,
    FaultKind.CONNECTION_FLOOD: 1,
}


class SystemCallFault(NamedTuple):
    """A call named in `soak/shim/faults.c`, and the errno with which it fails.

    `short` is no failure: reads and writes on sockets transfer fewer bytes than requested.
    """

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
    """One fault of a run; all values are drawn for each kind, also those that the kind does not use."""

    at_s: float  # time after the start of the load
    kind: FaultKind
    duration_s: float  # used by PAUSE, DISCOVERY_DOWN and FAULTY_BACKENDS
    share: float  # of the proxies or backends; unused by DISCOVERY_DOWN, UNRESPONSIVE_WATCHES, CLOSE_IDLE
    behaviour: Behaviour = Behaviour.GOOD  # of faulty backends

    def __str__(self) -> str:
        behaviour = "" if self.behaviour is Behaviour.GOOD else f" ({self.behaviour.value})"
        return (
            f"at {self.at_s:.1f} s: {self.kind.value}{behaviour}, drawn share {self.share:.0%}, "
            f"drawn duration {self.duration_s:.1f} s"
        )


def draw_faults(random: Random, seconds: float, count: int) -> list[Fault]:
    """Draw the faults of a run, ordered by time; they start in its first 80%."""
    kinds = random.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
    faults = []
    for kind in kinds:
        behaviour = random.choice(FAULTY_BEHAVIOURS) if kind is FaultKind.FAULTY_BACKENDS else Behaviour.GOOD
        at_s = random.uniform(0.05, 0.8) * seconds
        duration_s = random.uniform(1.0, 6.0)
        faults.append(Fault(at_s, kind, duration_s, random.uniform(0.1, 0.5), behaviour))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_process_environment(random: Random, library: str | None, share: float) -> dict[str, str]:
    """Draw the environment variables of one process, which set its system call faults and its clock offset.

    Return none if `library` is None, and for all but a fraction `share` of the processes.
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
    """Draw a rule in the format of SOAK_FAULTS, which `shim/faults.c` reads."""
    fault = random.choice(SYSTEM_CALL_FAULTS)
    begin_ms = 0 if random.random() < 0.3 else random.randint(500, 12_000)
    length_ms = STARTUP_FAULT_MS if begin_ms == 0 else random.randint(100, 600)
    percent = random.randint(30, 100)
    return f"{fault.call}:{fault.error}:{percent}:{begin_ms}:{begin_ms + length_ms}"
