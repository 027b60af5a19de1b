"""Tests of `heatherhead.health.probe` against upstreams on the loopback interface."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from heatherhead.configuration.model import Upstream
from heatherhead.health.probe import MAX_BODY_BYTES, ProbeResult, create_health_probe
from heatherhead.routing.health import (
    HealthDraining,
    HealthInconclusive,
    HealthPassing,
    HealthUnanswered,
    HealthUnreachable,
)
from heatherhead.settings.admission import AdmissionSettings
from heatherhead.tests.callers.fakes import raw_upstream, run_with_shifted_clock
from heatherhead.tests.truncating_server import INVALID_STATUSES, End, TruncatingServer
from heatherhead.upstreams.client import create_upstream_client

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.health.probe import HealthProbe
    from heatherhead.routing.health import HealthFinding

TIMEOUT_S = 5.0


def _upstream(port: int) -> Upstream:
    return Upstream("u1", "127.0.0.1", port)


def _run(
    answer: bytes | None,
    scenario: Callable[[HealthProbe, Upstream, list[bytes]], Awaitable[None]],
    timeout_s: float = TIMEOUT_S,
) -> None:
    """Run a scenario with an upstream that sends `answer` to each request, or no answer."""
    heads: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def main() -> None:
        client = create_upstream_client(AdmissionSettings())
        async with raw_upstream(serve) as port:
            await scenario(create_health_probe(client, timeout_s), _upstream(port), heads)
        await client.close()

    run_with_shifted_clock(main())


@pytest.mark.parametrize(
    ("head", "expected"),
    [
        (b"200 OK", HealthPassing),
        (b"503 Busy", HealthDraining),
        (b"404 No", HealthInconclusive),
        (b"500 Oops", HealthInconclusive),
    ],
)
def test_status_determines_the_finding_and_all_bytes_are_counted(
    head: bytes, expected: type
) -> None:
    answer = b"HTTP/1.1 " + head + b"\r\nHeatherhead-Load: 3\r\nContent-Length: 2\r\n\r\nok"

    async def scenario(probe: HealthProbe, upstream: Upstream, heads: list[bytes]) -> None:
        result = await probe.check(upstream, "/health")
        assert type(result.finding) is expected
        assert heads[0].startswith(b"GET /health HTTP/1.1\r\n")
        assert result.bytes_used == len(heads[0]) + len(answer)
        if isinstance(result.finding, HealthPassing | HealthDraining):
            assert result.finding.report is not None
            assert result.finding.report.in_flight == 3

    _run(answer, scenario)


@pytest.mark.parametrize("header", [b"Heatherhead-Draining: true", b"Connection: close"])
def test_headers_announce_a_drain(header: bytes) -> None:
    async def scenario(probe: HealthProbe, upstream: Upstream, _heads: list[bytes]) -> None:
        finding = (await probe.check(upstream, "/health")).finding
        assert isinstance(finding, HealthDraining)
        assert finding.announced

    _run(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + header + b"\r\n\r\n", scenario)


def test_a_long_body_is_not_read() -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)

    async def scenario(probe: HealthProbe, upstream: Upstream, heads: list[bytes]) -> None:
        result: ProbeResult = await probe.check(upstream, "/health")
        assert isinstance(result.finding, HealthPassing)
        assert result.bytes_used == len(heads[0]) + len(head)

    _run(head, scenario)


def test_missing_answer_within_the_timeout_is_silent() -> None:
    async def scenario(probe: HealthProbe, upstream: Upstream, heads: list[bytes]) -> None:
        result = await probe.check(upstream, "/health")
        assert isinstance(result.finding, HealthUnanswered)
        assert result.bytes_used == len(heads[0])

    _run(None, scenario, timeout_s=0.05)


def test_upstream_that_closes_the_connection_is_silent() -> None:
    async def hang_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def main() -> None:
        client = create_upstream_client(AdmissionSettings())
        async with raw_upstream(hang_up) as port:
            probe = create_health_probe(client, TIMEOUT_S)
            finding = (await probe.check(_upstream(port), "/health")).finding
            assert isinstance(finding, HealthUnanswered)
        await client.close()

    run_with_shifted_clock(main())


def test_a_refused_connection_is_gone_and_costs_no_bytes() -> None:
    async def main() -> None:
        client = create_upstream_client(AdmissionSettings())
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            probe = create_health_probe(client, TIMEOUT_S)
            result = await probe.check(_upstream(bound.getsockname()[1]), "/health")
        assert isinstance(result.finding, HealthUnreachable)
        assert result.bytes_used == 0
        await client.close()

    run_with_shifted_clock(main())


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_is_a_finding(status: str) -> None:
    async def scenario(probe: HealthProbe, upstream: Upstream, _heads: list[bytes]) -> None:
        finding = (await probe.check(upstream, "/health")).finding
        assert isinstance(finding, HealthUnanswered)

    _run(b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % status.encode(), scenario)


def _find_truncated(answer: bytes, end: End) -> HealthFinding:
    """Return the finding of a check whose answer ends early."""
    findings: list[HealthFinding] = []

    async def main() -> None:
        client = create_upstream_client(AdmissionSettings())
        async with TruncatingServer(answer, end) as server:
            probe = create_health_probe(client, TIMEOUT_S)
            findings.append((await probe.check(_upstream(server.port), "/health")).finding)
        await client.close()

    run_with_shifted_clock(main())
    return findings[0]


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
@pytest.mark.parametrize("end", [End.RESET, End.ORDERLY])
def test_check_passes_whose_answer_broke_off(end: End, version: bytes) -> None:
    """Its upstream may be crashing; a head that says that it drains is believed."""
    body = b"Content-Length: 3\r\n\r\nok"
    finding = _find_truncated(version + b" 200 OK\r\n" + body, end)
    assert isinstance(finding, HealthUnanswered)
    draining = version + b" 200 OK\r\nHeatherhead-Draining: true\r\n" + body
    assert isinstance(_find_truncated(draining, end), HealthDraining)


@pytest.mark.parametrize("end", [End.RESET, End.ORDERLY])
def test_body_without_a_length_is_read(end: End) -> None:
    """The head alone tells the finding, as for a long body."""
    assert isinstance(_find_truncated(b"HTTP/1.1 200 OK\r\n\r\nok", end), HealthPassing)
