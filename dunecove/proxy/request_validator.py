"""Validation of a client's request: from the HTTP message to the request that the engine takes."""

from __future__ import annotations

import re
from collections.abc import Callable
from urllib.parse import unquote_to_bytes

from dunecove.policy.models import Idempotency
from dunecove.policy.settings import Settings
from dunecove.proxy.client_messages import ClientResponse, ParsedRequest
from dunecove.proxy.clock import now_ms
from dunecove.proxy.http_request import BUDGET_MS_PATTERN, HttpRequest, RequestError
from dunecove.wire.settings import ProxySettings

# Only these are forwarded: any other header could make a backend close the connection and so cause an
# attempt to fail that the backend is not to blame for.
FORWARDED_HEADERS = frozenset(
    (
        b"host",
        b"x-call-id",
        b"x-caller",
        b"x-route-hash",
        b"idempotency-key",
        b"x-again",
        b"x-call-cost",
        b"x-call-info",
        b"content-type",
    )
)
# Repeated, the backend could read the other value; HTTP/1.1 demands exactly one host.
SINGLETON_HEADERS = FORWARDED_HEADERS | {b"x-budget-ms", b"content-length", b"transfer-encoding"}
TARGET_PATTERN = re.compile(rb"/[!-~]{0,2047}")
HEADER_VALUE_PATTERN = re.compile(rb"[\t -~\x80-\xff]{0,1024}")
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
WORK_HINT_PATTERN = re.compile(rb"[0-9]{1,9}")
AFFINITY_KEY_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,16}")


class RequestValidator:
    """Validates requests against the request classes and tenants of the deployment."""

    def __init__(self, settings: Settings, proxy_settings: ProxySettings) -> None:
        self.settings = settings
        self.proxy_settings = proxy_settings

    def validate(
        self,
        request: HttpRequest,
        on_response: Callable[[ClientResponse], None],
        close_if_disconnected: Callable[[], bool],
    ) -> ParsedRequest:
        """Return the request for the engine; RequestError with the status that rejects it."""
        headers = dict(request.headers)
        _check_headers(request, headers)
        class_index = self._request_class(request, headers)
        request_id = headers.get(b"x-call-id", b"")
        budget = headers.get(b"x-budget-ms", b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id) or not BUDGET_MS_PATTERN.fullmatch(budget):
            raise RequestError(400)
        head = _forwarded_head(request)
        waited_ms = now_ms() - request.arrived_at  # behind other requests of its connection
        return ParsedRequest(
            request_id.decode(),
            class_index,
            self._tenant(headers.get(b"x-caller")),
            parse_affinity_key(headers.get(b"x-route-hash")),
            float(budget) - waited_ms,
            headers.get(b"x-again") == b"1",
            parse_work_hint_ms(headers.get(b"x-call-cost", b"")),
            head,
            request.body,
            on_response,
            close_if_disconnected,
        )

    def _request_class(self, request: HttpRequest, headers: dict[bytes, bytes]) -> int:
        """Return the index of the class that the path names, once method and body are right for it."""
        path = request.target.split(b"?", 1)[0]
        class_index = self.proxy_settings.class_indexes.get(
            decode_name(unquote_to_bytes(path.split(b"/")[1]))
        )
        if class_index is None:
            raise RequestError(404)
        idempotency = self.settings.classes[class_index].idempotency
        if request.method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
            raise RequestError(405)
        if request.method == b"GET" and request.body:
            raise RequestError(400)
        if idempotency is Idempotency.KEYED and not headers.get(b"idempotency-key"):
            raise RequestError(400)
        return class_index

    def _tenant(self, name: bytes | None) -> int:
        if not self.proxy_settings.tenant_indexes:
            return 0
        tenant = self.proxy_settings.tenant_indexes.get(decode_name(name or b""))
        if tenant is None:
            raise RequestError(400)
        return tenant


def _check_headers(request: HttpRequest, headers: dict[bytes, bytes]) -> None:
    names = [name for name, _ in request.headers if name in SINGLETON_HEADERS]
    has_duplicates = len(names) != len(set(names))
    if has_duplicates or b"host" not in headers or not TARGET_PATTERN.fullmatch(request.target):
        raise RequestError(400)


def _forwarded_head(request: HttpRequest) -> bytes:
    """Return the request line and headers for a backend, without the empty line at the end."""
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in request.headers:
        if name in FORWARDED_HEADERS:
            if not HEADER_VALUE_PATTERN.fullmatch(value):
                raise RequestError(400)
            lines.append(b"%b: %b\r\n" % (name, value))
    if request.method == b"POST":
        lines.append(b"content-length: %d\r\n" % len(request.body))
    return b"".join(lines)


def decode_name(raw: bytes) -> str:
    """Return a name as the settings spell it; invalid UTF-8 never equals one of theirs."""
    return raw.decode("utf-8", "replace")


def parse_work_hint_ms(value: bytes) -> float:
    """Convert a work hint from microseconds to milliseconds; 0 if it is not a number."""
    return int(value) / 1000 if WORK_HINT_PATTERN.fullmatch(value) else 0.0


def parse_affinity_key(value: bytes | None) -> int | None:
    """Convert a hexadecimal affinity key; RequestError if it is malformed."""
    if value is None:
        return None
    if not AFFINITY_KEY_PATTERN.fullmatch(value):
        raise RequestError(400)
    return int(value, 16)
