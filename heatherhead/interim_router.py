"""A plain router: a free slot on the upstream with the fewest calls of this instance."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.exceptions import DeadlineUnreachableError, NoUpstreamError
from heatherhead.routing.interface import Home

if TYPE_CHECKING:
    from result import Result

    from heatherhead.calls import AttemptResult, Call
    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.exceptions import CallRefusedError
    from heatherhead.membership.interface import MembershipView
    from heatherhead.routing.interface import QuarantineEntry, Slot, UpstreamEvidence


@dataclass(slots=True)
class _Slot:
    router: InterimRouter
    service: str
    upstream: Upstream
    started_at: float

    def finish(self, result: AttemptResult) -> None:
        """Give the slot back."""
        self.router.give_back(self.service, self.upstream.id)


class InterimRouter:
    """Stands in until routing is there."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._in_flight: dict[tuple[str, str], int] = {}
        self._freed = asyncio.Event()

    async def acquire(
        self, call: Call, avoid: frozenset[str] = frozenset()
    ) -> Result[Slot, CallRefusedError]:
        """Wait for a slot."""
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= call.deadline:
                return Err(DeadlineUnreachableError("deadline passed", remedy="allow more time"))
            if not self._candidates(call.service, avoid):
                return Err(NoUpstreamError("no upstream", remedy="send the call again later"))
            slot = self.try_acquire(call, avoid)
            if slot is not None:
                return Ok(slot)
            self._freed.clear()
            try:
                async with asyncio.timeout_at(call.deadline):
                    await self._freed.wait()
            except TimeoutError:
                continue

    def try_acquire(self, call: Call, avoid: frozenset[str] = frozenset()) -> Slot | None:
        """Take a free slot."""
        candidates = self._candidates(call.service, avoid)
        if not candidates:
            return None
        best = min(candidates, key=lambda each: self._count(call.service, each.id))
        if self._count(call.service, best.id) >= best.slots:
            return None
        key = (call.service, best.id)
        self._in_flight[key] = self._in_flight.get(key, 0) + 1
        return _Slot(self, call.service, best, asyncio.get_running_loop().time())

    def _count(self, service: str, upstream_id: str) -> int:
        return self._in_flight.get((service, upstream_id), 0)

    def _candidates(self, service: str, avoid: frozenset[str]) -> list[Upstream]:
        held = self._services.get(service)
        usable = [each for each in held.upstreams if not each.draining] if held else []
        return [each for each in usable if each.id not in avoid] or usable

    def give_back(self, service: str, upstream_id: str) -> None:
        """Count a call out."""
        self._in_flight[(service, upstream_id)] -= 1
        self._freed.set()

    def hedge_delay_s(self, call: Call) -> float | None:
        """Never hedge."""
        return None

    def update_service(self, name: str, service: Service | None) -> None:
        """Take a service's new configuration."""
        if service is None:
            self._services.pop(name, None)
        else:
            self._services[name] = service
        self._freed.set()

    def evidence(self, service: str) -> list[UpstreamEvidence]:
        """List nothing."""
        return []

    def quarantined(self) -> list[QuarantineEntry]:
        """List nothing."""
        return []

    def release(self, service: str, fingerprint: int) -> bool:
        """Hold nothing."""
        return False


class InterimHomes:
    """Gives all live instances of a region."""

    def __init__(self, view: MembershipView) -> None:
        self._view = view

    def homes(self, service: str, region: str) -> list[Home]:
        """List the homes."""
        live = self._view.live()
        local = [each for each in live if each.region == region]
        return [Home(each, 1.0) for each in local or live]
