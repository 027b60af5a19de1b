"""Tests of `heatherhead.callers.addresses`."""

from __future__ import annotations

import json
from collections import Counter
from random import Random

from aiohttp.test_utils import make_mocked_request

from heatherhead.admission.grants import create_grant_issuer
from heatherhead.callers.addresses import AddressEndpoints, create_address_endpoints
from heatherhead.callers.state import CallersState, Phase
from heatherhead.configuration.model import Service, ServiceRecord
from heatherhead.configuration.replica import create_replica
from heatherhead.routing.interface import Home
from heatherhead.settings.callers import CallersSettings
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import FakeMembership, create_instance

ANSWER_COUNT = 400


class FixedHomes:
    """A fixed list of homes."""

    def __init__(self, homes: list[Home]) -> None:
        self._homes = homes

    def homes(self, service: str, region: str) -> list[Home]:
        """Return the homes, for any service and region."""
        return self._homes


def create_endpoints(weight_by_id: dict[str, float]) -> AddressEndpoints:
    instances = [create_instance(each) for each in weight_by_id]
    homes = [Home(each, weight_by_id[each.id]) for each in instances]
    replica = create_replica()
    replica.apply(ServiceRecord("orders", 1, "c1", Service("orders")))
    state = CallersState()
    state.phase = Phase.SERVING
    return create_address_endpoints(
        CallersSettings(addresses_count=2),
        FixedHomes(homes),
        replica,
        FakeMembership(instances[0], instances),
        create_grant_issuer(instances[0].id, "1", 30.0),
        state,
        lambda: True,
        Random(1),
    )


async def count_listed_homes(endpoints: AddressEndpoints) -> Counter[str]:
    counts: Counter[str] = Counter()
    for _ in range(ANSWER_COUNT):
        request = make_mocked_request("GET", "/v1/addresses?service=orders")
        answer = await endpoints.addresses(request)
        document = json.loads(answer.body)
        counts.update(each["instance"] for each in document["addresses"])
    return counts


def test_every_home_is_listed_even_if_one_answer_cannot_hold_all() -> None:
    counts = run_with_paused_clock(
        count_listed_homes(create_endpoints(dict.fromkeys("abcdef", 1.0)))
    )
    assert set(counts) == set("abcdef")
    assert min(counts.values()) > ANSWER_COUNT / 6


def test_homes_are_listed_in_proportion_to_weight() -> None:
    counts = run_with_paused_clock(
        count_listed_homes(create_endpoints({"a": 1.0, "b": 1.0, "c": 0.1, "d": 1.0}))
    )
    assert counts["c"] < min(counts[each] for each in "abd") / 3
