"""What goes wrong in a run, and when: drawn from the seed, overlapping in time."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum
from random import Random

from soak.backends import Manner

HOUR_MS = 3_600_000
BAD_MANNERS = tuple(manner for manner in Manner if manner is not Manner.GOOD)


class Kind(Enum):
    STOP = "stop"  # SIGTERM to some proxies, and a new start
    KILL = "kill"  # SIGKILL
    RELOAD = "reload"  # a new discovery for some proxies by SIGHUP, now and then twice
    HOLD = "hold"  # SIGSTOP for up to 0.15 s, again and again
    DISCOVERY_DOWN = "discovery down"
    SILENT_WATCHES = "silent watches"
    DRAIN = "drain"
    JOIN = "join"
    REPLACE = "replace"
    BAD_BACKENDS = "bad backends"
    CLOSE_IDLE = "close idle"
    CROWD = "crowd"  # of silent clients before some proxies


WEIGHTS = {
    Kind.STOP: 3,
    Kind.KILL: 2,
    Kind.RELOAD: 3,
    Kind.HOLD: 2,
    Kind.DISCOVERY_DOWN: 2,
    Kind.SILENT_WATCHES: 1,
    Kind.DRAIN: 3,
    Kind.JOIN: 2,
    Kind.REPLACE: 2,
    Kind.BAD_BACKENDS: 4,
    Kind.CLOSE_IDLE: 1,
    Kind.CROWD: 1,
}
FAULTS = (
    ("socket", errno.ENFILE),
    ("socket", errno.ENOBUFS),
    ("connect", errno.EADDRNOTAVAIL),
    ("connect", errno.ENETUNREACH),
    ("connect", errno.ENOBUFS),
    ("accept", errno.ECONNABORTED),
    ("accept", errno.ENFILE),
    ("open", errno.ENFILE),
    ("log", errno.ENOSPC),
    ("log", errno.EIO),
    ("wait", errno.EINTR),
    ("short", 0),
)
START_FAULT_MS = 400  # the span after a start in which the first system calls fail


@dataclass(frozen=True)
class Trouble:
    at_s: float
    kind: Kind
    length_s: float
    part: float  # of the proxies or backends
    manner: Manner = Manner.GOOD

    def __str__(self) -> str:
        manner = "" if self.manner is Manner.GOOD else f" ({self.manner.value})"
        return f"{self.at_s:.1f} s {self.kind.value}{manner}, {self.part:.0%}, {self.length_s:.1f} s"


def draw_troubles(random: Random, seconds: float, number: int) -> list[Trouble]:
    """They begin within the first four fifths of a run."""
    kinds = random.choices(list(WEIGHTS), list(WEIGHTS.values()), k=number)
    troubles = []
    for kind in kinds:
        manner = random.choice(BAD_MANNERS) if kind is Kind.BAD_BACKENDS else Manner.GOOD
        at_s, length_s = random.uniform(0.05, 0.8) * seconds, random.uniform(1.0, 6.0)
        troubles.append(Trouble(at_s, kind, length_s, random.uniform(0.1, 0.5), manner))
    return sorted(troubles, key=lambda trouble: trouble.at_s)


def draw_environment(random: Random, library: str | None, share: float) -> dict[str, str]:
    """Of one process: what fails in it, when, and how far its wall clock is off; `share` of them are hit."""
    if library is None or random.random() >= share:
        return {}
    rules = []
    for _ in range(random.randint(1, 3)):
        call, error = random.choice(FAULTS)
        begin = 0 if random.random() < 0.3 else random.randint(500, 12_000)
        length = START_FAULT_MS if begin == 0 else random.randint(100, 600)
        rules.append(f"{call}:{error}:{random.randint(30, 100)}:{begin}:{begin + length}")
    clock = random.choice((0, 0, HOUR_MS, -HOUR_MS))
    return {
        "LD_PRELOAD": library,
        "SOAK_FAULTS": " ".join(rules),
        "SOAK_CLOCK_MS": str(clock),
        "SOAK_SEED": str(random.getrandbits(31)),
    }
