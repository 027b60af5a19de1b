"""Probes silent instances on behalf of peers (the indirect probe of SWIM)."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.membership.interface import Traffic
from heatherhead.membership.member_messages import (
    IndirectProbeAnswer,
    IndirectProbeRequest,
    Ping,
    Pong,
)

if TYPE_CHECKING:
    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import Member, MemberTable

__all__ = ["IndirectProber", "create_indirect_prober"]

PROBE_TIMEOUT_S = 2.0
MAX_WAKEUP_DELAY_S = 0.5  # a later wake-up means that this process was paused
MAX_PROBES = 64


class IndirectProber:
    """Probes instances for peers; requests for the same instance share one probe."""

    def __init__(self, table: MemberTable, links: PeerLinks) -> None:
        self._table = table
        self._links = links
        self._probe_by_id: dict[str, asyncio.Future[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        links.subscribe(IndirectProbeRequest, self._on_request)
        links.subscribe(Ping, self._on_ping)
        links.subscribe(Pong, lambda peer_id, _: self._resolve(peer_id, True))
        links.on_greeting(self._on_greeting)
        links.on_unreachable(lambda peer_id: self._resolve(peer_id, False))

    def close(self) -> None:
        """Cancel the probes."""
        for task in self._tasks:
            task.cancel()

    def _on_request(self, requester_id: str, request: IndirectProbeRequest) -> None:
        member = self._table.by_id.get(request.instance_id)
        if member is None or len(self._tasks) >= MAX_PROBES:
            return
        task = asyncio.create_task(self._answer(requester_id, request, member))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(
        self, requester_id: str, request: IndirectProbeRequest, member: Member
    ) -> None:
        answered = await self._probe(member)
        if answered is None:
            return
        answer = IndirectProbeAnswer(request.instance_id, request.sequence, answered)
        self._links.send(requester_id, answer, Traffic.CONTROL)

    async def _probe(self, member: Member) -> bool | None:
        """Return whether an instance answers; `None` if this process was paused meanwhile."""
        if member.id == self._table.own_id:
            return True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        probe = self._probe_by_id.get(member.id)
        if probe is None:
            probe = self._probe_by_id[member.id] = loop.create_future()
            self._send_probe(member)
        done, _ = await asyncio.wait([probe], timeout=PROBE_TIMEOUT_S)
        if self._probe_by_id.get(member.id) is probe:
            del self._probe_by_id[member.id]
        if done:
            return probe.result()
        received_at = self._links.last_received_at(member.id)
        if received_at is not None and received_at > began_at:
            return True
        return None if loop.time() - began_at > PROBE_TIMEOUT_S + MAX_WAKEUP_DELAY_S else False

    def _send_probe(self, member: Member) -> None:
        if self._links.last_received_at(member.id) is None:
            self._links.try_connect(member.instance)
        else:
            self._links.send(member.id, Ping(), Traffic.CONTROL)

    def _on_ping(self, peer_id: str, _: Ping) -> None:
        self._links.send(peer_id, Pong(), Traffic.CONTROL)

    def _on_greeting(self, peer: Member) -> None:
        self._resolve(peer.id, True)

    def _resolve(self, peer_id: str, answered: bool) -> None:
        probe = self._probe_by_id.get(peer_id)
        if probe is not None and not probe.done():
            probe.set_result(answered)


def create_indirect_prober(table: MemberTable, links: PeerLinks) -> IndirectProber:
    """Create the indirect prober of an instance."""
    return IndirectProber(table, links)
