"""Gossips records over the overlay: pushes changes and repairs differences found by hashes."""

from __future__ import annotations

import asyncio
import zlib
from contextlib import nullcontext
from typing import TYPE_CHECKING

from heatherhead.configuration.documents import MAX_DOCUMENT_BYTES, decode_record
from heatherhead.configuration.record_messages import (
    Digest,
    RecordHashes,
    RecordHeads,
    RecordRequest,
    Records,
)
from heatherhead.configuration.record_table import BUCKETS, PackedRecord
from heatherhead.exceptions import ConfigurationError, PeerProtocolError
from heatherhead.membership.interface import Traffic
from heatherhead.membership.outbox import create_outbox
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from random import Random

    from heatherhead.configuration.applied_revisions import AppliedRevisionTable
    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.configuration.record_table import RecordTable
    from heatherhead.membership.interface import MembershipView
    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import Member

__all__ = ["Dissemination", "create_dissemination"]

BATCH_DELAY_S = 0.01
RECORD_BYTES_PER_MESSAGE = 32 * 1024
DIGEST_INTERVAL_S = 10.0
RECHECK_DELAY_S = 0.5  # after a hash mismatch, as the missing records may still be on their way
MAX_NAMES_PER_MESSAGE = 10_000
MAX_FORWARDED_RECORDS = 32  # per received message; larger ones are announced by a digest
ANNOUNCE_DELAY_S = 0.1
REQUEST_TIMEOUT_S = 3.0  # without any of the requested records
COMPARE_TIMEOUT_S = 1.0
APPLIED_DIFFERENCES_BEFORE_REPAIR = 2  # consecutive digests


