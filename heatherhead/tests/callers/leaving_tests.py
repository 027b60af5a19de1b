"""Tests of the address endpoint and of an instance that leaves."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from heatherhead.callers.state import Phase
from heatherhead.membership.interface import Address
from heatherhead.tests.callers.fakes import (
    respond_when_allowed,
    run_with_shifted_clock,
    running_instance,
)


def test_addresses_list_the_nearest_homes_first() -> None:
    async def main() -> None:
        async with running_instance(
            None, callers={"addresses_count": 2, "addresses_keep_s": 7}
        ) as harness:
            view = harness.assembly.membership.view
            view.update(
                [
                    replace(
                        view.own,
                        id="far",
                        availability_zone="far-zone",
                        callers=Address("127.0.0.9", 1),
                    )
                ]
            )
            for zone, first in [
                ("", harness.url.removeprefix("http://")),
                ("far-zone", "127.0.0.9:1"),
            ]:
                url = f"{harness.url}/v1/addresses?service=orders&availability_zone={zone}"
                async with harness.session.get(url) as answer:
                    document = await answer.json()
                assert [each["address"] for each in document["addresses"]][0] == first
                assert len(document["addresses"]) == 2
                assert document["keep_s"] == 7
                assert document["grant"]

    run_with_shifted_clock(main())


@pytest.mark.parametrize(("query", "status"), [("service=none", 404), ("", 404)])
def test_unknown_service_has_no_addresses(query: str, status: int) -> None:
    async def main() -> None:
        async with (
            running_instance(None) as harness,
            harness.session.get(f"{harness.url}/v1/addresses?{query}") as answer,
        ):
            assert answer.status == status

    run_with_shifted_clock(main())


def test_instance_without_configuration_offers_no_address() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            harness.assembly.configuration.ready.clear()
            for path in ("/v1/ready", "/v1/addresses?service=orders"):
                async with harness.session.get(harness.url + path) as answer:
                    assert answer.status == 503
            harness.assembly.configuration.ready.set()
            async with harness.session.get(harness.url + "/v1/ready") as answer:
                assert answer.status == 200

    run_with_shifted_clock(main())


def test_leaving_instance_serves_until_its_address_answers_expire_and_finishes_all_calls() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed) as harness:
            view = harness.assembly.membership.view
            view.update([replace(view.own, id="other", callers=Address("127.0.0.9", 1))])
            await harness.request_grant()
            leaving = asyncio.create_task(harness.assembly.leave())
            while harness.assembly.state.phase is not Phase.LEAVING:
                await asyncio.sleep(0)
            async with harness.session.get(f"{harness.url}/v1/addresses?service=orders") as answer:
                assert answer.status == 503
            long_deadline = {"Heatherhead-Deadline-Ms": "90000"}
            slow = asyncio.create_task(harness.session.get(harness.url, headers=long_deadline))
            await harness.upstreams[0].arrived.wait()
            asyncio.get_running_loop().advance(36)  # type: ignore[attr-defined]
            while harness.assembly.state.phase is not Phase.CLOSED:
                await asyncio.sleep(0)
            with pytest.raises(OSError):
                await harness.connect_caller()
            assert not leaving.done()
            harness.upstreams[0].answer_allowed.set()
            async with await slow as answer:
                assert await answer.text() == "late"
                assert answer.headers["Connection"] == "close"
            await leaving

    run_with_shifted_clock(main())


def test_leaving_instance_waits_for_a_slow_upload() -> None:
    async def main() -> None:
        async with running_instance(None, service={"key_required": False}) as harness:
            caller = await harness.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await harness.upstreams[0].arrived.wait()
            leaving = asyncio.create_task(harness.assembly.leave())
            while harness.assembly.state.phase is not Phase.CLOSED:
                await asyncio.sleep(0)
            await caller.send(b"3\r\ndef\r\n0\r\n\r\n")
            assert (await caller.read_head()).startswith("HTTP/1.1 200 ")
            assert harness.upstreams[0].bodies == [b"abcdef"]
            await leaving

    run_with_shifted_clock(main())
