"""The revision that each instance has applied, collected over the overlay.

Each instance reports its applied revision once per change. Reports are gossiped like records: a
neighbour gets only what it has not been sent, in batches. Instances with the same revision share
one entry of a message, to which each adds a tag: a hash of `TAG_BYTES` bytes.
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

__all__ = ["AppliedRevisionTable", "create_applied_revision_table", "instance_tag"]

TAG_BYTES = 5
BATCH_DELAY_S = 0.25
TAGS_PER_MESSAGE = 2_048
MAX_TAGS = 16_384
TAG_CACHE_ENTRIES = 16_384


@lru_cache(maxsize=TAG_CACHE_ENTRIES)
def instance_tag(instance_id: str, incarnation: str) -> str:
    """Return a short hash that identifies one process of an instance, in hexadecimal."""
    return blake2b(f"{instance_id}\0{incarnation}".encode(), digest_size=TAG_BYTES).hexdigest()


class AppliedRevisionTable:
    """Holds the highest revision that each process reported; implements `ConfigurationStatus`."""

    def __init__(self, table: RecordTable, view: View, links: PeerLinks) -> None:
        self._table = table
        self._view = view
        self._links = links
        self._revision_by_tag: dict[str, int] = {}
        self._received_at_by_tag: dict[str, float] = {}
        self._outbox = create_outbox(links, self._build, BATCH_DELAY_S)
        self.applied_hash = 0
        table.on_applied(self._report_own)
        links.subscribe(AppliedReports, self._on_reports)
        links.on_lost(self._outbox.discard_peer)

    def applied(self) -> list[AppliedRevision]:
        """List the applied revision of each known instance; -1 for one that has not reported."""
        now = asyncio.get_running_loop().time()
        return [self._applied_of(each, now) for each in self._view.by_id.values()]

    def missing(self, revision: int) -> list[str]:
        """List the live instances that have not applied `revision` yet."""
        live = {each.id for each in self._view.live()}
        return sorted(
            each.instance_id
            for each in self.applied()
            if each.instance_id in live and each.revision < revision
        )

    def send_all(self, peer_id: str) -> None:
        """Queue all reports for a peer."""
        self._outbox.add_for(peer_id, self._revision_by_tag)

    def close(self) -> None:
        """Stop sending."""
        self._outbox.close()

    def _applied_of(self, instance: Instance, now: float) -> AppliedRevision:
        tag = instance_tag(instance.id, instance.incarnation)
        if instance.id == self._view.own.id:
            return AppliedRevision(instance.id, self._table.applied, 0.0)
        received_at = self._received_at_by_tag.get(tag, now)
        return AppliedRevision(instance.id, self._revision_by_tag.get(tag, -1), now - received_at)

    def _report_own(self, revision: int) -> None:
        own = self._view.own
        self._merge(instance_tag(own.id, own.incarnation), revision, None)

    def _on_reports(self, peer_id: str, message: AppliedReports) -> None:
        for revision, joined in message.groups:
            self._table.record_reported_revision(revision)
            for start in range(0, len(joined), TAG_BYTES):
                self._merge(joined[start : start + TAG_BYTES].hex(), revision, peer_id)

    def _merge(self, tag: str, revision: int, source_id: str | None) -> None:
        held = self._revision_by_tag.get(tag)
        if source_id is not None and held is not None and held <= revision:
            self._outbox.discard(source_id, tag)
        if held is not None and held >= revision:
            return
        if held is None and len(self._revision_by_tag) >= MAX_TAGS:
            self._remove_unknown()
        if held is not None:
            self.applied_hash ^= _hash(tag, held)
        self.applied_hash ^= _hash(tag, revision)
        self._revision_by_tag[tag] = revision
        self._received_at_by_tag[tag] = asyncio.get_running_loop().time()
        self._outbox.add(tag, except_for=source_id)

    def _remove_unknown(self) -> None:
        """Remove the reports of processes that are not in the view."""
        known = {instance_tag(each.id, each.incarnation) for each in self._view.by_id.values()}
        for tag in set(self._revision_by_tag) - known:
            self.applied_hash ^= _hash(tag, self._revision_by_tag.pop(tag))
            del self._received_at_by_tag[tag]

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


def create_applied_revision_table(
    table: RecordTable, view: View, links: PeerLinks
) -> AppliedRevisionTable:
    """Create an empty table of applied revisions."""
    return AppliedRevisionTable(table, view, links)
