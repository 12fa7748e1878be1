"""The simulator's wire format: converts its messages to events, and actions to its messages."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any

from dunecove.errors import InvalidFieldError, MalformedMessageError
from dunecove.policy.actions import (
    Action,
    BackendEjected,
    CancelAttempt,
    Fail,
    Forward,
    PollDiscovery,
    Reject,
    SendGossip,
    SendHealthCheck,
    SetTimer,
)
from dunecove.policy.events import (
    AttemptEnded,
    BackendListUpdate,
    ClientDisconnected,
    Event,
    GossipReceived,
    HealthCheckResult,
    ListUpdateKind,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.wire.endpoint_list import BACKEND_STATES
from dunecove.wire.fields import (
    JsonObject,
    as_choice,
    as_integer,
    as_number,
    as_objects,
    as_string,
    required,
)

_RESULTS = {
    "ok": AttemptResult.OK,
    "error": AttemptResult.ERROR,
    "full": AttemptResult.REJECTED,
    "timeout": AttemptResult.TIMEOUT,
    "connect_failed": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "cancelled": AttemptResult.CANCELLED,
    "moot": AttemptResult.WITHDRAWN,
}
_LIST_UPDATE_KINDS = {
    "INCREMENTAL": ListUpdateKind.DELTA,
    "FULL": ListUpdateKind.SNAPSHOT,
    "SAVED": ListUpdateKind.CACHED,
    "FAILED": ListUpdateKind.FAILED,
}
# Bits of `Bitmap` in an `Incoming` message.
_HAS_WORK_HINT = 1
_IS_RETRY = 2


def read_event(raw: JsonObject, class_count: int) -> Event:
    """Convert a message to an event; raise MalformedInputError or ValueError if it is invalid.

    The caller has checked that the message has a `what`.
    """
    name = raw["what"]
    if name == "Incoming":
        return read_request_arrived(raw, class_count)
    if not isinstance(name, str) or name not in _READERS:
        raise MalformedMessageError("unknown event")
    return _READERS[name](raw)


def read_request_arrived(raw: JsonObject, class_count: int) -> RequestArrived:
    """Convert an `Incoming` message; its request class is an index below `class_count`."""
    class_index = required(raw, "Lane")
    if type(class_index) is not int or not 0 <= class_index < class_count:
        raise InvalidFieldError(f"Lane is not the index of a request class: {class_index!r}")
    affinity_key = raw.get("Subject")
    if affinity_key is not None:
        affinity_key = as_integer(affinity_key, "Subject")
    tenant = as_integer(raw.get("Tenant") or 0, "Tenant")
    deadline = as_number(required(raw, "GiveUpAtMs"), "GiveUpAtMs")
    bits = as_integer(raw.get("Bitmap") or 0, "Bitmap")
    return RequestArrived(
        request_id=as_string(required(raw, "Call"), "Call"),
        class_index=class_index,
        tenant=tenant,
        affinity_key=affinity_key,
        deadline=deadline,
        is_retry=bool(bits & _IS_RETRY),
        work_hint_ms=as_number(raw.get("EffortMs") or 0, "EffortMs") if bits & _HAS_WORK_HINT else 0.0,
    )


def _read_attempt_ended(raw: JsonObject) -> AttemptEnded:
    return AttemptEnded(
        request_id=as_string(required(raw, "Call"), "Call"),
        attempt_index=as_integer(required(raw, "Leg"), "Leg"),
        result=as_choice(_RESULTS, required(raw, "How"), "How"),
        latency_ms=as_number(required(raw, "DelaySeenMs"), "DelaySeenMs"),
        request_finished=required(raw, "Finished") is True,
    )


def _read_response_started(raw: JsonObject) -> ResponseStarted:
    return ResponseStarted(
        request_id=as_string(required(raw, "Call"), "Call"),
        attempt_index=as_integer(required(raw, "Leg"), "Leg"),
        latency_ms=as_number(required(raw, "DelaySeenMs"), "DelaySeenMs"),
    )


def _read_client_disconnected(raw: JsonObject) -> ClientDisconnected:
    return ClientDisconnected(as_string(required(raw, "Call"), "Call"))


def _read_list_update(raw: JsonObject) -> BackendListUpdate:
    kind = as_choice(_LIST_UPDATE_KINDS, required(raw, "Mode"), "Mode")
    entries = as_objects(raw.get("Records") or [], "Records")
    return BackendListUpdate(kind, tuple(_read_backend(entry) for entry in entries))


def _read_backend(entry: JsonObject) -> BackendInfo:
    started = entry.get("LastStartMs")
    return BackendInfo(
        as_string(required(entry, "Backend"), "Backend"),
        as_choice(BACKEND_STATES, required(entry, "State"), "State"),
        as_integer(entry.get("RackZone") or 0, "RackZone"),
        as_integer(entry.get("Shape") or 0, "Shape"),
        as_integer(entry.get("Cohort") or 0, "Cohort"),
        as_number(started, "LastStartMs") if started else None,
        as_number(entry.get("Rating") or 1, "Rating"),
    )


def _read_health_check_result(raw: JsonObject) -> HealthCheckResult:
    result_name = as_string(required(raw, "How"), "How")
    return HealthCheckResult(
        backend_id=as_string(required(raw, "Backend"), "Backend"),
        # A health check may end with a result that is not in the table, which becomes ERROR.
        result=_RESULTS.get(result_name, AttemptResult.ERROR),
        latency_ms=as_number(required(raw, "DelaySeenMs"), "DelaySeenMs"),
    )


def _read_timer_fired(raw: JsonObject) -> TimerFired:
    return TimerFired(as_integer(required(raw, "Ref"), "Ref"))


def _read_gossip_received(raw: JsonObject) -> GossipReceived:
    sender_index = as_integer(required(raw, "SrcPeer"), "SrcPeer")
    return GossipReceived(sender_index, b64decode(as_string(required(raw, "Raw"), "Raw"), validate=True))


_READERS: dict[str, Callable[[JsonObject], Event]] = {
    "Reply": _read_attempt_ended,
    "Started": _read_response_started,
    "CancelledByClient": _read_client_disconnected,
    "PeersKnown": _read_list_update,
    "ProbeDone": _read_health_check_result,
    "Ring": _read_timer_fired,
    "FromPeer": _read_gossip_received,
}


def write_action(action: Action, instance_index: int) -> JsonObject:
    """Convert an action of an instance, one simulated proxy, to a message."""
    message = _WRITERS[type(action)](action)
    message["ProxyId"] = instance_index
    return message


def write_exception(error: Exception, instance_index: int) -> JsonObject:
    """Return the message that reports an exception in the balancer of an instance."""
    return {"what": "GiveIn", "ProxyId": instance_index, "Msg": f"{type(error).__name__}: {error}"}


def _write_forward(action: Forward) -> JsonObject:
    return {
        "what": "Deliver",
        "Call": action.request_id,
        "Backend": action.backend_id,
        "LimitMs": action.timeout_ms,
    }


def _write_reject(action: Reject) -> JsonObject:
    return {"what": "NotNow", "Call": action.request_id, "ComeBackMs": action.retry_after_ms}


def _write_fail(action: Fail) -> JsonObject:
    return {"what": "GiveUp", "Call": action.request_id}


def _write_cancel_attempt(action: CancelAttempt) -> JsonObject:
    return {"what": "AbortAttempt", "Call": action.request_id, "Leg": action.attempt_index}


def _write_send_health_check(action: SendHealthCheck) -> JsonObject:
    return {"what": "SoundOut", "Backend": action.backend_id}


def _write_send_gossip(action: SendGossip) -> JsonObject:
    return {"what": "Notify", "Recipient": "all", "Raw": b64encode(action.payload).decode()}


def _write_poll_discovery(_: PollDiscovery) -> JsonObject:
    return {"what": "Subscribe", "Want": True}


def _write_set_timer(action: SetTimer) -> JsonObject:
    return {"what": "Schedule", "OffsetMs": action.delay_ms, "Ref": action.token}


def _write_backend_ejected(action: BackendEjected) -> JsonObject:
    return {"what": "NoteDown", "Msg": str(action)}


_WRITERS: dict[type[Any], Callable[[Any], JsonObject]] = {
    Forward: _write_forward,
    Reject: _write_reject,
    Fail: _write_fail,
    CancelAttempt: _write_cancel_attempt,
    SendHealthCheck: _write_send_health_check,
    SendGossip: _write_send_gossip,
    PollDiscovery: _write_poll_discovery,
    SetTimer: _write_set_timer,
    BackendEjected: _write_backend_ejected,
}
