"""Tests of which requests are held responsible for the crashes of upstreams."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING, Any

from heatherhead.proxy.forwarder import CRASH_CHECK_DELAY_S
from heatherhead.proxy.upstream_pool import ConnectError
from heatherhead.tests.proxy.fakes import EntryPath, answer, request, run_servers, status_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

UPSTREAMS = 6
CALLS = 12  # of one page; two for each upstream, half of its slots
PAGE = "/read/x"
OTHER_PAGE = "/read/other"


class _CrashingUpstream:
    """Answers requests, those of the page once it is released; a crash breaks its connections."""

    def __init__(self) -> None:
        self.running = 0
        self.crashes_on = ""  # a target
        self.crashed = False
        self.released = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                self.running += 1
                if target == self.crashes_on:
                    self.crash()
                if target == PAGE:
                    await self.released.wait()
                self.running -= 1
                request_id = re.search(r"Request-Id: (\S+)", head)
                assert request_id is not None
                writer.write(answer(request_id[1]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Break all connections; new ones are refused from now on."""
        self.crashed = True
        for writer in list(self._writers):
            writer.transport.abort()


def _run(scenario: Callable[[EntryPath, list[_CrashingUpstream]], Awaitable[None]]) -> None:
    async def refusing(path: EntryPath, upstreams: list[_CrashingUpstream]) -> None:
        path.configure()
        ports = path.port_by_upstream.values()
        upstream_by_port = dict(zip(ports, upstreams, strict=True))
        connect = path.pool._open

        async def refuse_crashed(address: Any, *arguments: Any, **named: Any) -> Any:
            if upstream_by_port[address.port].crashed:
                raise ConnectError("refused")
            return await connect(address, *arguments, **named)

        path.pool._open = refuse_crashed  # type: ignore[method-assign]
        await scenario(path, upstreams)

    servers = [_CrashingUpstream() for _ in range(UPSTREAMS)]
    run_servers(refusing, servers, [(f"u{number}",) for number in range(UPSTREAMS)])


async def _crash_during_page(
    path: EntryPath, upstreams: list[_CrashingUpstream], crashed: int
) -> Any:
    """Crash some of the upstreams while all are at work on the page; return its calls."""
    calls = asyncio.gather(*(path.send(request(PAGE, request_id=f"r{n}")) for n in range(CALLS)))
    while sum(upstream.running for upstream in upstreams) < CALLS:
        await asyncio.sleep(0.005)
    for upstream in upstreams[:crashed]:
        assert upstream.running
        upstream.crash()
    return calls


def test_page_in_flight_at_two_upstreams_that_crash_is_quarantined() -> None:
    """Each broken attempt counted as the crash of an upstream: four, though two had crashed."""

    async def scenario(path: EntryPath, upstreams: list[_CrashingUpstream]) -> None:
        calls = await _crash_during_page(path, upstreams, crashed=2)
        await asyncio.sleep(CRASH_CHECK_DELAY_S / 2)
        await path.send(request(OTHER_PAGE, request_id="other"))
        await asyncio.sleep(2 * CRASH_CHECK_DELAY_S)
        assert max(report.crashes for report in path.crash_reports) == 2
        later = asyncio.create_task(path.send(request(PAGE, request_id="later")))
        await asyncio.sleep(0.05)
        for upstream in upstreams:
            upstream.released.set()
        assert status_of(await later) == 200
        assert {status_of(each) for each in await calls} == {200}

    _run(scenario)


def test_page_that_is_answered_while_its_crashes_are_verified_is_quarantined() -> None:
    """Only answers after the check counted, 0.15 s later than those to the retries."""

    async def scenario(path: EntryPath, upstreams: list[_CrashingUpstream]) -> None:
        calls = await _crash_during_page(path, upstreams, crashed=3)
        for upstream in upstreams:
            upstream.released.set()
        assert {status_of(each) for each in await calls} == {200}
        await asyncio.sleep(2 * CRASH_CHECK_DELAY_S)
        assert status_of(await path.send(request(PAGE, request_id="later"))) == 200
        assert path.crash_reports == []

    _run(scenario)


def test_request_that_crashes_three_upstreams_is_rejected() -> None:
    async def scenario(path: EntryPath, upstreams: list[_CrashingUpstream]) -> None:
        for upstream in upstreams:
            upstream.crashes_on = "/read/poison"
        for number in range(2):
            await path.send(request("/read/poison", request_id=f"p{number}"))
            await path.send(request(OTHER_PAGE, request_id=f"r{number}"))
            await asyncio.sleep(2 * CRASH_CHECK_DELAY_S)
        crashed = sum(upstream.crashed for upstream in upstreams)
        assert crashed == 4  # two attempts for each call
        assert status_of(await path.send(request("/read/poison", request_id="p9"))) == 503
        assert crashed == sum(upstream.crashed for upstream in upstreams)
        assert status_of(await path.send(request(OTHER_PAGE, request_id="later"))) == 200

    _run(scenario)
