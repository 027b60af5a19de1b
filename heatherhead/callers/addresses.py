"""Answers the question which addresses a caller should use."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from aiohttp import web

from heatherhead.callers.headers import SERVER_NAME
from heatherhead.callers.problems import problem_of, problem_response
from heatherhead.callers.state import Phase
from heatherhead.exceptions import BadCallError, CallRefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.admission.grants import GrantIssuer
    from heatherhead.callers.state import CallersState
    from heatherhead.configuration.replica import Replica
    from heatherhead.membership.interface import Instance, MembershipView
    from heatherhead.routing.interface import Home, HomeSets
    from heatherhead.settings.callers import CallersSettings

__all__ = ["AddressAnswers", "create_address_answers"]

LEAST_WEIGHT = 0.01


@dataclass(frozen=True, slots=True)
class _Place:
    """Where a caller is."""

    region: str
    availability_zone: str


class AddressAnswers:
    """Serves `GET /v1/addresses` and `GET /v1/ready`."""

    def __init__(
        self,
        settings: CallersSettings,
        homes: HomeSets,
        replica: Replica,
        view: MembershipView,
        issuer: GrantIssuer,
        state: CallersState,
        configured: Callable[[], bool],
        rng: Random,
    ) -> None:
        self.given_until = 0.0
        self._random = rng
        self._settings = settings
        self._homes = homes
        self._replica = replica
        self._view = view
        self._issuer = issuer
        self._state = state
        self._configured = configured

    async def addresses(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the homes of a service, the nearest first, and a grant."""
        try:
            self._refuse_unless_offering(request)
            name = request.query.get("service", "")
            if self._replica.service(name) is None:
                raise BadCallError(
                    f"there is no service {name!r}", status=404, remedy="name a service"
                )
            place = self._place(request.query.get("availability_zone", ""))
            homes = self._homes.homes(name, place.region)
            if not homes:
                raise CallRefusedError(
                    f"no instance is live in region {place.region}",
                    remedy="ask for an availability zone of another region",
                )
            return self._answer(name, place, homes)
        except CallRefusedError as error:
            return problem_response(problem_of(error))

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer 200 while this instance has a configuration and offers addresses."""
        offering = self._offering
        text = "ready\n" if offering else "no\n"
        return web.Response(
            status=200 if offering else 503, text=text, headers={"Server": SERVER_NAME}
        )

    @property
    def _offering(self) -> bool:
        return self._state.phase is Phase.SERVING and self._configured()

    def _refuse_unless_offering(self, request: web.BaseRequest) -> None:
        if request.method != "GET":
            raise BadCallError("only GET is served here", status=405, remedy="use GET")
        if not self._offering:
            raise CallRefusedError(
                f"this instance is {self._state.phase}", remedy="ask another instance"
            )

    def _place(self, availability_zone: str) -> _Place:
        own = self._view.own
        if not availability_zone:
            return _Place(own.region, own.availability_zone)
        for instance in self._view.by_id.values():
            if instance.availability_zone == availability_zone:
                return _Place(instance.region, availability_zone)
        return _Place(own.region, availability_zone)

    def _answer(self, service: str, place: _Place, homes: list[Home]) -> web.Response:
        now = asyncio.get_running_loop().time()
        chosen = self._choose(homes, place)
        document = {
            "service": service,
            "addresses": [_entry(home) for home in chosen],
            "keep_s": self._settings.addresses_keep_s,
            "grant": self._issuer.issue(now),
            "grant_address": str(self._view.own.callers),
        }
        self.given_until = now + self._issuer.lifetime_s
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
            headers={"Cache-Control": "no-store", "Server": SERVER_NAME},
        )

    def _choose(self, homes: list[Home], place: _Place) -> list[Home]:
        """Choose homes for one answer: the zone's own first, at random by weight among equals.

        So each home is named in its share of the answers, also where there are more homes than an
        answer holds. The order is that of weighted random sampling without replacement
        (Efraimidis and Spirakis, 2006).
        """

        def order(home: Home) -> tuple[bool, float]:
            is_far = home.instance.availability_zone != place.availability_zone
            weight = max(home.weight, LEAST_WEIGHT)
            return is_far, -(self._random.random() ** (1 / weight))

        return sorted(homes, key=order)[: self._settings.addresses_count]


def _entry(home: Home) -> dict[str, object]:
    instance: Instance = home.instance
    return {
        "address": str(instance.callers),
        "instance": instance.id,
        "region": instance.region,
        "availability_zone": instance.availability_zone,
        "weight": round(home.weight, 4),
    }


def create_address_answers(
    settings: CallersSettings,
    homes: HomeSets,
    replica: Replica,
    view: MembershipView,
    issuer: GrantIssuer,
    state: CallersState,
    configured: Callable[[], bool],
    rng: Random | None = None,
) -> AddressAnswers:
    """Create the answers; `configured` tells whether the configuration can be used."""
    return AddressAnswers(
        settings, homes, replica, view, issuer, state, configured, rng or Random()
    )
