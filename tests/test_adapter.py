"""The adapter as a child process, with valid, unknown and malformed input."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from dunecove.adapter import Adapter
from dunecove.policy.balancer import Balancer
from dunecove.wire.simulator import read_request_arrived

INFO: dict[str, Any] = {
    "Balancers": 2,
    "Lanes": [{"AimMs": 300, "HardLimitMs": 900, "Effect": "read_like", "Points": 1, "Odd": [1]}],
    "NewThing": {"x": 1},
}
ENTRY = {"Backend": "10.0.0.1:80", "State": "active", "RackZone": 0, "Rating": 1, "LastStartMs": None}
START = [
    {"what": "Provision", "ProxyId": 3, "Entropy": 7, "Info": INFO},
    {"what": "PeersKnown", "ProxyId": 3, "Rev": 1, "Mode": "SAVED", "Records": [ENTRY]},
]
CALL = {
    "what": "Incoming",
    "ProxyId": 3,
    "Call": "ab",
    "Lane": 0,
    "Tenant": 0,
    "Subject": None,
    "GiveUpAtMs": 900.0,
    "EffortMs": None,
    "Bitmap": 0,
}
REPLY = {
    "what": "Reply",
    "ProxyId": 3,
    "Call": "ab",
    "Leg": 0,
    "Backend": "10.0.0.1:80",
    "How": "ok",
    "DelaySeenMs": 9.5,
    "Finished": True,
    "ServerStats": {"new": 1},
}


def run(*lines: str) -> tuple[int, list[dict[str, Any]], str]:
    completed = subprocess.run(
        [sys.executable, "-m", "dunecove.adapter"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        check=False,
    )
    return (
        completed.returncode,
        [json.loads(line) for line in completed.stdout.splitlines()],
        completed.stderr,
    )


def batch(now_ms: float, *events: dict[str, Any]) -> str:
    return json.dumps({"TsMs": now_ms, "news": events})


def test_end_of_input_exits_with_success() -> None:
    assert run() == (0, [], "")


def test_request_is_forwarded_and_empty_batches_get_empty_replies() -> None:
    code, replies, errors = run(batch(0), batch(1, *START, CALL), batch(11, REPLY), batch(12))
    assert (code, errors) == (0, "")
    assert replies[0] == replies[3] == {"cmds": []}
    forwards = [command for command in replies[1]["cmds"] if command["what"] == "Deliver"]
    assert [(command["Call"], command["Backend"], command["ProxyId"]) for command in forwards] == [
        ("ab", "10.0.0.1:80", 3)
    ]


def test_exit_discards_all_state_and_instance_can_be_provisioned_again_in_same_batch() -> None:
    exit_message = {"what": "Exit", "ProxyId": 3}
    code, replies, errors = run(
        batch(1, *START, CALL), batch(5, REPLY, exit_message, *START, CALL | {"Call": "cd"})
    )
    assert (code, errors) == (0, "")
    assert [command["Call"] for command in replies[1]["cmds"] if command["what"] == "Deliver"] == ["cd"]


def test_exception_in_balancer_is_reported_to_simulator(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        raise ZeroDivisionError("division by a latency of 0")

    adapter = Adapter()
    adapter.handle_batch(batch(1, *START).encode())
    monkeypatch.setattr(Balancer, "step", raise_error)
    reply = json.loads(adapter.handle_batch(batch(2, CALL).encode()))
    assert reply["cmds"] == [
        {"what": "GiveIn", "ProxyId": 3, "Msg": "ZeroDivisionError: division by a latency of 0"}
    ]


def test_rating_is_read_as_weight_of_backend() -> None:
    adapter = Adapter()
    adapter.handle_batch(batch(1, START[0], START[1] | {"Records": [ENTRY | {"Rating": 2.5}]}).encode())
    assert [backend.weight for backend in adapter.instances[3].balancer.backends.active] == [2.5]


def without(event: dict[str, Any], key: str) -> dict[str, Any]:
    return {name: value for name, value in event.items() if name != key}


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("{", ["not JSON"]),
        ("[]", ["batch", "object"]),
        (json.dumps({"news": []}), ["TsMs"]),
        (json.dumps({"TsMs": 1, "news": 5}), ["news"]),
        (json.dumps({"TsMs": "soon", "news": []}), ["TsMs"]),
        (batch(2, {"what": "Surprise", "ProxyId": 3}), ["Surprise", "instance 3", "unknown event"]),
        (batch(2, CALL | {"ProxyId": 9}), ["instance 9", "no such instance: not provisioned"]),
        (batch(2, without(CALL, "ProxyId")), ["ProxyId", "missing"]),
        (batch(2, without(CALL, "what")), ["what", "missing"]),
        (batch(2, CALL | {"Lane": 4}), ["Lane", "instance 3"]),
        (batch(2, CALL | {"GiveUpAtMs": "late"}), ["GiveUpAtMs", "instance 3"]),
        (batch(2, REPLY | {"How": "perhaps"}), ["How", "perhaps", "instance 3"]),
        (batch(2, {"what": "PeersKnown", "ProxyId": 3, "Mode": "ODD", "Records": []}), ["Mode", "ODD"]),
        (batch(2, START[1] | {"Records": [without(ENTRY, "Backend")]}), ["Backend", "missing"]),
        (batch(2, START[0] | {"Info": {"Lanes": []}}), ["no request class", "instance 3"]),
        (batch(2, START[0] | {"Info": {}}), ["Lanes", "missing"]),
    ]
    + [
        (batch(2, without(CALL, key)), [key, "missing", "instance 3"])
        for key in ("Call", "Lane", "GiveUpAtMs")
    ]
    + [(batch(2, without(REPLY, key)), [key, "missing"]) for key in ("Leg", "How", "DelaySeenMs", "Finished")]
    + [(batch(2, {"what": "Ring", "ProxyId": 3}), ["Ref", "missing"])],
)
def test_malformed_input_exits_with_failure_and_one_line_error(line: str, words: list[str]) -> None:
    code, replies, errors = run(batch(1, *START), line)
    assert code != 0
    assert len(replies) == 1  # to the valid batch; none to the malformed one
    assert errors.count("\n") == 1 and "Traceback" not in errors
    for word in words:
        assert word in errors


@pytest.mark.parametrize(("bits", "work_hint_ms"), [(0, 0.0), (1, 12.5), (3, 12.5)])
def test_work_hint_is_read_only_if_its_bit_is_set(bits: int, work_hint_ms: float) -> None:
    raw = {"Call": "a", "Lane": 0, "GiveUpAtMs": 9.0, "EffortMs": 12.5, "Bitmap": bits}
    assert read_request_arrived(raw, 1).work_hint_ms == work_hint_ms