class Dissemination:
    """Keeps the record tables of neighbours equal and advances the applied revision."""

    def __init__(
        self,
        table: RecordTable,
        applied_revisions: AppliedRevisionTable,
        view: MembershipView,
        links: PeerLinks,
        rng: Random,
    ) -> None:
        self._table = table
        self._applied_revisions = applied_revisions
        self._view = view
        self._links = links
        self._rng = rng
        self._outbox = create_outbox(links, self._build, BATCH_DELAY_S)
        self._source_id: str | None = None
        self._rechecks: set[str] = set()
        self._announcement: asyncio.TimerHandle | None = None
        self._requested: dict[str, int] = {}
        self._comparing_until = 0.0
        self._applied_differences_by_peer: dict[str, int] = {}
        self.digest_by_peer: dict[str, Digest] = {}
        table.on_record(lambda record: self._outbox.add(record.name, except_for=self._source_id))
        table.on_bulk(self._schedule_announcement)
        links.on_greeting(self._on_greeting)
        links.on_lost(self._on_lost)
        links.subscribe(Records, self._on_records)
        links.subscribe(Digest, self._on_digest)
        links.subscribe(RecordHashes, self._on_hashes)
        links.subscribe(RecordHeads, self._on_heads)
        links.subscribe(RecordRequest, self._on_request)

    async def run(self) -> None:
        """Send a digest to each neighbour periodically until cancelled."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S * (0.8 + 0.4 * self._rng.random()))
            self._send_digests()

    def close(self) -> None:
        """Stop sending."""
        self._outbox.close()
        if self._announcement is not None:
            self._announcement.cancel()

    def _schedule_announcement(self) -> None:
        """Schedule digests to the neighbours, which then request the records they lack."""
        if self._announcement is None:
            loop = asyncio.get_running_loop()
            self._announcement = loop.call_later(ANNOUNCE_DELAY_S, self._send_digests)

    def _send_digests(self) -> None:
        self._announcement = None
        for peer_id in self._links.neighbours():
            self._send_digest(peer_id)

    def _on_greeting(self, peer: Member) -> None:
        if self._links.is_own_neighbour(peer.id):
            self._send_digest(peer.id)
            self._applied_revisions.send_all(peer.id)

    def _on_lost(self, peer_id: str) -> None:
        self._outbox.discard_peer(peer_id)
        self.digest_by_peer.pop(peer_id, None)
        self._applied_differences_by_peer.pop(peer_id, None)

    def _on_digest(self, peer_id: str, digest: Digest) -> None:
        is_first = peer_id not in self.digest_by_peer
        self.digest_by_peer[peer_id] = digest
        self._table.record_reported_revision(max(digest.applied, digest.reported_revision))
        self._compare_applied(peer_id, digest)
        if digest.total_hash != self._table.total_hash:
            self._compare(peer_id)
        else:
            self._outbox.discard_peer(peer_id)
            self._table.advance(digest.applied)
        if is_first or digest.applied < self._table.applied:
            self._send_digest(peer_id)

    def _compare(self, peer_id: str) -> None:
        """Start a comparison: with one peer at a time, and with peers of this region first."""
        now = asyncio.get_running_loop().time()
        if now < self._comparing_until or self._has_source_in_own_region(peer_id):
            self._recheck(peer_id)
            return
        self._requested.clear()
        self._comparing_until = now + COMPARE_TIMEOUT_S
        self._links.send(peer_id, RecordHashes(list(self._table.hashes)), Traffic.CONTROL)

    def _has_source_in_own_region(self, peer_id: str) -> bool:
        """Return whether `peer_id` is in another region and a peer in this one is as up to date."""
        if self._is_in_own_region(peer_id):
            return False
        known = self.digest_by_peer[peer_id].applied
        digests = self.digest_by_peer.items()
        return any(
            self._is_in_own_region(each) and digest.applied >= known for each, digest in digests
        )

    def _is_in_own_region(self, peer_id: str) -> bool:
        peer = self._view.by_id.get(peer_id)
        return peer is not None and peer.region == self._view.own.region

    def _compare_applied(self, peer_id: str, digest: Digest) -> None:
        if digest.applied_hash == self._applied_revisions.applied_hash:
            self._applied_differences_by_peer.pop(peer_id, None)
            return
        count = self._applied_differences_by_peer.get(peer_id, 0) + 1
        self._applied_differences_by_peer[peer_id] = count
        if count % APPLIED_DIFFERENCES_BEFORE_REPAIR == 0:
            self._applied_revisions.send_all(peer_id)

    def _on_hashes(self, peer_id: str, message: RecordHashes) -> None:
        if len(message.hashes) != BUCKETS:
            return
        pairs = enumerate(zip(message.hashes, self._table.hashes, strict=True))
        differing = {number for number, (reported, own) in pairs if reported != own}
        heads = [list(each) for each in self._table.heads(differing)]
        self._links.send(peer_id, RecordHeads(sorted(differing), heads), Traffic.CONTROL)

    def _on_heads(self, peer_id: str, message: RecordHeads) -> None:
        self._comparing_until = 0.0
        revision_by_name = {
            name: revision for name, revision in message.heads[:MAX_NAMES_PER_MESSAGE]
        }
        wanted = [
            name
            for name, revision in revision_by_name.items()
            if revision > self._table.revision_of(name)
        ]
        has_newer = any(
            revision > revision_by_name.get(name, 0)
            for name, revision in self._table.heads(set(message.buckets))
        )
        if wanted:
            self._request(peer_id, wanted, revision_by_name)
        if has_newer or not wanted:
            self._send_digest(peer_id)

    def _request(self, peer_id: str, names: list[str], revision_by_name: dict[str, int]) -> None:
        """Request records, and start no other comparison while they arrive."""
        if self._links.send(peer_id, RecordRequest(names), Traffic.CONTROL):
            self._requested = {name: revision_by_name[name] for name in names}
            self._comparing_until = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S

    def _record_arrival(self, packed: PackedRecord) -> None:
        """Record the arrival of a requested record and extend the timeout of the others."""
        if self._requested.get(packed.name, packed.revision + 1) > packed.revision:
            return
        del self._requested[packed.name]
        now = asyncio.get_running_loop().time()
        self._comparing_until = now + REQUEST_TIMEOUT_S if self._requested else 0.0

    def _on_request(self, peer_id: str, message: RecordRequest) -> None:
        known = [name for name in message.names if self._table.packed(name) is not None]
        self._outbox.add_for(peer_id, known[:MAX_NAMES_PER_MESSAGE])

    def _on_records(self, peer_id: str, message: Records) -> None:
        is_bulk = len(message.records) > MAX_FORWARDED_RECORDS
        self._source_id = peer_id
        try:
            with self._table.bulk() if is_bulk else nullcontext():
                for name, revision, data in message.records:
                    self._apply_record(peer_id, PackedRecord(name, revision, data))
        finally:
            self._source_id = None
        self._table.record_reported_revision(message.applied)
        if message.total_hash == self._table.total_hash:
            if message.applied >= 0:
                self._table.advance(message.applied)
        elif message.applied > self._table.applied:
            self._recheck(peer_id)

    def _apply_record(self, peer_id: str, packed: PackedRecord) -> None:
        self._record_arrival(packed)
        held = self._table.revision_of(packed.name)
        if held <= packed.revision:
            self._outbox.discard(peer_id, packed.name)
        if held >= packed.revision:
            return
        try:
            self._table.apply_packed(_unpack(packed), packed)
        except PeerProtocolError as error:
            # A newer release may have written it; the other records are still applied.
            log_event("record_refused", level="ERROR", service=packed.name, reason=str(error))

    def _recheck(self, peer_id: str) -> None:
        """Schedule another digest to a peer, unless one is scheduled already."""
        if peer_id in self._rechecks:
            return
        self._rechecks.add(peer_id)
        asyncio.get_running_loop().call_later(RECHECK_DELAY_S, self._run_recheck, peer_id)

    def _run_recheck(self, peer_id: str) -> None:
        self._rechecks.discard(peer_id)
        if not self._table.is_complete:
            self._send_digest(peer_id)

    def _send_digest(self, peer_id: str) -> None:
        table = self._table
        digest = Digest(
            table.total_hash,
            table.applied,
            table.reported_revision,
            self._applied_revisions.applied_hash,
        )
        self._links.send(peer_id, digest, Traffic.CONTROL)

    def _build(self, names: list[str]) -> tuple[object, int]:
        """Build a message of at least one record, up to the size limit."""
        records: list[list[object]] = []
        size = used_count = 0
        for name in names:
            packed = self._table.packed(name)
            if packed is not None:
                if records and size + len(packed.data) > RECORD_BYTES_PER_MESSAGE:
                    break
                records.append([packed.name, packed.revision, packed.data])
                size += len(packed.data)
            used_count += 1
        return Records(records, self._table.total_hash, self._table.applied), used_count


def _unpack(packed: PackedRecord) -> ServiceRecord:
    """Unpack a peer's record; raises `PeerProtocolError` if it is malformed."""
    try:
        unpacker = zlib.decompressobj()
        document = unpacker.decompress(packed.data, MAX_DOCUMENT_BYTES)
        record = decode_record(document, packed.revision)
    except (zlib.error, ConfigurationError) as error:
        raise PeerProtocolError(
            f"unreadable record of {packed.name}: {error}",
            remedy="run the same release everywhere",
        ) from error
    if record.name != packed.name:
        raise PeerProtocolError(
            f"record of {record.name} was sent under the name {packed.name}",
            remedy="run the same release everywhere",
        )
    return record


def create_dissemination(
    table: RecordTable,
    applied_revisions: AppliedRevisionTable,
    view: MembershipView,
    links: PeerLinks,
    rng: Random,
) -> Dissemination:
    """Create the dissemination of a record table over the peer streams."""
    return Dissemination(table, applied_revisions, view, links, rng)
