"""The adapter through which a simulator runs balancers.

It reads batches of events from stdin, one JSON object per line, and writes the balancers' actions to stdout.
"""

from __future__ import annotations

import sys
from typing import BinaryIO, NamedTuple

import orjson

from dunecove.errors import DunecoveError, InvalidFieldError, MalformedMessageError, MissingFieldError
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import Event
from dunecove.wire.fields import JsonObject, as_array, as_integer, as_number, as_object, required
from dunecove.wire.settings import read_settings
from dunecove.wire.simulator import read_event, write_action, write_exception

EXIT_MALFORMED = 2


class Instance(NamedTuple):
    """One simulated proxy."""

    balancer: Balancer
    request_class_count: int


class Adapter:
    """Runs one balancer per instance; the instances share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def handle_batch(self, line: bytes) -> bytes:
        """Process a batch and return the reply; raise MalformedInputError if the line is invalid."""
        now_ms, entries = _read_batch(line)
        pending: dict[int, list[Event]] = {}
        for entry in entries:
            self._handle_entry(as_object(entry, "news entry"), pending)
        actions: list[JsonObject] = []
        for index, events in pending.items():
            actions += self._step(now_ms, index, events)
        return orjson.dumps({"cmds": actions})

    def _handle_entry(self, raw: JsonObject, pending: dict[int, list[Event]]) -> None:
        name = raw.get("what")
        index = raw.get("ProxyId")
        try:
            for key in ("what", "ProxyId"):
                if key not in raw:
                    raise MissingFieldError(key)
            if type(index) is not int:
                raise InvalidFieldError(f"ProxyId is not an integer: {index!r}")
            if name == "Provision":
                # Provisioning replaces an instance of the same index and discards its pending events.
                pending[index] = []
                self.instances[index] = _provision(raw)
            elif index not in self.instances:
                raise MalformedMessageError("no such instance: not provisioned, or it has exited")
            elif name == "Exit":
                pending.pop(index, None)
                del self.instances[index]
            else:
                event = read_event(raw, self.instances[index].request_class_count)
                pending.setdefault(index, []).append(event)
        except (DunecoveError, ValueError) as error:
            raise MalformedMessageError(f"event (what={name}) for instance {index}: {error}") from None

    def _step(self, now_ms: float, index: int, events: list[Event]) -> list[JsonObject]:
        try:
            actions = self.instances[index].balancer.step(now_ms, events)
        except Exception as error:  # any error in the balancer is reported to the simulator, which stops
            return [write_exception(error, index)]
        return [write_action(action, index) for action in actions]


def _read_batch(line: bytes) -> tuple[float, list[object]]:
    """Return the time and the entries of a batch."""
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise MalformedMessageError(f"batch is not JSON: {error}") from None
    message = as_object(message, "batch")
    for key in ("TsMs", "news"):
        if key not in message:
            raise MalformedMessageError(f"{key} is missing from the batch")
    return as_number(message["TsMs"], "TsMs"), as_array(message["news"], "news")


def _provision(raw: JsonObject) -> Instance:
    seed = as_integer(required(raw, "Entropy"), "Entropy")
    settings = read_settings(as_object(required(raw, "Info"), "Info"))
    return Instance(Balancer(settings, seed), len(settings.classes))


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Reply on `sink` to each line of `source`; return the exit code."""
    adapter = Adapter()
    for line in source:
        try:
            reply = adapter.handle_batch(line)
        except DunecoveError as error:
            print(f"dunecove: {error}", file=sys.stderr)
            return EXIT_MALFORMED
        sink.write(reply + b"\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
