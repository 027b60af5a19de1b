"""Tells which upstreams may keep connections for further calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Hashable

__all__ = ["KeptAddresses", "create_kept_addresses"]

NOT_KEPT_S = 10.0  # since bytes that belong to no call last came from an upstream


class KeptAddresses:
    """Remembers the addresses that lately sent bytes that belong to no call."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._not_kept_until_by_address: dict[Hashable, float] = {}

    def keeps(self, address: Hashable) -> bool:
        """Return whether calls to an address may share connections."""
        until = self._not_kept_until_by_address.get(address)
        return until is None or until <= self._loop.time()

    def stop_keeping(self, address: Hashable, what: str) -> None:
        """Give each call to an address a connection of its own for `NOT_KEPT_S` seconds."""
        if self.keeps(address):
            log_event("connections_not_kept", address=address, what=what, for_s=NOT_KEPT_S)
            self._forget_past()
        self._not_kept_until_by_address[address] = self._loop.time() + NOT_KEPT_S

    def _forget_past(self) -> None:
        for address in [each for each in self._not_kept_until_by_address if self.keeps(each)]:
            del self._not_kept_until_by_address[address]


def create_kept_addresses() -> KeptAddresses:
    """Create an empty memory; must be called inside the running loop."""
    return KeptAddresses()
