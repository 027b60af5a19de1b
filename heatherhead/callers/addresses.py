"""Endpoints that list the addresses a caller should use and report readiness."""

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

__all__ = ["AddressEndpoints", "create_address_endpoints"]

MIN_HOME_WEIGHT = 0.01  # keeps the sampling exponent finite for a home of weight 0


@dataclass(frozen=True, slots=True)
class _CallerLocation:
    """The region and availability zone of a caller."""

    region: str
    availability_zone: str


class AddressEndpoints:
    """Serves `GET /v1/addresses` and `GET /v1/ready`."""

    def __init__(
        self,
        settings: CallersSettings,
        homes: HomeSets,
        replica: Replica,
        view: MembershipView,
        issuer: GrantIssuer,
        state: CallersState,
        is_configured: Callable[[], bool],
        rng: Random,
    ) -> None:
        self.addresses_expire_at = 0.0
        self._rng = rng
        self._settings = settings
        self._homes = homes
        self._replica = replica
        self._view = view
        self._issuer = issuer
        self._state = state
        self._is_configured = is_configured

    async def addresses(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with a grant and the homes of a service, those of the caller's zone first."""
        try:
            self._require_ready(request)
            name = request.query.get("service", "")
            if self._replica.service(name) is None:
                raise BadCallError(
                    f"there is no service {name!r}", status=404, remedy="name a service"
                )
            location = self._locate_caller(request.query.get("availability_zone", ""))
            homes = self._homes.homes(name, location.region)
            if not homes:
                raise CallRefusedError(
                    f"no instance is live in region {location.region}",
                    remedy="ask for an availability zone of another region",
                )
            return self._address_answer(name, location, homes)
        except CallRefusedError as error:
            return problem_response(problem_of(error))

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer 200 while this instance is serving and has a configuration, otherwise 503."""
        is_ready = self._is_ready
        text = "ready\n" if is_ready else "no\n"
        return web.Response(
            status=200 if is_ready else 503, text=text, headers={"Server": SERVER_NAME}
        )

    @property
    def _is_ready(self) -> bool:
        return self._state.phase is Phase.SERVING and self._is_configured()

    def _require_ready(self, request: web.BaseRequest) -> None:
        if request.method != "GET":
            raise BadCallError("only GET is served here", status=405, remedy="use GET")
        if not self._is_ready:
            raise CallRefusedError(
                f"this instance is {self._state.phase}", remedy="ask another instance"
            )

    def _locate_caller(self, availability_zone: str) -> _CallerLocation:
        """Return the location of a caller; an unknown zone is assumed to be in this region."""
        own = self._view.own
        if not availability_zone:
            return _CallerLocation(own.region, own.availability_zone)
        for instance in self._view.by_id.values():
            if instance.availability_zone == availability_zone:
                return _CallerLocation(instance.region, availability_zone)
        return _CallerLocation(own.region, availability_zone)

    def _address_answer(
        self, service: str, location: _CallerLocation, homes: list[Home]
    ) -> web.Response:
        now = asyncio.get_running_loop().time()
        chosen = self._select_homes(homes, location)
        document = {
            "service": service,
            "addresses": [_address_entry(home) for home in chosen],
            "keep_s": self._settings.addresses_keep_s,
            "grant": self._issuer.issue(now),
            "grant_address": str(self._view.own.callers),
        }
        self.addresses_expire_at = now + self._issuer.lifetime_s
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
            headers={"Cache-Control": "no-store", "Server": SERVER_NAME},
        )

    def _select_homes(self, homes: list[Home], location: _CallerLocation) -> list[Home]:
        """Select the homes for one answer: those of the caller's zone first, then all others.

        Within each group the order is drawn by weighted random sampling without replacement
        (Efraimidis and Spirakis, 2006). Every home is therefore listed in proportion to its
        weight, even if there are more homes than fit into one answer.
        """

        def sort_key(home: Home) -> tuple[bool, float]:
            in_other_zone = home.instance.availability_zone != location.availability_zone
            weight = max(home.weight, MIN_HOME_WEIGHT)
            return in_other_zone, -(self._rng.random() ** (1 / weight))

        return sorted(homes, key=sort_key)[: self._settings.addresses_count]


def _address_entry(home: Home) -> dict[str, object]:
    instance: Instance = home.instance
    return {
        "address": str(instance.callers),
        "instance": instance.id,
        "region": instance.region,
        "availability_zone": instance.availability_zone,
        "weight": round(home.weight, 4),
    }


def create_address_endpoints(
    settings: CallersSettings,
    homes: HomeSets,
    replica: Replica,
    view: MembershipView,
    issuer: GrantIssuer,
    state: CallersState,
    is_configured: Callable[[], bool],
    rng: Random | None = None,
) -> AddressEndpoints:
    """Create the endpoints; `is_configured` returns whether a configuration has been loaded."""
    return AddressEndpoints(
        settings, homes, replica, view, issuer, state, is_configured, rng or Random()
    )
