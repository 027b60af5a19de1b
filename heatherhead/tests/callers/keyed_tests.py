"""Tests of calls that run at most once."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest
from aiohttp import web

from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.tests.callers.fakes import (
    FakeUpstream,
    Stand,
    hold,
    raw_upstream,
    refuse,
    run_shifted,
    settings_for,
    stand,
    started,
)

if TYPE_CHECKING:
    from heatherhead.assembly import Assembly


async def post(here: Stand, key: str, url: str = "", **options: Any) -> tuple[int, str, Any]:
    """Send an order; gives status, outcome (`ran` for an answer) and headers."""
    headers = {"Idempotency-Key": key, **options.pop("headers", {})}
    data = options.pop("data", b"crisps")
    target = (url or here.url) + "/orders"
    async with here.session.post(target, headers=headers, data=data, **options) as answer:
        body = await answer.read()
        if answer.content_type == "application/problem+json":
            return answer.status, json.loads(body)["outcome"], answer.headers
        return answer.status, body.decode(), answer.headers


def test_resend_after_the_run_gets_the_recorded_answer() -> None:
    async def main() -> None:
        async with stand(_count) as here:
            key = f"{await here.grant()}.order-1"
            status, body, headers = await post(here, key)
            assert (status, body) == (201, "run 1")
            assert "Heatherhead-Replayed" not in headers
            status, body, headers = await post(here, key)
            assert (status, body, headers["X-Kept"]) == (201, "run 1", "yes")
            assert headers["Heatherhead-Replayed"] == "true"
            assert len(here.upstreams[0].seen) == 1
            assert (await post(here, f"{key}-2"))[1] == "run 2"

    run_shifted(main())


async def _count(upstream: FakeUpstream, request: web.BaseRequest) -> web.Response:
    await request.read()
    text = f"run {len(upstream.seen)}"
    return web.Response(status=201, text=text, headers={"X-Kept": "yes"})


def test_resend_during_the_run_waits_for_its_answer() -> None:
    async def main() -> None:
        async with stand(hold) as here:
            key = f"{await here.grant()}.order-1"
            first = asyncio.create_task(post(here, key))
            await here.upstreams[0].arrived.wait()
            second = asyncio.create_task(post(here, key))
            while here.assembly.state.in_progress < 3:  # both calls, and the run
                await asyncio.sleep(0)
            here.upstreams[0].go.set()
            assert (await first)[1] == (await second)[1] == "late"
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_run_goes_on_when_its_caller_leaves() -> None:
    async def main() -> None:
        async with stand(hold) as here:
            key = f"{await here.grant()}.order-1"
            first = asyncio.create_task(post(here, key))
            await here.upstreams[0].arrived.wait()
            first.cancel()
            while here.assembly.state.in_progress > 1:
                await asyncio.sleep(0)
            here.upstreams[0].go.set()
            await here.assembly.state.wait_idle()
            assert here.upstreams[0].cancelled == 0
            assert (await post(here, key))[1] == "late"
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_deadline_during_the_run_is_unknown_and_a_resend_gets_the_answer() -> None:
    async def main() -> None:
        async with stand(hold) as here:
            key = f"{await here.grant()}.order-1"
            first = asyncio.create_task(post(here, key))
            await here.upstreams[0].arrived.wait()
            asyncio.get_running_loop().advance(31)  # type: ignore[attr-defined]
            assert (await first)[:2] == (504, "unknown")
            here.upstreams[0].go.set()
            await here.assembly.state.wait_idle()
            assert (await post(here, key))[1] == "late"

    run_shifted(main())


def test_deadline_of_a_resend_that_waits_for_the_run_is_unknown() -> None:
    async def main() -> None:
        async with stand(hold) as here:
            key = f"{await here.grant()}.order-1"
            patient = {"Heatherhead-Deadline-Ms": "90000"}
            first = asyncio.create_task(post(here, key, headers=patient))
            await here.upstreams[0].arrived.wait()
            second = asyncio.create_task(post(here, key))
            while here.assembly.state.in_progress < 3:
                await asyncio.sleep(0)
            asyncio.get_running_loop().advance(31)  # type: ignore[attr-defined]
            assert (await second)[:2] == (504, "unknown")
            here.upstreams[0].go.set()
            assert (await first)[1] == "late"

    run_shifted(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_call_given_up_in_the_queue_closes_its_key(leaves: bool) -> None:
    async def main() -> None:
        async with stand(hold, slots=1) as here:
            grant = await here.grant()
            patient = {"Heatherhead-Deadline-Ms": "90000"}
            first = asyncio.create_task(post(here, f"{grant}.order-1", headers=patient))
            await here.upstreams[0].arrived.wait()
            headers = patient if leaves else {}
            second = asyncio.create_task(post(here, f"{grant}.order-2", headers=headers))
            while here.assembly.state.in_progress < 4:
                await asyncio.sleep(0)
            if leaves:
                second.cancel()
            else:
                asyncio.get_running_loop().advance(31)  # type: ignore[attr-defined]
                assert (await second)[:2] == (504, "not-run")
            while here.assembly.state.in_progress > 2:
                await asyncio.sleep(0)
            here.upstreams[0].go.set()
            assert (await first)[1] == "late"
            assert (await post(here, f"{grant}.order-2"))[:2] == (409, "not-run")
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_refused_call_closes_its_key() -> None:
    async def main() -> None:
        async with stand(refuse) as here:
            key = f"{await here.grant()}.order-1"
            status, outcome, headers = await post(here, key)
            assert (status, outcome, headers["Heatherhead-Not-Run"]) == (503, "not-run", "true")
            here.upstreams[0].respond = None
            assert (await post(here, key))[:2] == (409, "not-run")
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_upstream_that_dies_leaves_the_key_unknown() -> None:
    async def crash(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def main() -> None:
        async with raw_upstream(crash) as port, stand(extra_ports=[port]) as here:
            key = f"{await here.grant()}.order-1"
            assert (await post(here, key))[:2] == (502, "unknown")
            assert (await post(here, key))[:2] == (502, "unknown")

    run_shifted(main())


@pytest.mark.parametrize("chunked", [True, False])
def test_large_answer_is_streamed_once_and_then_told_as_ran(chunked: bool) -> None:
    size = 300_000

    async def answer(_upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        if not chunked:
            return web.Response(body=b"a" * size)
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(3):
            await response.write(b"a" * (size // 3))
        await response.write_eof()
        return response

    async def main() -> None:
        async with stand(answer) as here:
            key = f"{await here.grant()}.order-1"
            status, body, _ = await post(here, key)
            assert (status, len(body)) == (200, size)
            assert (await post(here, key))[:2] == (409, "ran")
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_streamed_upload_runs_once() -> None:
    async def parts() -> Any:
        for _ in range(30):
            yield b"p" * 10_000

    async def main() -> None:
        async with stand(_size) as here:
            key = f"{await here.grant()}.photo"
            assert (await post(here, key, data=parts()))[1] == "300000"
            assert (await post(here, key, data=parts()))[1] == "300000"
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


async def _size(_upstream: FakeUpstream, request: web.BaseRequest) -> web.Response:
    return web.Response(text=str(len(await request.read())))


@pytest.mark.parametrize(
    ("change", "told"),
    [
        (lambda key: None, (428, "not-run")),
        (lambda key: "no-grant", (400, "not-run")),
        (lambda key: key[:-12] + "A" * 4 + key[-8:], (403, "not-run")),
    ],
)
def test_missing_malformed_and_forged_keys(change: Any, told: tuple[int, str]) -> None:
    async def main() -> None:
        async with stand(None) as here:
            key = change(f"{await here.grant()}.order-1")
            headers = {"Idempotency-Key": key} if key else {}
            async with here.session.post(here.url + "/orders", headers=headers) as answer:
                assert (answer.status, (await answer.json())["outcome"]) == told
            assert here.upstreams[0].seen == []

    run_shifted(main())


def test_expired_grant_is_not_run_and_a_new_one_works() -> None:
    async def main() -> None:
        async with stand(None) as here:
            key = f"{await here.grant()}.order-1"
            asyncio.get_running_loop().advance(36)  # type: ignore[attr-defined]
            assert (await post(here, key))[:2] == (428, "not-run")
            patient = {"Heatherhead-Deadline-Ms": "90000"}  # the jump looks like a pause
            key = f"{await here.grant()}.order-1"
            assert (await post(here, key, headers=patient))[0] == 200

    run_shifted(main())


def know(assembly: Assembly, other: Assembly, state: InstanceState = InstanceState.LIVE) -> None:
    """Let an instance know another one."""
    assembly.membership.view.update([replace(other.membership.view.own, state=state)])


async def _second(here: Stand) -> Any:
    document = settings_for([here.upstreams[0].port])
    document["instance"] = {"id": "instance-2"}
    return started(document)


def test_other_instance_passes_the_call_on_to_the_owner() -> None:
    async def main() -> None:
        async with stand(_count) as here, await _second(here) as other:
            url = f"http://127.0.0.1:{other.settings.callers.listen.port}"
            key = f"{await here.grant()}.order-1"
            assert (await post(here, key, url))[:2] == (502, "unknown")
            know(other, here.assembly)
            assert (await post(here, key, url))[:2] == (201, "run 1")
            status, body, headers = await post(here, key, url)
            assert (status, body, headers["Heatherhead-Replayed"]) == (201, "run 1", "true")
            assert (await post(here, key))[1] == "run 1"
            seen = here.upstreams[0].headers[0]
            assert seen["X-Forwarded-For"] == "127.0.0.1, 127.0.0.1"
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_not_run_of_the_owner_is_passed_back() -> None:
    async def main() -> None:
        async with stand(refuse) as here, await _second(here) as other:
            know(other, here.assembly)
            url = f"http://127.0.0.1:{other.settings.callers.listen.port}"
            status, outcome, headers = await post(here, f"{await here.grant()}.order-1", url)
            assert (status, outcome, headers["Heatherhead-Not-Run"]) == (503, "not-run", "true")

    run_shifted(main())


@pytest.mark.parametrize("change", ["dead", "other-incarnation", "unreachable", "second-hop"])
def test_owner_that_can_not_be_asked_leaves_the_outcome_unknown(change: str) -> None:
    async def main() -> None:
        async with stand(None) as here, await _second(here) as other:
            own: Instance = here.assembly.membership.view.own
            headers = {}
            if change == "dead":
                own = replace(own, state=InstanceState.DEAD)
            elif change == "other-incarnation":
                own = replace(own, incarnation="later")
            elif change == "unreachable":
                async with raw_upstream(_nothing) as port:
                    pass
                own = replace(own, callers=Address("127.0.0.1", port))
            else:
                headers = {"Heatherhead-Passed-On": "instance-3"}
            other.membership.view.update([own])
            url = f"http://127.0.0.1:{other.settings.callers.listen.port}"
            key = f"{await here.grant()}.order-1"
            status, outcome, sent = await post(here, key, url, headers=headers)
            assert (status, outcome) == (502, "unknown")
            assert "Heatherhead-Not-Run" not in sent
            assert here.upstreams[0].seen == []

    run_shifted(main())


async def _nothing(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.close()


def test_restarted_owner_never_runs_a_key_of_its_earlier_incarnation() -> None:
    async def main() -> None:
        async with stand(None) as here:
            key = f"{await here.grant()}.order-1"
            document = settings_for([here.upstreams[0].port])
            async with started(document) as again:
                url = f"http://127.0.0.1:{again.settings.callers.listen.port}"
                assert (await post(here, key, url))[:2] == (502, "unknown")
            assert here.upstreams[0].seen == []

    run_shifted(main())
