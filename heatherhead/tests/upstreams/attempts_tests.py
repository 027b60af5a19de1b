"""Integration tests of `heatherhead.upstreams.attempts` with a complete instance."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest
from aiohttp import web

from heatherhead.calls import AttemptState, UpstreamSignal
from heatherhead.tests.callers.fakes import (
    FakeUpstream,
    InstanceHarness,
    raw_upstream,
    respond_not_run,
    respond_when_allowed,
    run_with_shifted_clock,
    running_instance,
)
from heatherhead.tests.upstreams.fakes import PlainRouter
from heatherhead.upstreams.answers import NEW_CONNECTION_MAX_CALLS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

NO_KEYS: dict[str, Any] = {"key_required": False}


async def _read_and_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close the connection after reading the request, like an upstream that crashes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_unreachable_upstream_is_skipped(method: str) -> None:
    async def main() -> None:
        refusing = socket.socket()
        # Bound for all of the test, so that the instance itself isn't given the port.
        refusing.bind(("127.0.0.1", 0))
        extra_ports = [refusing.getsockname()[1]]
        async with running_instance(None, extra_ports=extra_ports, service=NO_KEYS) as here:
            router = PlainRouter(here)
            for _ in range(4):
                async with here.session.request(method, here.url) as answer:
                    assert answer.status == 200
            assert [each.state for each in router.results[:2]] == [
                AttemptState.NOT_SENT,
                AttemptState.ANSWERED,
            ]
            assert len(here.upstreams[0].seen) == 4
        refusing.close()

    run_with_shifted_clock(main())


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_refused_call_is_retried_on_another_upstream(method: str) -> None:
    async def main() -> None:
        async with running_instance(respond_not_run, respond_not_run, service=NO_KEYS) as here:
            here.upstreams[1].respond = None
            router = PlainRouter(here)
            for _ in range(3):
                async with here.session.request(method, here.url, data=b"abc") as answer:
                    assert answer.status == 200
            assert [each.state for each in router.results[:2]] == [
                AttemptState.REFUSED,
                AttemptState.ANSWERED,
            ]
            assert router.results[0].signal is UpstreamSignal.SHEDDING
            assert router.open_slots == 0
            assert here.upstreams[1].bodies == [b"abc"] * 3

    run_with_shifted_clock(main())


def test_partly_sent_body_is_not_sent_again() -> None:
    async def refuse_after_body(
        upstream: FakeUpstream, request: web.BaseRequest
    ) -> web.StreamResponse:
        await request.read()
        return await respond_not_run(upstream, request)

    async def body() -> AsyncIterator[bytes]:
        yield b"abc"

    async def main() -> None:
        async with running_instance(refuse_after_body, None, service=NO_KEYS) as here:
            PlainRouter(here)
            async with here.session.post(here.url, data=body()) as answer:
                assert answer.status == 503
                assert (await answer.json())["outcome"] == "not-run"
            assert here.upstreams[1].seen == []

    run_with_shifted_clock(main())


def test_refusal_after_an_unknown_attempt_stays_unknown() -> None:
    async def main() -> None:
        async with (
            raw_upstream(_read_and_close) as port,
            running_instance(respond_not_run, extra_ports=[port]) as here,
        ):
            PlainRouter(here)
            async with here.session.get(here.url) as answer:
                assert answer.status == 502
                assert (await answer.json())["outcome"] == "unknown"
                assert "Heatherhead-Not-Run" not in answer.headers
            assert len(here.upstreams[0].seen) == 1

    run_with_shifted_clock(main())


@pytest.mark.parametrize("keyed", [False, True])
@pytest.mark.parametrize(
    ("status", "marked"),
    [(408, False), (421, False), (429, False), (503, False), (408, True), (429, True)],
)
def test_status_of_an_upstream_that_ran_the_call_is_passed_on_with_a_promise(
    status: int, marked: bool, keyed: bool
) -> None:
    """Did not show: the promise is a header, which is passed on of no upstream."""

    async def run_and_fail(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.Response:
        headers = {"Heatherhead-Not-Run": "true"} if marked else {}
        return web.Response(status=status, text="ran", headers=headers)

    async def main() -> None:
        async with running_instance(
            run_and_fail, run_and_fail, service={"key_required": keyed}
        ) as here:
            PlainRouter(here)
            headers = {"Idempotency-Key": f"{await here.request_grant()}.1"} if keyed else {}
            for _ in range(1 + keyed):
                async with here.session.post(here.url, headers=headers) as answer:
                    assert answer.status == status
                    assert "Heatherhead-Not-Run" not in answer.headers
                    assert await answer.text() == "ran"
            assert [len(each.seen) for each in here.upstreams] == [1, 0]

    run_with_shifted_clock(main())


def test_gateway_failures_are_marked_as_final() -> None:
    async def fail(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.Response:
        return web.Response(status=502)

    async def main() -> None:
        async with running_instance(fail) as here, here.session.get(here.url) as answer:
            assert answer.status == 502
            assert answer.headers["Heatherhead-No-Retry"] == "true"

    run_with_shifted_clock(main())


def test_call_refused_by_all_is_reported_as_not_run() -> None:
    async def main() -> None:
        async with (running_instance(respond_not_run, respond_not_run, service=NO_KEYS) as here,):
            PlainRouter(here)
            async with here.session.post(here.url) as answer:
                assert answer.status == 503
                assert (await answer.json())["outcome"] == "not-run"
                assert answer.headers["Heatherhead-No-Retry"] == "true"
            assert [len(each.seen) for each in here.upstreams] == [1, 1]

    run_with_shifted_clock(main())


@pytest.mark.parametrize(
    ("method", "path", "status", "outcome"),
    [
        ("POST", "/", 502, "unknown"),
        ("GET", "/", 200, None),
        ("POST", "/read/1", 200, None),
        ("GET", "/once/1", 502, "unknown"),
    ],
)
def test_only_idempotent_calls_are_retried_if_the_outcome_is_unknown(
    method: str, path: str, status: int, outcome: str | None
) -> None:
    rules = [
        {"path_prefix": "/read", "idempotent": True},
        {"path_prefix": "/once", "idempotent": False},
    ]

    async def main() -> None:
        async with (
            raw_upstream(_read_and_close) as port,
            running_instance(
                None, extra_ports=[port], service={**NO_KEYS, "path_rules": rules}
            ) as here,
        ):
            router = PlainRouter(here)
            reported = set()
            for _ in range(3):
                async with here.session.request(method, here.url + path) as answer:
                    if answer.status != 200:
                        reported.add((answer.status, (await answer.json())["outcome"]))
            assert reported == ({(status, outcome)} if outcome else set())
            assert router.results[0].state is AttemptState.UNKNOWN
            assert router.results[0].signal is UpstreamSignal.DIED
            assert router.open_slots == 0

    run_with_shifted_clock(main())


def test_retries_stay_within_the_budget() -> None:
    async def main() -> None:
        async with running_instance(
            _fail, _fail, service={**NO_KEYS, "retry_share": 0.1}, admission={"retry_burst": 3}
        ) as here:
            PlainRouter(here)
            for _ in range(40):
                async with here.session.get(here.url) as answer:
                    assert answer.status == 503
            seen = sum(len(each.seen) for each in here.upstreams)
            assert seen == 40 + 3 + 3

    run_with_shifted_clock(main())


async def _fail(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.Response:
    return web.Response(status=503)


def test_final_failure_is_not_retried() -> None:
    async def fail_marked(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.Response:
        return web.Response(status=503, headers={"Heatherhead-No-Retry": "true"})

    async def main() -> None:
        async with running_instance(fail_marked, fail_marked) as here:
            PlainRouter(here)
            async with here.session.get(here.url) as answer:
                assert answer.status == 503
                assert answer.headers["Heatherhead-No-Retry"] == "true"
            assert sum(len(each.seen) for each in here.upstreams) == 1

    run_with_shifted_clock(main())


def test_hedge_wins_and_the_loser_is_cancelled() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed, respond_when_allowed) as here:
            router = PlainRouter(here, 0.0)
            call = asyncio.create_task(here.session.get(here.url + "/slow"))
            for upstream in here.upstreams:
                await upstream.arrived.wait()
            winner = here.upstreams[1]
            winner.answer_allowed.set()
            async with await call as answer:
                assert await answer.text() == "late"
            await here.upstreams[0].call_cancelled.wait()
            assert here.upstreams[0].cancelled == 1
            assert [each.cancelled for each in router.results] == [True, False]

    run_with_shifted_clock(main())


def test_first_attempt_wins_and_the_hedge_is_cancelled() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed, respond_when_allowed) as here:
            router = PlainRouter(here, 0.0)
            call = asyncio.create_task(here.session.get(here.url + "/slow"))
            for upstream in here.upstreams:
                await upstream.arrived.wait()
            here.upstreams[0].answer_allowed.set()
            async with await call as answer:
                assert await answer.text() == "late"
            await here.upstreams[1].call_cancelled.wait()
            assert router.open_slots == 0

    run_with_shifted_clock(main())


@pytest.mark.parametrize(
    ("method", "body", "share"), [("POST", None, 0.5), ("PUT", b"a", 0.5), ("GET", None, 0)]
)
def test_no_hedge_for_bodies_for_non_idempotent_calls_or_without_budget(
    method: str, body: bytes | None, share: float
) -> None:
    async def main() -> None:
        async with running_instance(
            respond_when_allowed, respond_when_allowed, service={**NO_KEYS, "hedge_share": share}
        ) as here:
            PlainRouter(here, 0.0)
            call = asyncio.create_task(here.session.request(method, here.url, data=body))
            await _first_arrival(here)
            for _ in range(100):
                await asyncio.sleep(0)
            assert sum(len(each.seen) for each in here.upstreams) == 1
            for upstream in here.upstreams:
                upstream.answer_allowed.set()
            async with await call as answer:
                assert answer.status == 200

    run_with_shifted_clock(main())


def test_no_hedge_beyond_the_ratio_that_operators_set() -> None:
    """One call allows less than one hedge, whatever `hedge_share` has left."""

    async def main() -> None:
        async with running_instance(
            respond_when_allowed,
            respond_when_allowed,
            service={**NO_KEYS, "hedge_share": 0.5},
            routing={"hedge_ratio": 0.5},
        ) as here:
            PlainRouter(here, 0.0)
            call = asyncio.create_task(here.session.get(here.url))
            await _first_arrival(here)
            for _ in range(100):
                await asyncio.sleep(0)
            assert sum(len(each.seen) for each in here.upstreams) == 1
            for upstream in here.upstreams:
                upstream.answer_allowed.set()
            async with await call as answer:
                assert answer.status == 200

    run_with_shifted_clock(main())


async def _first_arrival(here: InstanceHarness) -> None:
    waits = [asyncio.create_task(each.arrived.wait()) for each in here.upstreams]
    _, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()


@pytest.mark.parametrize(
    ("headers", "signal"),
    [
        ({"Connection": "close"}, UpstreamSignal.DRAINING),
        ({"Heatherhead-Draining": "true"}, UpstreamSignal.DRAINING),
        ({}, UpstreamSignal.NONE),
    ],
)
def test_signal_and_load_of_an_answer_reach_routing(
    headers: dict[str, str], signal: UpstreamSignal
) -> None:
    async def respond(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.Response:
        return web.Response(headers={**headers, "Heatherhead-Load": "7"})

    async def main() -> None:
        async with running_instance(respond) as here:
            router = PlainRouter(here)
            async with here.session.get(here.url) as answer:
                assert answer.status == 200
            assert router.results[0].signal is signal
            assert router.results[0].report is not None
            assert router.results[0].report.in_flight == 7

    run_with_shifted_clock(main())


def test_close_of_an_old_connection_is_not_a_sign_of_draining() -> None:
    async def close_the_last(upstream: FakeUpstream, _request: web.BaseRequest) -> web.Response:
        last = len(upstream.seen) > NEW_CONNECTION_MAX_CALLS
        return web.Response(headers={"Connection": "close"} if last else {})

    async def main() -> None:
        async with running_instance(close_the_last) as here:
            router = PlainRouter(here)
            for _ in range(NEW_CONNECTION_MAX_CALLS + 2):
                async with here.session.get(here.url) as answer:
                    assert answer.status == 200
            signals = [each.signal for each in router.results]
            assert signals[-2:] == [UpstreamSignal.NONE, UpstreamSignal.DRAINING]

    run_with_shifted_clock(main())


def test_upstream_removed_from_configuration_finishes_its_calls_and_gets_no_new_ones() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed, None) as here:
            first, second = here.upstreams
            held = []
            arrived = asyncio.create_task(first.arrived.wait())
            while not arrived.done():
                held.append(asyncio.create_task(here.session.get(here.url)))
                await asyncio.wait([held[-1], arrived], return_when=asyncio.FIRST_COMPLETED)
            replica = here.assembly.replica
            service = replica.service("orders")
            assert service is not None
            kept = tuple(each for each in service.upstreams if each.port == second.port)
            record = replace(
                replica.by_name["orders"],
                revision=replica.revision + 1,
                service=replace(service, upstreams=kept),
            )
            assert replica.apply(record)
            before = len(first.seen)
            for _ in range(5):
                async with here.session.get(here.url) as answer:
                    assert await answer.text() == "hello"
            assert len(first.seen) == before
            first.answer_allowed.set()
            for call in held:
                async with await call as answer:
                    assert answer.status == 200

    run_with_shifted_clock(main())


def test_refusal_of_a_hedge_cancels_the_attempt_that_runs() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed, respond_not_run) as here:
            _first, second = here.upstreams
            PlainRouter(here, 0.0)
            call = asyncio.create_task(here.session.get(here.url + "/slow"))
            await second.arrived.wait()
            await asyncio.sleep(0.05)
            assert here.upstreams[0].cancelled == 0
            here.upstreams[0].answer_allowed.set()
            async with await call as answer:
                assert await answer.text() == "late"
            assert len(here.upstreams[0].seen) == 1

    run_with_shifted_clock(main())


def test_refusal_of_the_first_attempt_cancels_the_hedge_that_runs() -> None:
    refuse = asyncio.Event()

    async def refuse_late(upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        await refuse.wait()
        return await respond_not_run(upstream, request)

    async def main() -> None:
        async with running_instance(refuse_late, respond_when_allowed) as here:
            PlainRouter(here, 0.0)
            call = asyncio.create_task(here.session.get(here.url + "/slow"))
            await here.upstreams[1].arrived.wait()
            refuse.set()
            await asyncio.sleep(0.05)
            assert here.upstreams[1].cancelled == 0
            here.upstreams[1].answer_allowed.set()
            async with await call as answer:
                assert await answer.text() == "late"
            assert len(here.upstreams[1].seen) == 1

    run_with_shifted_clock(main())


def test_upstream_that_refused_a_hedged_call_gets_it_again() -> None:
    refuse = asyncio.Event()

    async def refuse_late(upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        await refuse.wait()
        return await respond_not_run(upstream, request)

    async def main() -> None:
        async with running_instance(refuse_late, refuse_late, None) as here:
            PlainRouter(here, 0.0)
            call = asyncio.create_task(here.session.get(here.url + "/slow"))
            await here.upstreams[1].arrived.wait()
            refuse.set()
            async with await call as answer:
                assert await answer.text() == "hello"
            assert [len(each.seen) for each in here.upstreams] == [1, 1, 1]

    run_with_shifted_clock(main())
