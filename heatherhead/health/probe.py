"""Sends a health check to an upstream and interprets the answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import aiohttp
from multidict import CIMultiDict

from heatherhead.calls import UpstreamSignal
from heatherhead.routing.health import (
    HealthDraining,
    HealthInconclusive,
    HealthPassing,
    HealthUnanswered,
    HealthUnreachable,
)
from heatherhead.upstreams.answers import load_report, signal_of_answer
from heatherhead.upstreams.client import Attempt, Destination, OutboundRequest

if TYPE_CHECKING:
    from aiohttp import ClientResponse

    from heatherhead.configuration.model import Upstream
    from heatherhead.routing.health import HealthFinding
    from heatherhead.upstreams.client import UpstreamClient

__all__ = ["HealthProbe", "Probe", "ProbeResult", "create_health_probe"]

HEALTHY_STATUSES = range(200, 300)
UNAVAILABLE_STATUS = 503
MAX_BODY_BYTES = 1024  # a longer body is not read
LINE_END_BYTES = 2
SEPARATOR_BYTES = 2


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Finding of a check, with the bytes of its request and answer."""

    finding: HealthFinding
    bytes_used: int


class Probe(Protocol):
    """Interface of the health check of one upstream."""

    async def check(self, upstream: Upstream, path: str) -> ProbeResult:
        """Check the health of an upstream; failures are findings and are not raised."""
        ...


class HealthProbe:
    """Sends health checks as `GET` requests, each on a connection of its own.

    On one that calls have used, a late copy of a call's answer could be taken for the check's.
    """

    def __init__(self, client: UpstreamClient, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s
        self._loop = asyncio.get_running_loop()

    async def check(self, upstream: Upstream, path: str) -> ProbeResult:
        """Check the health of an upstream; see `Probe.check`."""
        sent_at = self._loop.time()
        request = _request(upstream, path)
        destination = Destination(upstream.host, upstream.port, upstream.id)
        attempt = Attempt(sent_at + self._timeout_s)
        answer_bytes = 0
        broke_off = False
        try:
            async with asyncio.timeout_at(attempt.deadline):
                await self._client.send(destination, request, attempt)
                if attempt.answer is not None:
                    answer_bytes = await _read_answer(attempt.answer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            broke_off = True
            _close_answer(attempt)
        except BaseException:
            _close_answer(attempt)
            raise
        request_bytes = _request_bytes(request) if attempt.sent else 0
        finding = _finding(attempt, sent_at)
        if broke_off and isinstance(finding, HealthPassing):
            finding = HealthUnanswered(sent_at)
        return ProbeResult(finding, request_bytes + answer_bytes)


def _request(upstream: Upstream, path: str) -> OutboundRequest:
    host = f"[{upstream.host}]" if ":" in upstream.host else upstream.host
    headers = CIMultiDict({"Host": f"{host}:{upstream.port}"})
    return OutboundRequest("GET", path, headers, own_connection=True)


async def _read_answer(answer: ClientResponse) -> int:
    """Read a short body, so that the upstream sees no reset; return the answer's size."""
    size = _head_bytes(answer)
    length = answer.content_length
    if length is None or length > MAX_BODY_BYTES:
        answer.close()
        return size
    return size + len(await answer.read())


def _close_answer(attempt: Attempt) -> None:
    if attempt.answer is not None:
        attempt.answer.close()


def _finding(attempt: Attempt, sent_at: float) -> HealthFinding:
    answer = attempt.answer
    if answer is None:
        if attempt.signal is UpstreamSignal.DRAINING:
            return HealthUnreachable(sent_at)
        return HealthUnanswered(sent_at)
    report = load_report(answer, sent_at)
    if signal_of_answer(answer, attempt.connection_calls) is UpstreamSignal.DRAINING:
        return HealthDraining(sent_at, announced=True, report=report)
    if answer.status == UNAVAILABLE_STATUS:
        return HealthDraining(sent_at, report=report)
    if answer.status in HEALTHY_STATUSES:
        return HealthPassing(sent_at, report)
    return HealthInconclusive(sent_at, answer.status)


def _request_bytes(request: OutboundRequest) -> int:
    first_line = len(f"{request.method} {request.target} HTTP/1.1") + LINE_END_BYTES
    headers = sum(
        len(name) + SEPARATOR_BYTES + len(value) + LINE_END_BYTES
        for name, value in request.headers.items()
    )
    return first_line + headers + LINE_END_BYTES


def _head_bytes(answer: ClientResponse) -> int:
    first_line = len(f"HTTP/1.1 {answer.status} {answer.reason or ''}") + LINE_END_BYTES
    headers = sum(
        len(name) + SEPARATOR_BYTES + len(value) + LINE_END_BYTES
        for name, value in answer.raw_headers
    )
    return first_line + headers + LINE_END_BYTES


def create_health_probe(client: UpstreamClient, timeout_s: float) -> HealthProbe:
    """Create a probe; must be called with an event loop running."""
    return HealthProbe(client, timeout_s)
