"""Applies the store's changes to the routes, upstreams, members and evacuated zones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from heatherhead.fleet.members import MEMBER_PREFIX, decode_member
from heatherhead.registry.registry import EXPIRY_GRACE_S
from heatherhead.store.history import revision_text
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from heatherhead.exceptions import HeatherheadError
    from heatherhead.fleet.members import MemberTable
    from heatherhead.registry.entries import UpstreamEntry
    from heatherhead.registry.evacuations import Evacuations
    from heatherhead.registry.registry import UpstreamRegistry
    from heatherhead.routes.model import RouteConfiguration
    from heatherhead.routes.table import RouteTable
    from heatherhead.store.interface import WatchEvent

__all__ = ["Decoder", "StoreView", "create_store_view"]

MAX_ERROR_CHARS = 200


class Decoder(Protocol):
    """Decodes the keys and documents of the platform."""

    configuration_key: str
    upstream_prefix: str
    evacuation_prefix: str

    def configuration(self, value: bytes) -> Result[RouteConfiguration, HeatherheadError]:
        """Decode the configuration."""
        ...

    def upstream(
        self, key: str, value: bytes, revision: int
    ) -> Result[UpstreamEntry, HeatherheadError]:
        """Decode an upstream's entry."""
        ...


class StoreView:
    """Decodes changes of the store and dispatches them to the tables."""

    def __init__(
        self,
        decoder: Decoder,
        table: RouteTable,
        registry: UpstreamRegistry,
        members: MemberTable,
        evacuations: Evacuations,
        on_configuration: Callable[[], None],
    ) -> None:
        self._on_configuration = on_configuration
        self._loop = asyncio.get_running_loop()
        self._decoder = decoder
        self._table = table
        self._registry = registry
        self._members = members
        self._evacuations = evacuations

    def apply_event(self, event: WatchEvent, after_outage: bool) -> None:
        """Apply one change of the store; one that can't be applied keeps back no other."""
        try:
            self._apply(event, after_outage)
        except Exception as error:
            log_event(
                "store_change_refused",
                level="ERROR",
                key=event.key,
                revision=revision_text(event.mod_revision),
                error=repr(error)[:MAX_ERROR_CHARS],
            )

    def _apply(self, event: WatchEvent, after_outage: bool) -> None:
        prefix = self._decoder.upstream_prefix
        key = event.key
        if event.value is not None:
            if key.startswith(prefix):
                entry = self._decode_upstream(key, event.value, event.mod_revision)
                if entry is not None:
                    self._registry.put(entry)
            else:
                self._apply_item(key, event.value, event.mod_revision)
        elif key.startswith(prefix):
            upstream_id = key.removeprefix(prefix)
            self._registry.remove(upstream_id, event.mod_revision, self._expires_at(after_outage))
        elif key.startswith(self._decoder.evacuation_prefix):
            zone = key.removeprefix(self._decoder.evacuation_prefix)
            self._evacuations.remove(zone, self._expires_at(after_outage))
        elif key.startswith(MEMBER_PREFIX):
            self._members.remove(key.removeprefix(MEMBER_PREFIX), event.mod_revision)

    def _expires_at(self, after_outage: bool) -> float | None:
        return self._loop.time() + EXPIRY_GRACE_S if after_outage else None

    def _apply_item(self, key: str, value: bytes, revision: int) -> None:
        if key == self._decoder.configuration_key:
            self.apply_configuration(value)
        elif key.startswith(self._decoder.evacuation_prefix):
            self._evacuations.put(key.removeprefix(self._decoder.evacuation_prefix))
        elif key.startswith(MEMBER_PREFIX):
            member = decode_member(value)
            if member is not None:
                self._members.put(member, revision)

    def apply_configuration(self, value: bytes) -> None:
        """Apply a configuration if it is newer than the current one."""
        decoded = self._decoder.configuration(value)
        if decoded.is_err():
            log_event("configuration_refused", level="ERROR", reason=decoded.err_value.reason)
            return
        configuration = decoded.ok_value
        if self._table.apply(configuration):
            log_event(
                "configuration",
                version=configuration.version,
                routes=len(configuration.route_by_name),
            )
            self._on_configuration()

    def _decode_upstream(self, key: str, value: bytes, revision: int) -> UpstreamEntry | None:
        decoded = self._decoder.upstream(key, value, revision)
        if decoded.is_err():
            log_event("upstream_entry_refused", key=key, reason=decoded.err_value.reason[:120])
            return None
        entry: UpstreamEntry = decoded.ok_value
        return entry


def create_store_view(
    decoder: Decoder,
    table: RouteTable,
    registry: UpstreamRegistry,
    members: MemberTable,
    evacuations: Evacuations,
    on_configuration: Callable[[], None],
) -> StoreView:
    """Create a view; must be called inside the running loop."""
    return StoreView(decoder, table, registry, members, evacuations, on_configuration)
