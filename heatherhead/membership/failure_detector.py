"""Detects failed neighbours: missed heartbeats, then indirect probes, then suspicion (SWIM)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.membership.interface import InstanceState, Traffic
from heatherhead.membership.member_messages import (
    Heartbeat,
    IndirectProbeAnswer,
    IndirectProbeRequest,
)
from heatherhead.membership.overlay import overlay_neighbours
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from random import Random

    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import Member, MemberTable
    from heatherhead.settings.membership import MembershipSettings

__all__ = ["FailureDetector", "create_failure_detector"]

MAX_TICK_DELAY_S = 0.75  # a later tick means that this process was paused
INDIRECT_PROBE_TIMEOUT_S = 3.0
PROBERS_PER_PROBE = 3


@dataclass(slots=True)
class _IndirectProbe:
    """An indirect probe: the probers asked, and those that reported no answer."""

    sequence: int
    began_at: float
    prober_ids: set[str] = field(default_factory=set)
    negative_ids: set[str] = field(default_factory=set)


class FailureDetector:
    """Sends heartbeats, probes silent neighbours through peers, and suspects unreachable ones."""

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, links: PeerLinks, rng: Random
    ) -> None:
        self._interval_s = settings.heartbeat_ms / 1000
        self._suspect_after_s = settings.suspect_after_ms / 1000
        self._dead_after_s = settings.dead_after_ms / 1000
        self._table = table
        self._links = links
        self._rng = rng
        self._probe_by_id: dict[str, _IndirectProbe] = {}
        self._suspected_by_id: dict[str, tuple[int, float]] = {}
        self._resumed_at = 0.0
        self._no_probe_until_by_id: dict[str, float] = {}
        links.on_greeting(self._on_greeting)
        links.on_lost(self._on_lost)
        links.on_unreachable(self._on_unreachable)
        links.subscribe(IndirectProbeAnswer, self._on_answer)

    async def run(self) -> None:
        """Call `tick` at each heartbeat interval until cancelled."""
        loop = asyncio.get_running_loop()
        wait_s = self._rng.random() * self._interval_s
        while True:
            began_at = loop.time()
            await asyncio.sleep(wait_s)
            if loop.time() - began_at > wait_s + MAX_TICK_DELAY_S:
                self._restart_timeouts(loop.time() - began_at)
            self.tick()
            wait_s = self._interval_s

    def tick(self) -> None:
        """Send heartbeats and check how long each neighbour has been silent."""
        now = asyncio.get_running_loop().time()
        members_hash = self._table.total_hash
        for peer_id in self._links.neighbours():
            heartbeat = Heartbeat(self._links.is_own_neighbour(peer_id), members_hash)
            self._links.send(peer_id, heartbeat, Traffic.CONTROL)
            self._check_silence(peer_id, now)
        self._finish_indirect_probes(now)
        self._expire_suspected(now)

    def _check_silence(self, peer_id: str, now: float) -> None:
        received_at = self._links.last_received_at(peer_id)
        if received_at is None or not self._links.is_own_neighbour(peer_id):
            return
        if now - max(received_at, self._resumed_at) > self._suspect_after_s:
            self._begin_indirect_probe(peer_id)

    def _restart_timeouts(self, gap_s: float) -> None:
        """Restart all timeouts, as this process could receive nothing while it was paused."""
        log_event("own_pause", level="WARNING", gap_s=round(gap_s, 3))
        now = asyncio.get_running_loop().time()
        self._resumed_at = now
        self._probe_by_id.clear()
        self._suspected_by_id = {
            each: (sequence, now) for each, (sequence, _) in self._suspected_by_id.items()
        }

    def _on_greeting(self, peer: Member) -> None:
        """Send a heartbeat at once, so that the peer counts this instance among its neighbours."""
        if self._links.is_own_neighbour(peer.id):
            self._links.send(peer.id, Heartbeat(True, self._table.total_hash), Traffic.CONTROL)

    def _on_lost(self, peer_id: str) -> None:
        member = self._table.by_id.get(peer_id)
        if member is not None and self._links.is_own_neighbour(peer_id):
            self._links.try_connect(member.instance)

    def _on_unreachable(self, peer_id: str) -> None:
        member = self._table.by_id.get(peer_id)
        if member is None or not self._links.is_own_neighbour(peer_id):
            return
        if member.sequence == 0:
            self._table.report_state(peer_id, InstanceState.DEAD)
        elif member.state in (InstanceState.LIVE, InstanceState.LEAVING):
            self._begin_indirect_probe(peer_id)

    def _begin_indirect_probe(self, peer_id: str) -> None:
        member = self._table.by_id.get(peer_id)
        now = asyncio.get_running_loop().time()
        if member is None or member.state in (InstanceState.SUSPECTED, InstanceState.DEAD):
            return
        if peer_id in self._probe_by_id or now < self._no_probe_until_by_id.get(peer_id, 0.0):
            return
        probe = self._probe_by_id[peer_id] = _IndirectProbe(member.sequence, now)
        for prober_id in self._choose_probers(member):
            request = IndirectProbeRequest(peer_id, member.sequence)
            if self._links.send(prober_id, request, Traffic.CONTROL):
                probe.prober_ids.add(prober_id)

    def _choose_probers(self, silent: Member) -> list[str]:
        """Choose neighbours of the silent instance, then neighbours of this instance."""
        members = [
            each.instance
            for each in self._table.by_id.values()
            if each.sequence and each.state is not InstanceState.DEAD
        ]
        its_neighbours = set(overlay_neighbours(silent.instance, members))
        own_neighbours = set(self._links.neighbours()) - its_neighbours
        skip = {self._table.own_id, silent.id}
        chosen = self._sample(its_neighbours - skip, PROBERS_PER_PROBE - 1)
        return chosen + self._sample(own_neighbours - skip, PROBERS_PER_PROBE - len(chosen))

    def _sample(self, ids: set[str], count: int) -> list[str]:
        return self._rng.sample(sorted(ids), min(count, len(ids)))

    def _on_answer(self, prober_id: str, answer: IndirectProbeAnswer) -> None:
        probe = self._probe_by_id.get(answer.instance_id)
        if probe is None or prober_id not in probe.prober_ids or answer.sequence != probe.sequence:
            return
        if answer.answered:
            self._discard_answered_probe(answer.instance_id)
            return
        probe.negative_ids.add(prober_id)
        if probe.negative_ids == probe.prober_ids:
            self._suspect(answer.instance_id)

    def _discard_answered_probe(self, instance_id: str) -> None:
        """Discard a probe that was answered: only this instance's path to the peer is broken."""
        del self._probe_by_id[instance_id]
        now = asyncio.get_running_loop().time()
        self._no_probe_until_by_id[instance_id] = now + self._suspect_after_s
        log_event("peer_path_broken", instance=instance_id)

    def _finish_indirect_probes(self, now: float) -> None:
        self._no_probe_until_by_id = {
            each: until for each, until in self._no_probe_until_by_id.items() if until > now
        }
        for instance_id, probe in list(self._probe_by_id.items()):
            if self._has_received_since(instance_id, probe.began_at):
                del self._probe_by_id[instance_id]
            elif now - probe.began_at >= INDIRECT_PROBE_TIMEOUT_S:
                if probe.negative_ids or not self._has_possible_prober(instance_id):
                    self._suspect(instance_id)
                else:
                    del self._probe_by_id[instance_id]

    def _has_received_since(self, instance_id: str, since: float) -> bool:
        received_at = self._links.last_received_at(instance_id)
        return received_at is not None and received_at > since

    def _has_possible_prober(self, instance_id: str) -> bool:
        """Return whether there is a third live instance that could probe this one."""
        skip = {instance_id, self._table.own_id}
        return any(
            each.state is InstanceState.LIVE and each.sequence and each.id not in skip
            for each in self._table.by_id.values()
        )

    def _suspect(self, instance_id: str) -> None:
        probe = self._probe_by_id.pop(instance_id)
        member = self._table.by_id.get(instance_id)
        if member is not None and member.sequence == probe.sequence:
            log_event("instance_suspected", level="WARNING", instance=instance_id)
            self._table.report_state(instance_id, InstanceState.SUSPECTED)

    def _expire_suspected(self, now: float) -> None:
        suspected = [
            each for each in self._table.by_id.values() if each.state is InstanceState.SUSPECTED
        ]
        since_by_id = {each.id: (each.sequence, now) for each in suspected}
        for instance_id, (sequence, _) in since_by_id.items():
            held = self._suspected_by_id.get(instance_id)
            if held is not None and held[0] == sequence:
                since_by_id[instance_id] = held
        self._suspected_by_id = since_by_id
        for instance_id, (_, since) in since_by_id.items():
            if now - since >= self._dead_after_s:
                log_event("instance_dead", level="WARNING", instance=instance_id)
                self._table.report_state(instance_id, InstanceState.DEAD)


def create_failure_detector(
    settings: MembershipSettings, table: MemberTable, links: PeerLinks, rng: Random
) -> FailureDetector:
    """Create the detector of an instance."""
    return FailureDetector(settings, table, links, rng)
