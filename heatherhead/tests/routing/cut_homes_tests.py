"""Tests of homes, at the own interface, that have lost their links to a service's upstreams."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.calls import AttemptState, UpstreamSignal
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import (
    answered,
    create_call,
    create_instance,
    create_router_fleet,
    create_service,
    result_with_signal,
)

SETTLE_S = 3.0  # the platform's ContactS
CALL_INTERVAL_S = 0.05


@pytest.mark.xfail(reason="KNOWN-RED.txt, issue 32", strict=True)
def test_home_cut_from_all_upstreams_is_named_by_the_others() -> None:
    """Each of its calls ends at a connection that can't be opened; those of the others succeed."""

    async def main() -> None:
        instances = [create_instance(each) for each in ("a", "b", "c")]
        routers = create_router_fleet(create_service(upstreams=4), instances, homes_minimum=2)
        cut_id = routers["a"].homes.home_ids("orders", "local")[0]
        refused = result_with_signal(UpstreamSignal.DRAINING, AttemptState.NOT_SENT)
        for _ in range(round(SETTLE_S / CALL_INTERVAL_S)):
            for each, router in routers.items():
                slot = router.try_acquire(create_call())
                if slot is not None:
                    slot.finish(refused if each == cut_id else answered())
            await asyncio.sleep(CALL_INTERVAL_S)
        for each, router in routers.items():
            if each != cut_id:
                named = [home.instance.id for home in router.homes.homes("orders", "local")]
                assert cut_id not in named
        for router in routers.values():
            router.close()

    run_with_paused_clock(main())
