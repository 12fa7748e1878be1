"""Validates a client's HTTP request and converts it to the `ParsedRequest` that the engine accepts."""

from __future__ import annotations

import re
from collections.abc import Callable
from urllib.parse import unquote_to_bytes

from dunecove.policy.models import Idempotency
from dunecove.policy.settings import Settings
from dunecove.proxy.client_messages import ClientResponse, ClientState, ParsedRequest
from dunecove.proxy.clock import now_ms
from dunecove.proxy.http_request import BUDGET_MS_PATTERN, HttpRequest, RequestError
from dunecove.wire.settings import ProxySettings

# Only these headers are forwarded. Any other header could make a backend close the connection, and an attempt
# that fails because of the client would count as a failure of the backend.
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
# Headers that must not be repeated: the backend could use another of the values than the proxy. HTTP/1.1
# requires exactly one host header.
SINGLETON_HEADERS = FORWARDED_HEADERS | {b"x-budget-ms", b"content-length", b"transfer-encoding"}
TARGET_PATTERN = re.compile(rb"/[!-~]{0,2047}")
HEADER_VALUE_PATTERN = re.compile(rb"[\t -~\x80-\xff]{0,1024}")
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
WORK_HINT_PATTERN = re.compile(rb"[0-9]{1,9}")
AFFINITY_KEY_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,16}")


class RequestValidator:
    """Validates requests against the request classes and tenants in the settings."""

    def __init__(self, settings: Settings, proxy_settings: ProxySettings) -> None:
        self.settings = settings
        self.proxy_settings = proxy_settings

    def validate(
        self,
        request: HttpRequest,
        on_response: Callable[[ClientResponse], None],
        check_client: Callable[[], ClientState],
    ) -> ParsedRequest:
        """Return the request for the engine; raise RequestError with an HTTP status if it is invalid."""
        headers = dict(request.headers)
        _check_headers(request, headers)
        class_index = self._find_class_index(request, headers)
        request_id = headers.get(b"x-call-id", b"")
        budget = headers.get(b"x-budget-ms", b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id) or not BUDGET_MS_PATTERN.fullmatch(budget):
            raise RequestError(400)
        head = _forwarded_head(request)
        waited_ms = now_ms() - request.arrived_at  # in the kernel, or behind other requests of its connection
        return ParsedRequest(
            request_id.decode(),
            class_index,
            self._find_tenant_index(headers.get(b"x-caller")),
            parse_affinity_key(headers.get(b"x-route-hash")),
            float(budget) - waited_ms,
            headers.get(b"x-again") == b"1",
            parse_work_hint_ms(headers.get(b"x-call-cost", b"")),
            head,
            request.body,
            on_response,
            check_client,
        )

    def _find_class_index(self, request: HttpRequest, headers: dict[bytes, bytes]) -> int:
        """Return the index of the class named in the path, after checking the method, body and headers."""
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

    def _find_tenant_index(self, name: bytes | None) -> int:
        """Return the index of a tenant; 0 if the settings define no tenants."""
        if not self.proxy_settings.tenant_indexes:
            return 0
        tenant_index = self.proxy_settings.tenant_indexes.get(decode_name(name or b""))
        if tenant_index is None:
            raise RequestError(400)
        return tenant_index


def _check_headers(request: HttpRequest, headers: dict[bytes, bytes]) -> None:
    """Raise RequestError for a repeated singleton header, a missing host or an invalid target."""
    names = [name for name, _ in request.headers if name in SINGLETON_HEADERS]
    has_duplicates = len(names) != len(set(names))
    if has_duplicates or b"host" not in headers or not TARGET_PATTERN.fullmatch(request.target):
        raise RequestError(400)


def _forwarded_head(request: HttpRequest) -> bytes:
    """Return the request line and headers for a backend, without the final empty line."""
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
    """Decode the name of a request class or tenant; invalid UTF-8 never equals a name in the settings."""
    return raw.decode("utf-8", "replace")


def parse_work_hint_ms(value: bytes) -> float:
    """Convert a work hint from microseconds to milliseconds; return 0 if it is not a number."""
    return int(value) / 1000 if WORK_HINT_PATTERN.fullmatch(value) else 0.0


def parse_affinity_key(value: bytes | None) -> int | None:
    """Convert a hexadecimal affinity key to an integer; raise RequestError if it is malformed."""
    if value is None:
        return None
    if not AFFINITY_KEY_PATTERN.fullmatch(value):
        raise RequestError(400)
    return int(value, 16)
