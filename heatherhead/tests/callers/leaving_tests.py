"""Tests of the address answer and of leaving."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from heatherhead.callers.state import Phase
from heatherhead.membership.interface import Address
from heatherhead.tests.callers.fakes import hold, run_shifted, stand


def test_addresses_name_the_nearest_homes_first() -> None:
    async def main() -> None:
        async with stand(None, callers={"addresses_count": 2, "addresses_keep_s": 7}) as here:
            view = here.assembly.membership.view
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
                ("", here.url.removeprefix("http://")),
                ("far-zone", "127.0.0.9:1"),
            ]:
                url = f"{here.url}/v1/addresses?service=orders&availability_zone={zone}"
                async with here.session.get(url) as answer:
                    document = await answer.json()
                assert [each["address"] for each in document["addresses"]][0] == first
                assert len(document["addresses"]) == 2
                assert document["keep_s"] == 7
                assert document["grant"]

    run_shifted(main())


@pytest.mark.parametrize(("query", "status"), [("service=none", 404), ("", 404)])
def test_unknown_service_has_no_addresses(query: str, status: int) -> None:
    async def main() -> None:
        async with (
            stand(None) as here,
            here.session.get(f"{here.url}/v1/addresses?{query}") as answer,
        ):
            assert answer.status == status

    run_shifted(main())


def test_instance_without_configuration_offers_no_address() -> None:
    async def main() -> None:
        async with stand(None) as here:
            here.assembly.configuration.ready.clear()
            for path in ("/v1/ready", "/v1/addresses?service=orders"):
                async with here.session.get(here.url + path) as answer:
                    assert answer.status == 503
            here.assembly.configuration.ready.set()
            async with here.session.get(here.url + "/v1/ready") as answer:
                assert answer.status == 200

    run_shifted(main())


def test_leaving_serves_until_given_answers_run_out_and_finishes_all_calls() -> None:
    async def main() -> None:
        async with stand(hold) as here:
            view = here.assembly.membership.view
            view.update([replace(view.own, id="other", callers=Address("127.0.0.9", 1))])
            await here.grant()
            leaving = asyncio.create_task(here.assembly.leave())
            while here.assembly.state.phase is not Phase.LEAVING:
                await asyncio.sleep(0)
            async with here.session.get(f"{here.url}/v1/addresses?service=orders") as answer:
                assert answer.status == 503
            patient = {"Heatherhead-Deadline-Ms": "90000"}
            slow = asyncio.create_task(here.session.get(here.url, headers=patient))
            await here.upstreams[0].arrived.wait()
            asyncio.get_running_loop().advance(36)  # type: ignore[attr-defined]
            while here.assembly.state.phase is not Phase.CLOSED:
                await asyncio.sleep(0)
            with pytest.raises(OSError):
                await here.caller()
            assert not leaving.done()
            here.upstreams[0].go.set()
            async with await slow as answer:
                assert await answer.text() == "late"
                assert answer.headers["Connection"] == "close"
            await leaving

    run_shifted(main())


def test_leaving_waits_for_a_slow_upload() -> None:
    async def main() -> None:
        async with stand(None, service={"key_required": False}) as here:
            caller = await here.caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await here.upstreams[0].arrived.wait()
            leaving = asyncio.create_task(here.assembly.leave())
            while here.assembly.state.phase is not Phase.CLOSED:
                await asyncio.sleep(0)
            await caller.send(b"3\r\ndef\r\n0\r\n\r\n")
            assert (await caller.head()).startswith("HTTP/1.1 200 ")
            assert here.upstreams[0].bodies == [b"abcdef"]
            await leaving

    run_shifted(main())
