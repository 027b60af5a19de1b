"""Builds the parts of a daemon, and starts and stops them in order."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from heatherhead.admission.grants import create_grant_issuer
from heatherhead.admission.key_table import KeyTableLimits, create_key_table
from heatherhead.callers.addresses import create_address_endpoints
from heatherhead.callers.handler import create_call_handler
from heatherhead.callers.keyed_call_runner import create_keyed_call_runner
from heatherhead.callers.keyed_calls import create_keyed_call_handler
from heatherhead.callers.listener import bind, create_callers_listener
from heatherhead.callers.owner_forwarder import create_owner_forwarder
from heatherhead.callers.pauses import create_pause_detector
from heatherhead.callers.protocol import create_callers_server
from heatherhead.callers.service_selector import create_service_selector
from heatherhead.callers.state import CallersState, Phase
from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.service import create_configuration
from heatherhead.health import create_health_checker
from heatherhead.health.probe import create_health_probe
from heatherhead.membership.interface import Address
from heatherhead.membership.service import create_membership
from heatherhead.operators import DaemonParts, create_operators_server
from heatherhead.routing.router import create_router
from heatherhead.settings.tls import create_client_context, reload_certificate
from heatherhead.store.factory import create_store
from heatherhead.telemetry.instance_gauges import create_instance_gauges
from heatherhead.telemetry.logs import log_event
from heatherhead.telemetry.recorder import create_telemetry
from heatherhead.upstreams.attempts import create_attempt_runner
from heatherhead.upstreams.client import create_upstream_client

if TYPE_CHECKING:
    import socket
    import ssl

    from heatherhead.admission.grants import GrantIssuer
    from heatherhead.callers.keyed_calls import KeyedCallHandler
    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.settings import Settings
    from heatherhead.settings.admission import AdmissionSettings

__all__ = ["Assembly", "create_assembly"]

INCARNATION_BYTES = 8
GRANT_EXTRA_LIFETIME_S = 5.0  # for calls sent shortly before the address answer expires


class Assembly:
    """The parts of one daemon; must be created while the event loop is running."""

    def __init__(self, settings: Settings) -> None:
        callers_socket = bind(settings.callers.listen)
        self.settings = _with_callers_port(settings, callers_socket.getsockname()[1])
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.state = CallersState()
        self.telemetry = create_telemetry(settings.telemetry)
        self._create_control_plane()
        self._create_routing()
        self._create_callers(callers_socket)
        self._create_operators()
        self.replica.subscribe(self._on_service_record)

    def _create_control_plane(self) -> None:
        settings = self.settings
        self.store = create_store(settings.store)
        self.replica = create_replica()
        self.membership = create_membership(settings, self.incarnation)
        self.configuration = create_configuration(
            settings, self.store, self.replica, self.membership
        )

    def _create_routing(self) -> None:
        settings = self.settings
        view = self.membership.view
        self.router = create_router(settings.routing, view, self.membership.network, self.telemetry)
        self.client = create_upstream_client(settings.admission)
        self.runner = create_attempt_runner(
            self.router,
            self.client,
            settings.admission,
            self.telemetry,
            settings.routing.hedge_ratio,
        )
        self.health = create_health_checker(
            settings.routing,
            view.own,
            self.router.homes,
            self.router,
            create_health_probe(self.client, settings.routing.health_timeout_ms / 1000),
            self.telemetry,
        )

    def _create_callers(self, callers_socket: socket.socket) -> None:
        callers = self.settings.callers
        issuer = create_grant_issuer(
            self.settings.instance.id,
            self.incarnation,
            callers.addresses_keep_s + GRANT_EXTRA_LIFETIME_S,
        )
        self.pauses = create_pause_detector()
        self.addresses = create_address_endpoints(
            callers,
            self.router.homes,
            self.replica,
            self.membership.view,
            issuer,
            self.state,
            self.configuration.ready.is_set,
        )
        handler = create_call_handler(
            callers,
            create_service_selector(self.replica),
            self.runner,
            self._create_keyed_calls(issuer),
            self.state,
            self.telemetry,
            self.pauses,
            {"/v1/addresses": self.addresses.addresses, "/v1/ready": self.addresses.ready},
        )
        server = create_callers_server(handler.handle, callers)
        self.listener = create_callers_listener(server, callers, callers_socket)

    def _create_keyed_calls(self, issuer: GrantIssuer) -> KeyedCallHandler:
        callers = self.settings.callers
        table = create_key_table(issuer, _key_limits(self.settings.admission))
        self.gauges = create_instance_gauges(
            self.telemetry, self.membership.network.budget, table, self.state
        )
        self._owner_tls = _owner_tls(self.settings)
        forwarder = create_owner_forwarder(
            self.membership.view, self.client, callers, self.state, self.telemetry, self._owner_tls
        )
        runner = create_keyed_call_runner(self.runner, self.state, table.limits.max_answer_bytes)
        return create_keyed_call_handler(
            issuer, table, runner, forwarder, self.state, callers, self.telemetry
        )

    def _create_operators(self) -> None:
        parts = DaemonParts(
            self.replica,
            self.configuration,
            self.configuration,
            self.membership.view,
            self.router,
            self.telemetry,
        )
        self.operators = create_operators_server(self.settings.operators, parts)

    def _on_service_record(self, record: ServiceRecord) -> None:
        self.router.update_service(record.name, record.service)
        self.health.update_service(record.name, record.service)
        if record.service is None:
            self.runner.discard_budgets(record.name)

    async def start(self) -> None:
        """Start all parts; address requests are answered once a configuration is known."""
        self.telemetry.start()
        self.gauges.start()
        await self.listener.start()
        await self.operators.start()
        self._advertise()
        await self.membership.start()
        await self.configuration.start()
        self.health.start()
        self.state.phase = Phase.SERVING
        log_event("started", instance=self.settings.instance.id)

    def _advertise(self) -> None:
        """Pass the ports of the listeners to membership, which announces them to peers."""
        operators = self.operators.address
        log_event("listening", listener="operators", host=operators.host, port=operators.port)
        own = self.membership.view.own
        self.membership.advertise(own.callers, Address(own.operators.host, operators.port))

    def reload(self) -> None:
        """Reload the TLS certificates.

        Raises `SettingsError`.
        """
        self.listener.reload_tls()
        if self._owner_tls is not None and self.settings.callers.listen.tls is not None:
            reload_certificate(self._owner_tls, self.settings.callers.listen.tls)
        tls = self.settings.operators.listen.tls
        if tls is not None and self.operators.tls_context is not None:
            reload_certificate(self.operators.tls_context, tls)
        self.membership.reload_tls()

    async def leave(self) -> None:
        """Announce that this instance leaves, and wait until its callers no longer need it.

        Calls are served until the issued address answers have expired. Then the listener stops
        accepting connections, and the calls in progress have until the leaving timeout to end.
        """
        self.state.phase = Phase.LEAVING
        log_event("leaving", in_progress=self.state.in_progress)
        await self.membership.announce_leaving()
        await self._wait_for_issued_answers()
        self.state.phase = Phase.CLOSED
        self.listener.stop_accepting()
        try:
            async with asyncio.timeout(self.settings.callers.leaving_timeout_s):
                await self.state.wait_idle()
        except TimeoutError:
            log_event("leaving_timeout", level="ERROR", in_progress=self.state.in_progress)

    async def _wait_for_issued_answers(self) -> None:
        """Keep serving until every address answer that may name this instance has expired.

        Other instances may have issued such answers too, unless this one is standalone.
        """
        now = asyncio.get_running_loop().time()
        serve_until = self.addresses.addresses_expire_at
        if not self.membership.is_standalone:
            serve_until = max(
                serve_until, now + self.settings.callers.addresses_keep_s + GRANT_EXTRA_LIFETIME_S
            )
        await asyncio.sleep(max(0.0, serve_until - now))

    async def stop(self) -> None:
        """Stop all parts, the listener for callers first."""
        self.listener.stop_accepting()
        await self.listener.close()
        self.pauses.stop()
        await self.operators.stop()
        await self.health.stop()
        self.router.close()
        await self.configuration.stop()
        await self.membership.stop()
        await self.client.close()
        await self.store.close()
        await self.gauges.close()
        await self.telemetry.close()
        log_event("stopped")


def _with_callers_port(settings: Settings, port: int) -> Settings:
    callers = settings.callers
    listen = callers.listen.model_copy(update={"port": port})
    return settings.model_copy(update={"callers": callers.model_copy(update={"listen": listen})})


def _key_limits(settings: AdmissionSettings) -> KeyTableLimits:
    return KeyTableLimits(
        max_entries=settings.max_keys,
        max_recorded_bytes=settings.max_recorded_bytes,
        max_answer_bytes=settings.max_recorded_answer_bytes,
        retention_s=settings.keys_kept_s,
    )


def _owner_tls(settings: Settings) -> ssl.SSLContext | None:
    tls = settings.callers.listen.tls
    return create_client_context(tls) if tls is not None else None


def create_assembly(settings: Settings) -> Assembly:
    """Create all parts of a daemon; call it while the event loop is running."""
    return Assembly(settings)
