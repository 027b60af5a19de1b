"""Gossips member reports over the overlay and repairs differences between member tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.membership.interface import InstanceState, Traffic
from heatherhead.membership.member_messages import (
    Heartbeat,
    MemberHashes,
    MemberReports,
    pack_member,
    unpack_member,
)
from heatherhead.membership.outbox import create_outbox
from heatherhead.token_bucket import create_token_bucket

if TYPE_CHECKING:
    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import Member, MemberTable

__all__ = ["Gossip", "create_gossip"]

BATCH_DELAY_S = 0.02
REPORTS_PER_MESSAGE = 128
DIFFERENCES_BEFORE_REPAIR = 3  # consecutive heartbeats with a different hash
REFUTATIONS_PER_S = 1.0
REFUTATIONS_BURST = 5


class Gossip:
    """Sends each changed entry to the neighbours and compares table hashes with theirs."""

    def __init__(self, table: MemberTable, links: PeerLinks) -> None:
        self._table = table
        self._links = links
        self._outbox = create_outbox(links, self._build, BATCH_DELAY_S, only_neighbours=False)
        self._differences_by_peer: dict[str, int] = {}
        self._source_id: str | None = None
        # Bounds the refutations when two instances are configured with the same id.
        self._refutations = create_token_bucket(REFUTATIONS_PER_S, REFUTATIONS_BURST)
        table.subscribe(self._publish)
        links.on_greeting(self._on_greeting)
        links.on_lost(self._on_lost)
        links.subscribe(MemberReports, self._on_reports)
        links.subscribe(MemberHashes, self._on_hashes)
        links.subscribe(Heartbeat, self._on_heartbeat)

    def flush(self) -> None:
        """Send the pending reports now."""
        self._outbox.flush()

    def close(self) -> None:
        """Stop sending."""
        self._outbox.close()

    def _publish(self, member: Member) -> None:
        if member.sequence:
            self._outbox.add(member.id, except_for=self._source_id)

    def _build(self, ids: list[str]) -> tuple[object, int]:
        chosen = ids[:REPORTS_PER_MESSAGE]
        members = [self._table.by_id[each] for each in chosen if each in self._table.by_id]
        return MemberReports([pack_member(each) for each in members]), len(chosen)

    def _on_greeting(self, peer: Member) -> None:
        known = self._table.by_id.get(peer.id)
        was_dead = known is not None and known.state is InstanceState.DEAD
        self._merge(peer.id, peer)
        held = self._table.by_id.get(peer.id)
        if held is not None and held.is_newer_than(peer):
            self._outbox.add_for(peer.id, [peer.id])
        if was_dead or self._links.is_own_neighbour(peer.id):
            self._send_hashes(peer.id, is_answer=False)

    def _on_lost(self, peer_id: str) -> None:
        self._outbox.discard_peer(peer_id)
        self._differences_by_peer.pop(peer_id, None)

    def _on_reports(self, peer_id: str, message: MemberReports) -> None:
        for values in message.members:
            self._merge(peer_id, unpack_member(values))

    def _merge(self, source_id: str, report: Member) -> None:
        if report.id == self._table.own_id and not self._may_refute(report):
            return
        self._source_id = source_id
        try:
            self._table.merge(report)
        finally:
            self._source_id = None

    def _may_refute(self, report: Member) -> bool:
        is_current = report.sequence >= self._table.own.sequence
        return is_current and report != self._table.own and self._refutations.try_take()

    def _on_hashes(self, peer_id: str, message: MemberHashes) -> None:
        if len(message.hashes) != len(self._table.hashes):
            return
        pairs = enumerate(zip(message.hashes, self._table.hashes, strict=True))
        differing = {number for number, (reported, own) in pairs if reported != own}
        if not differing:
            return
        self._outbox.add_for(
            peer_id, [each.id for each in self._table.members_in_buckets(differing)]
        )
        if not message.is_answer:
            self._send_hashes(peer_id, is_answer=True)

    def _on_heartbeat(self, peer_id: str, message: Heartbeat) -> None:
        if message.members_hash == self._table.total_hash:
            self._differences_by_peer.pop(peer_id, None)
            return
        count = self._differences_by_peer.get(peer_id, 0) + 1
        self._differences_by_peer[peer_id] = count
        if count % DIFFERENCES_BEFORE_REPAIR == 0:
            self._send_hashes(peer_id, is_answer=False)

    def _send_hashes(self, peer_id: str, *, is_answer: bool) -> None:
        message = MemberHashes(list(self._table.hashes), is_answer)
        self._links.send(peer_id, message, Traffic.CONTROL)


def create_gossip(table: MemberTable, links: PeerLinks) -> Gossip:
    """Create the gossip of a member table over the peer streams."""
    return Gossip(table, links)
