"""Tests of `heatherhead.callers.addresses`."""

from __future__ import annotations

import json
from collections import Counter
from random import Random

from aiohttp.test_utils import make_mocked_request

from heatherhead.admission.grants import create_grant_issuer
from heatherhead.callers.addresses import AddressEndpoints, create_address_answers
from heatherhead.callers.state import CallersState, Phase
from heatherhead.configuration.model import Service, ServiceRecord
from heatherhead.configuration.replica import create_replica
from heatherhead.routing.interface import Home
from heatherhead.settings.callers import CallersSettings
from heatherhead.tests.base import run_paused
from heatherhead.tests.routing.fakes import FakeMembership, create_instance

ANSWERS = 400


class FixedHomes:
    """Homes that a test has named."""

    def __init__(self, homes: list[Home]) -> None:
        self._homes = homes

    def homes(self, service: str, region: str) -> list[Home]:
        """List the homes, whatever the service."""
        return self._homes


def answers_for(weight_by_id: dict[str, float]) -> AddressEndpoints:
    instances = [create_instance(each) for each in weight_by_id]
    homes = [Home(each, weight_by_id[each.id]) for each in instances]
    replica = create_replica()
    replica.apply(ServiceRecord("orders", 1, "c1", Service("orders")))
    state = CallersState()
    state.phase = Phase.SERVING
    return create_address_answers(
        CallersSettings(addresses_count=2),
        FixedHomes(homes),
        replica,
        FakeMembership(instances[0], instances),
        create_grant_issuer(instances[0].id, "1", 30.0),
        state,
        lambda: True,
        Random(1),
    )


async def count_named(answers: AddressEndpoints) -> Counter[str]:
    named: Counter[str] = Counter()
    for _ in range(ANSWERS):
        request = make_mocked_request("GET", "/v1/addresses?service=orders")
        answer = await answers.addresses(request)
        document = json.loads(answer.body)
        named.update(each["instance"] for each in document["addresses"])
    return named


def test_every_home_is_named_when_there_are_more_than_an_answer_holds() -> None:
    named = run_paused(count_named(answers_for(dict.fromkeys("abcdef", 1.0))))
    assert set(named) == set("abcdef")
    assert min(named.values()) > ANSWERS / 6


def test_homes_are_named_by_weight() -> None:
    named = run_paused(count_named(answers_for({"a": 1.0, "b": 1.0, "c": 0.1, "d": 1.0})))
    assert named["c"] < min(named[each] for each in "abd") / 3
