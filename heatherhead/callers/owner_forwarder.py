"""Forwards a keyed call to the instance that issued its grant, the owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.admission.key_errors import GrantOwnerGoneError
from heatherhead.callers.headers import FORWARDED_BY, NOT_RUN
from heatherhead.callers.relay import relay_answer
from heatherhead.callers.requests import outbound_request
from heatherhead.membership.interface import InstanceState
from heatherhead.telemetry.logs import log_event
from heatherhead.upstreams.client import Attempt, Destination

if TYPE_CHECKING:
    import ssl

    from aiohttp.web import StreamResponse

    from heatherhead.admission.grants import GrantClaim
    from heatherhead.callers.inbound import InboundCall
    from heatherhead.callers.state import CallersState
    from heatherhead.membership.interface import Instance, MembershipView
    from heatherhead.settings.callers import CallersSettings
    from heatherhead.telemetry.interface import Telemetry
    from heatherhead.upstreams.client import UpstreamClient

__all__ = ["OwnerForwarder", "create_owner_forwarder"]


class OwnerForwarder:
    """Forwards a call to its owner, with a single attempt.

    Only the owner can know that a call did not run. Any failure to reach it is therefore reported
    as an unknown outcome, never as "not-run".
    """

    def __init__(
        self,
        view: MembershipView,
        client: UpstreamClient,
        settings: CallersSettings,
        state: CallersState,
        telemetry: Telemetry,
        owner_tls: ssl.SSLContext | None,
    ) -> None:
        self._view = view
        self._client = client
        self._settings = settings
        self._state = state
        self._telemetry = telemetry
        self._owner_tls = owner_tls

    async def forward(self, inbound: InboundCall, grant: GrantClaim) -> StreamResponse:
        """Forward the call and relay the answer; raises `GrantOwnerGoneError` if there is none."""
        owner = self._find_owner(inbound, grant)
        self._telemetry.count("keys.passed_on")
        loop = asyncio.get_running_loop()
        outbound = outbound_request(inbound.request, inbound.call, inbound.body, loop.time())
        outbound.headers[FORWARDED_BY] = self._view.own.id
        if self._owner_tls is not None:
            outbound.scheme = "https"
            outbound.ssl = self._owner_tls
        attempt = Attempt(inbound.call.deadline)
        destination = Destination(owner.callers.host, owner.callers.port, owner.id)
        await self._client.send(destination, outbound, attempt)
        if attempt.answer is None:
            raise GrantOwnerGoneError
        inbound.forwarded = True
        if attempt.answer.headers.get(NOT_RUN) == "true":
            _log_refusal(inbound, owner, attempt)
        try:
            return await relay_answer(
                inbound.request,
                attempt.answer,
                self._settings,
                close_connection=self._state.should_close_connections,
                keep_not_run=attempt.alone_on_connection,
            )
        except BaseException:
            attempt.answer.close()
            raise

    def _find_owner(self, inbound: InboundCall, grant: GrantClaim) -> Instance:
        owner = self._view.by_id.get(grant.instance_id)
        if FORWARDED_BY in inbound.request.headers or owner is None:
            raise GrantOwnerGoneError
        if owner.incarnation != grant.incarnation or owner.state is InstanceState.DEAD:
            raise GrantOwnerGoneError
        return owner


def _log_refusal(inbound: InboundCall, owner: Instance, attempt: Attempt) -> None:
    assert inbound.key is not None and attempt.answer is not None
    log_event(
        "owner_refused",
        service=inbound.service.name,
        key=inbound.key.name,
        owner=owner.id,
        status=attempt.answer.status,
        calls=attempt.connection_calls,
        believed=attempt.alone_on_connection,
    )


def create_owner_forwarder(
    view: MembershipView,
    client: UpstreamClient,
    settings: CallersSettings,
    state: CallersState,
    telemetry: Telemetry,
    owner_tls: ssl.SSLContext | None = None,
) -> OwnerForwarder:
    """Create the forwarder; `owner_tls` is required if instances serve callers over TLS."""
    return OwnerForwarder(view, client, settings, state, telemetry, owner_tls)
