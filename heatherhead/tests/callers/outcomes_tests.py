"""Tests of the outcomes counted by service and call class."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.telemetry.interface import CallOutcome
from heatherhead.tests.callers.fakes import (
    respond_not_run,
    respond_when_allowed,
    run_with_shifted_clock,
    running_instance,
)

if TYPE_CHECKING:
    from aiohttp import web

    from heatherhead.tests.callers.fakes import FakeUpstream, InstanceHarness

URGENT = {"Heatherhead-Class": "urgent"}
CLASSES = {"classes": [{"name": "default"}, {"name": "urgent"}]}


def outcome_totals(harness: InstanceHarness) -> dict[tuple[str, str, CallOutcome], int]:
    """Return the outcome counts of an instance."""
    readings = harness.assembly.telemetry.outcomes()
    return {(each.service, each.call_class, each.outcome): each.total for each in readings}


async def abort_connection(_upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
    """Close the connection without an answer."""
    assert request.transport is not None
    request.transport.abort()
    await asyncio.Event().wait()
    raise AssertionError


def test_answers_are_counted_by_class_with_and_without_a_key() -> None:
    async def main() -> None:
        async with running_instance(None, service=CLASSES) as harness:
            async with harness.session.get(harness.url + "/") as answer:
                assert answer.status == 200
            headers = {"Idempotency-Key": f"{await harness.request_grant()}.order-1", **URGENT}
            for _ in range(2):
                async with harness.session.post(harness.url + "/", headers=headers) as answer:
                    assert answer.status == 200
            assert outcome_totals(harness) == {
                ("orders", "default", CallOutcome.ANSWERED): 1,
                ("orders", "urgent", CallOutcome.ANSWERED): 2,
            }

    run_with_shifted_clock(main())


def test_refusals_and_unknown_outcomes_are_counted() -> None:
    async def main() -> None:
        async with running_instance(respond_not_run, service={"retry_share": 0.0}) as harness:
            async with harness.session.get(harness.url + "/") as answer:
                assert answer.status == 503
            assert outcome_totals(harness) == {("orders", "default", CallOutcome.NOT_RUN): 1}
        async with running_instance(abort_connection, service={"key_required": False}) as harness:
            async with harness.session.post(harness.url + "/") as answer:
                assert answer.status == 502
            assert outcome_totals(harness) == {("orders", "default", CallOutcome.UNKNOWN): 1}

    run_with_shifted_clock(main())


def test_disconnect_of_the_caller_is_counted_as_cut() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed) as harness:
            caller = await harness.connect_caller()
            await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await harness.upstreams[0].arrived.wait()
            caller.close()
            await harness.upstreams[0].call_cancelled.wait()
            await harness.assembly.state.wait_idle()
            assert outcome_totals(harness) == {("orders", "default", CallOutcome.CUT): 1}

    run_with_shifted_clock(main())
