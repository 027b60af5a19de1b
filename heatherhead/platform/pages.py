"""The HTTP pages that the platform requests: readiness, metrics and callers' addresses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from heatherhead.proxy.messages import Answer, own_answer
from heatherhead.telemetry.entry_metrics import CONTENT_TYPE

if TYPE_CHECKING:
    from heatherhead.entry.service import EntryService
    from heatherhead.proxy.caller_connection import Exchange

__all__ = ["PlatformPages"]


class PlatformPages:
    """Implements `PageHandlers`."""

    def __init__(self, service: EntryService) -> None:
        self._service = service

    async def handle(self, exchange: Exchange) -> Answer:
        """Answer one request."""
        url = exchange.message.url
        if url.path == "/readyz":
            ready = self._service.ready
            return own_answer(200 if ready else 503, "ready" if ready else "not ready")
        if url.path == "/metrics":
            headers = CIMultiDict({"Content-Type": CONTENT_TYPE})
            return Answer(200, headers, self._service.metrics.render(), "OK")
        if url.path == "/resolve":
            return self._resolve(url.query.get("Region", ""))
        return own_answer(404, "no such page")

    def _resolve(self, region: str) -> Answer:
        found = self._service.find_addresses(region)
        if found is None:
            return own_answer(503, "not ready")
        addresses = [str(address) for address in found.addresses]
        body = json.dumps({"Addresses": addresses, "TtlS": found.ttl_s}).encode()
        return Answer(200, CIMultiDict({"Content-Type": "application/json"}), body, "OK")
