"""Which instance has which revision in force, gathered over the overlay.

Each instance reports its applied revision once per change. Reports travel like records: a
neighbour gets only what it has not been sent, gathered for a moment, and instances that have the
same revision share one entry in a message, five bytes each.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

from heatherhead.configuration.interface import AppliedRevision
from heatherhead.configuration.record_messages import AppliedReports
from heatherhead.membership.outbox import create_outbox

if TYPE_CHECKING:
    from heatherhead.configuration.record_table import RecordTable
    from heatherhead.membership.interface import Instance
    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.view import View

__all__ = ["AppliedBoard", "create_applied_board", "instance_tag"]

TAG_BYTES = 5
GATHER_S = 0.25
TAGS_PER_MESSAGE = 2_048
MAX_TAGS = 16_384
TAG_CACHE_ENTRIES = 16_384


@lru_cache(maxsize=TAG_CACHE_ENTRIES)
def instance_tag(instance_id: str, incarnation: str) -> str:
    """Return the short tag of one process, as hexadecimal digits."""
    return blake2b(f"{instance_id}\0{incarnation}".encode(), digest_size=TAG_BYTES).hexdigest()


class AppliedBoard:
    """Holds the highest reported revision of each process; implements `ConfigurationStatus`."""

    def __init__(self, table: RecordTable, view: View, links: PeerLinks) -> None:
        self._table = table
        self._view = view
        self._links = links
        self._revision_by_tag: dict[str, int] = {}
        self._heard_at_by_tag: dict[str, float] = {}
        self._outbox = create_outbox(links, self._build, GATHER_S)
        self.board_hash = 0
        table.on_applied(self._report_own)
        links.subscribe(AppliedReports, self._on_reports)
        links.on_lost(self._outbox.drop)

    def applied(self) -> list[AppliedRevision]:
        """List what each known instance has in force; -1 for one that has not reported."""
        now = asyncio.get_running_loop().time()
        return [self._applied_of(each, now) for each in self._view.by_id.values()]

    def missing(self, revision: int) -> list[str]:
        """List the live instances that do not have `revision` in force yet."""
        live = {each.id for each in self._view.live()}
        return sorted(
            each.instance_id
            for each in self.applied()
            if each.instance_id in live and each.revision < revision
        )

    def send_all(self, peer_id: str) -> None:
        """Send all reports to a peer."""
        self._outbox.add_for(peer_id, self._revision_by_tag)

    def close(self) -> None:
        """Stop sending."""
        self._outbox.close()

    def _applied_of(self, instance: Instance, now: float) -> AppliedRevision:
        tag = instance_tag(instance.id, instance.incarnation)
        if instance.id == self._view.own.id:
            return AppliedRevision(instance.id, self._table.applied, 0.0)
        heard_at = self._heard_at_by_tag.get(tag, now)
        return AppliedRevision(instance.id, self._revision_by_tag.get(tag, -1), now - heard_at)

    def _report_own(self, revision: int) -> None:
        own = self._view.own
        self._take_in(instance_tag(own.id, own.incarnation), revision, None)

    def _on_reports(self, peer_id: str, message: AppliedReports) -> None:
        for revision, joined in message.groups:
            self._table.hear_of(revision)
            for start in range(0, len(joined), TAG_BYTES):
                self._take_in(joined[start : start + TAG_BYTES].hex(), revision, peer_id)

    def _take_in(self, tag: str, revision: int, source: str | None) -> None:
        held = self._revision_by_tag.get(tag)
        if source is not None and held is not None and held <= revision:
            self._outbox.discard(source, tag)
        if held is not None and held >= revision:
            return
        if held is None and len(self._revision_by_tag) >= MAX_TAGS:
            self._forget_unknown()
        if held is not None:
            self.board_hash ^= _hash(tag, held)
        self.board_hash ^= _hash(tag, revision)
        self._revision_by_tag[tag] = revision
        self._heard_at_by_tag[tag] = asyncio.get_running_loop().time()
        self._outbox.add(tag, but_not_to=source)

    def _forget_unknown(self) -> None:
        """Drop the reports of processes that the view does not hold."""
        known = {instance_tag(each.id, each.incarnation) for each in self._view.by_id.values()}
        for tag in set(self._revision_by_tag) - known:
            self.board_hash ^= _hash(tag, self._revision_by_tag.pop(tag))
            del self._heard_at_by_tag[tag]

    def _build(self, tags: list[str]) -> tuple[object, int]:
        chosen = tags[:TAGS_PER_MESSAGE]
        tags_by_revision: dict[int, list[str]] = defaultdict(list)
        for tag in chosen:
            if tag in self._revision_by_tag:
                tags_by_revision[self._revision_by_tag[tag]].append(tag)
        groups = [
            [revision, bytes.fromhex("".join(each))] for revision, each in tags_by_revision.items()
        ]
        return AppliedReports(groups), len(chosen)


def _hash(tag: str, revision: int) -> int:
    digest = blake2b(f"{tag}@{revision}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def create_applied_board(table: RecordTable, view: View, links: PeerLinks) -> AppliedBoard:
    """Create an empty board."""
    return AppliedBoard(table, view, links)
