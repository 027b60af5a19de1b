"""The HTTP pages that the platform requests: readiness, metrics and callers' addresses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from heatherhead.entry.route_explanation import parse_explained_call
from heatherhead.proxy.messages import Answer, own_answer
from heatherhead.telemetry.entry_metrics import CONTENT_TYPE

if TYPE_CHECKING:
    from yarl import URL

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

    async def handle_operator(self, exchange: Exchange) -> Answer:
        """Answer one request on the readiness or the control address."""
        message = exchange.message
        if message.url.path != "/explain":
            return await self.handle(exchange)
        if message.method not in ("GET", "HEAD"):
            return own_answer(405, "use GET")
        return self._explain(message.url)

    def _explain(self, url: URL) -> Answer:
        """Tell what would become of a call."""
        regions = set(self._service.settings.region_by_zone.values())
        limits = self._service.table.configuration.limits
        parsed = parse_explained_call(url.query, regions, limits.max_body_bytes)
        if parsed.is_err():
            return own_answer(400, parsed.unwrap_err())
        body = json.dumps(self._service.explain(parsed.unwrap())).encode()
        return Answer(200, CIMultiDict({"Content-Type": "application/json"}), body, "OK")

    def _resolve(self, region: str) -> Answer:
        found = self._service.find_addresses(region)
        if found is None:
            return own_answer(503, "not ready")
        addresses = [str(address) for address in found.addresses]
        body = json.dumps({"Addresses": addresses, "TtlS": found.ttl_s}).encode()
        return Answer(200, CIMultiDict({"Content-Type": "application/json"}), body, "OK")
