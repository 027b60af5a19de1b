"""Finds silent neighbours: heartbeats on the overlay, confirmed by a second peer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.membership.interface import InstanceState, Traffic
from heatherhead.membership.member_messages import ConfirmAnswer, ConfirmRequest, Heartbeat
from heatherhead.membership.overlay import overlay_neighbours
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from random import Random

    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import Member, MemberTable
    from heatherhead.settings.membership import MembershipSettings

__all__ = ["FailureDetector", "create_failure_detector"]

PAUSE_S = 0.75  # a tick that comes later than this shows a pause of the own process
CONFIRM_TIMEOUT_S = 3.0
HELPERS = 3


@dataclass(slots=True)
class _Doubt:
    """A neighbour that seems silent, and what second peers have said of it."""

    sequence: int
    began_at: float
    asked: set[str] = field(default_factory=set)
    silent_for: set[str] = field(default_factory=set)


class FailureDetector:
    """Sends heartbeats, doubts silent neighbours and reports those that nobody reaches."""

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, links: PeerLinks, random: Random
    ) -> None:
        self._interval_s = settings.heartbeat_ms / 1000
        self._suspect_after_s = settings.suspect_after_ms / 1000
        self._dead_after_s = settings.dead_after_ms / 1000
        self._table = table
        self._links = links
        self._random = random
        self._doubt_by_id: dict[str, _Doubt] = {}
        self._suspected_by_id: dict[str, tuple[int, float]] = {}
        self._forgiven_at = 0.0
        self._cleared_until_by_id: dict[str, float] = {}
        links.on_greeting(self._on_greeting)
        links.on_lost(self._on_lost)
        links.on_unreachable(self._on_unreachable)
        links.subscribe(ConfirmAnswer, self._on_answer)

    async def run(self) -> None:
        """Tick at each heartbeat until cancelled."""
        loop = asyncio.get_running_loop()
        wait_s = self._random.random() * self._interval_s
        while True:
            began_at = loop.time()
            await asyncio.sleep(wait_s)
            if loop.time() - began_at > wait_s + PAUSE_S:
                self._forgive(loop.time() - began_at)
            self.tick()
            wait_s = self._interval_s

    def tick(self) -> None:
        """Send heartbeats and look at the silence of each neighbour."""
        now = asyncio.get_running_loop().time()
        members_hash = self._table.total_hash
        for peer_id in self._links.neighbours():
            heartbeat = Heartbeat(self._links.is_wanted(peer_id), members_hash)
            self._links.send(peer_id, heartbeat, Traffic.CONTROL)
            self._look_at(peer_id, now)
        self._end_doubts(now)
        self._bury_suspected(now)

    def _look_at(self, peer_id: str, now: float) -> None:
        heard_at = self._links.last_heard(peer_id)
        if heard_at is None or not self._links.is_wanted(peer_id):
            return
        if now - max(heard_at, self._forgiven_at) > self._suspect_after_s:
            self._begin_doubt(peer_id)

    def _forgive(self, gap_s: float) -> None:
        """Start all silences anew: while this process was paused nobody could be heard."""
        log_event("own_pause", level="WARNING", gap_s=round(gap_s, 3))
        now = asyncio.get_running_loop().time()
        self._forgiven_at = now
        self._doubt_by_id.clear()
        self._suspected_by_id = {
            each: (sequence, now) for each, (sequence, _) in self._suspected_by_id.items()
        }

    def _on_greeting(self, peer: Member) -> None:
        """Tell at once that the stream is wanted, so that the peer serves what is asked on it."""
        if self._links.is_wanted(peer.id):
            self._links.send(peer.id, Heartbeat(True, self._table.total_hash), Traffic.CONTROL)

    def _on_lost(self, peer_id: str) -> None:
        member = self._table.by_id.get(peer_id)
        if member is not None and self._links.is_wanted(peer_id):
            self._links.try_reach(member.instance)

    def _on_unreachable(self, peer_id: str) -> None:
        member = self._table.by_id.get(peer_id)
        if member is None or not self._links.is_wanted(peer_id):
            return
        if member.sequence == 0:
            self._table.judge(peer_id, InstanceState.DEAD)
        elif member.state in (InstanceState.LIVE, InstanceState.LEAVING):
            self._begin_doubt(peer_id)

    def _begin_doubt(self, peer_id: str) -> None:
        member = self._table.by_id.get(peer_id)
        now = asyncio.get_running_loop().time()
        if member is None or member.state in (InstanceState.SUSPECTED, InstanceState.DEAD):
            return
        if peer_id in self._doubt_by_id or now < self._cleared_until_by_id.get(peer_id, 0.0):
            return
        doubt = self._doubt_by_id[peer_id] = _Doubt(member.sequence, now)
        for helper_id in self._helpers(member):
            request = ConfirmRequest(peer_id, member.sequence)
            if self._links.send(helper_id, request, Traffic.CONTROL):
                doubt.asked.add(helper_id)

    def _helpers(self, doubted: Member) -> list[str]:
        """Choose second peers: neighbours of the doubted instance, and one of this one's."""
        members = [
            each.instance
            for each in self._table.by_id.values()
            if each.sequence and each.state is not InstanceState.DEAD
        ]
        theirs = set(overlay_neighbours(doubted.instance, members))
        ours = set(self._links.neighbours()) - theirs
        skip = {self._table.own_id, doubted.id}
        chosen = self._sample(theirs - skip, HELPERS - 1)
        return chosen + self._sample(ours - skip, HELPERS - len(chosen))

    def _sample(self, ids: set[str], count: int) -> list[str]:
        return self._random.sample(sorted(ids), min(count, len(ids)))

    def _on_answer(self, helper_id: str, answer: ConfirmAnswer) -> None:
        doubt = self._doubt_by_id.get(answer.instance_id)
        if doubt is None or helper_id not in doubt.asked or answer.sequence != doubt.sequence:
            return
        if answer.answered:
            self._clear(answer.instance_id)
            return
        doubt.silent_for.add(helper_id)
        if doubt.silent_for == doubt.asked:
            self._suspect(answer.instance_id)

    def _clear(self, instance_id: str) -> None:
        """Let a doubt rest: only this instance's own path to the peer is at fault."""
        del self._doubt_by_id[instance_id]
        now = asyncio.get_running_loop().time()
        self._cleared_until_by_id[instance_id] = now + self._suspect_after_s
        log_event("peer_path_broken", instance=instance_id)

    def _end_doubts(self, now: float) -> None:
        self._cleared_until_by_id = {
            each: until for each, until in self._cleared_until_by_id.items() if until > now
        }
        for instance_id, doubt in list(self._doubt_by_id.items()):
            if self._is_heard_since(instance_id, doubt.began_at):
                del self._doubt_by_id[instance_id]
            elif now - doubt.began_at >= CONFIRM_TIMEOUT_S:
                if doubt.silent_for or not self._others_than(instance_id):
                    self._suspect(instance_id)
                else:
                    del self._doubt_by_id[instance_id]

    def _is_heard_since(self, instance_id: str, since: float) -> bool:
        heard_at = self._links.last_heard(instance_id)
        return heard_at is not None and heard_at > since

    def _others_than(self, instance_id: str) -> bool:
        """Tell whether a third instance exists that could confirm."""
        skip = {instance_id, self._table.own_id}
        return any(
            each.state is InstanceState.LIVE and each.sequence and each.id not in skip
            for each in self._table.by_id.values()
        )

    def _suspect(self, instance_id: str) -> None:
        doubt = self._doubt_by_id.pop(instance_id)
        member = self._table.by_id.get(instance_id)
        if member is not None and member.sequence == doubt.sequence:
            log_event("instance_suspected", level="WARNING", instance=instance_id)
            self._table.judge(instance_id, InstanceState.SUSPECTED)

    def _bury_suspected(self, now: float) -> None:
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
                self._table.judge(instance_id, InstanceState.DEAD)


def create_failure_detector(
    settings: MembershipSettings, table: MemberTable, links: PeerLinks, random: Random
) -> FailureDetector:
    """Create the detector of an instance."""
    return FailureDetector(settings, table, links, random)
