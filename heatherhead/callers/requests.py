"""Converts the HTTP request of a caller to a call and to the request sent to upstreams."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from multidict import istr

from heatherhead.callers.deadlines import remaining_ms, requested_deadline_ms
from heatherhead.callers.headers import (
    CALL_CLASS,
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    SERVICE,
    TENANT,
    end_to_end_headers,
)
from heatherhead.callers.idempotence import is_idempotent
from heatherhead.calls import Call
from heatherhead.exceptions import BadCallError
from heatherhead.upstreams.client import OutboundRequest

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from heatherhead.callers.bodies import CallBody
    from heatherhead.callers.service_selector import ServiceSelector
    from heatherhead.configuration.model import Service
    from heatherhead.settings.callers import CallersSettings

__all__ = ["call_of", "outbound_request", "service_of", "target_of"]

_STRIPPED_HEADERS = (istr("Expect"), istr("Content-Length"))
_FINGERPRINT_BYTES = 8
_MAX_TENANT_CHARS = 64
_MAX_KEY_CHARS = 512


def target_of(request: BaseRequest) -> str:
    """Return the target in origin form; raises `BadCallError` if it can't be forwarded."""
    target = request.raw_path
    if request.method == "CONNECT":
        raise BadCallError("CONNECT is not served", status=501, remedy="use another method")
    if target.startswith("/"):
        return target
    scheme, separator, rest = target.partition("://")
    if separator and scheme.lower() in ("http", "https"):
        _host, slash, path = rest.partition("/")
        return slash + path if slash else "/"
    raise BadCallError(
        "the request target is not a path", status=400, remedy="send a target that starts with /"
    )


def service_of(request: BaseRequest, target: str, selector: ServiceSelector) -> Service:
    """Return the service of a request; raises `BadCallError` if none matches."""
    hosts = request.headers.getall("Host", ())
    if len(hosts) != 1:
        raise BadCallError(
            "the request must have one Host header", status=400, remedy="send one Host header"
        )
    service = selector.select(hosts[0], target)
    if service is None:
        raise BadCallError(
            "no service has this host name or path",
            status=404,
            remedy="use a host name or path prefix of a service",
        )
    return service


def call_of(
    request: BaseRequest,
    target: str,
    service: Service,
    settings: CallersSettings,
    now: float,
) -> tuple[Call, bool]:
    """Build the call; also return whether the caller requested a deadline."""
    headers = request.headers
    try:
        requested_ms = requested_deadline_ms(headers, settings.max_deadline_ms)
    except ValueError as error:
        raise BadCallError(
            str(error), status=400, remedy="send the milliseconds left, or no such header"
        ) from error
    deadline_ms = service.default_deadline_ms if requested_ms is None else requested_ms
    tenant = headers.get(TENANT, "")[:_MAX_TENANT_CHARS]
    call = Call(
        service=service.name,
        method=request.method,
        target=target,
        arrived_at=now,
        deadline=now + deadline_ms / 1000,
        idempotent=is_idempotent(service, request.method, target),
        call_class=_class_of(service, headers.get(CALL_CLASS, ""), tenant),
        tenant=tenant,
        key=headers.get(IDEMPOTENCY_KEY),
    )
    if call.key is not None and len(call.key) > _MAX_KEY_CHARS:
        raise BadCallError(
            f"the Idempotency-Key is longer than {_MAX_KEY_CHARS} characters",
            status=400,
            remedy="send the grant, a dot and a short id",
        )
    return call, requested_ms is not None


def _class_of(service: Service, requested: str, tenant: str) -> str:
    if not requested and not tenant:
        return "default"
    names = [each.name for each in service.classes]
    if requested in names:
        return requested
    return tenant if tenant in names else "default"


def fingerprint_of(call: Call, body: CallBody) -> int:
    """Hash what an upstream would see of a call; the result is the same on every instance.

    The content of a streamed body isn't known yet, so the key of the call stands for it.
    """
    digest = hashlib.blake2b(call.target.encode(), digest_size=_FINGERPRINT_BYTES)
    digest.update(call.method.encode())
    if body.buffered is not None:
        digest.update(body.buffered)
    elif body.stream is not None:
        digest.update((call.key or "").encode())
    return int.from_bytes(digest.digest(), "big")


def outbound_request(
    request: BaseRequest, call: Call, body: CallBody, now: float
) -> OutboundRequest:
    """Build the request that is sent to upstreams."""
    headers = end_to_end_headers(request.headers, _STRIPPED_HEADERS)
    forwarded_for = request.remote or "unknown"
    previous = headers.get("X-Forwarded-For")
    headers["X-Forwarded-For"] = f"{previous}, {forwarded_for}" if previous else forwarded_for
    headers["X-Forwarded-Proto"] = request.scheme
    headers.setdefault("X-Forwarded-Host", request.headers.get("Host", ""))
    headers.add("Via", "1.1 heatherhead")
    headers[DEADLINE_MS] = str(remaining_ms(call.deadline, now))
    headers[SERVICE] = call.service
    outbound = OutboundRequest(
        call.method, call.target, headers, own_connection=not call.idempotent
    )
    if body.stream is not None:
        if request.content_length is not None:
            headers["Content-Length"] = str(request.content_length)
        outbound.body = body.stream.chunks()
    elif body.buffered is not None or "Content-Length" in request.headers:
        outbound.body = body.buffered or b""
    return outbound
