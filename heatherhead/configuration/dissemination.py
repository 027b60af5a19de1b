"""Spreads records over the overlay: changes are pushed, differences found by hashes repaired."""

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

    from heatherhead.configuration.applied_board import AppliedBoard
    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.configuration.record_table import RecordTable
    from heatherhead.membership.interface import MembershipView
    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import Member

__all__ = ["Dissemination", "create_dissemination"]

GATHER_S = 0.01
RECORD_BYTES_PER_MESSAGE = 32 * 1024
DIGEST_INTERVAL_S = 10.0
RECHECK_S = 0.5  # after a push whose hash differs, as others may be under way
MAX_NAMES_PER_MESSAGE = 10_000
MAX_PUSHED_ON = 32  # records of one message; more are announced, and asked for where missing
ANNOUNCE_S = 0.1
REQUEST_TIMEOUT_S = 3.0  # without any of the records that were asked for
COMPARE_TIMEOUT_S = 1.0
BOARD_DIFFERENCES_BEFORE_REPAIR = 2  # digests in a row


class Dissemination:
    """Keeps the record tables of neighbours equal, and tells how far the own one is whole."""

    def __init__(
        self,
        table: RecordTable,
        board: AppliedBoard,
        view: MembershipView,
        links: PeerLinks,
        random: Random,
    ) -> None:
        self._table = table
        self._board = board
        self._view = view
        self._links = links
        self._random = random
        self._outbox = create_outbox(links, self._build, GATHER_S)
        self._source: str | None = None
        self._rechecks: set[str] = set()
        self._announcement: asyncio.TimerHandle | None = None
        self._requested: dict[str, int] = {}
        self._comparing_until = 0.0
        self._board_differences_by_peer: dict[str, int] = {}
        self.digest_by_peer: dict[str, Digest] = {}
        table.on_record(lambda record: self._outbox.add(record.name, but_not_to=self._source))
        table.on_bulk(self._announce)
        links.on_greeting(self._on_greeting)
        links.on_lost(self._on_lost)
        links.subscribe(Records, self._on_records)
        links.subscribe(Digest, self._on_digest)
        links.subscribe(RecordHashes, self._on_hashes)
        links.subscribe(RecordHeads, self._on_heads)
        links.subscribe(RecordRequest, self._on_request)

    async def run(self) -> None:
        """Compare with each neighbour now and then, until cancelled."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S * (0.8 + 0.4 * self._random.random()))
            self._send_digests()

    def close(self) -> None:
        """Stop sending."""
        self._outbox.close()
        if self._announcement is not None:
            self._announcement.cancel()

    def _announce(self) -> None:
        """Tell the neighbours soon that there is much news, for them to ask for."""
        if self._announcement is None:
            loop = asyncio.get_running_loop()
            self._announcement = loop.call_later(ANNOUNCE_S, self._send_digests)

    def _send_digests(self) -> None:
        self._announcement = None
        for peer_id in self._links.neighbours():
            self._send_digest(peer_id)

    def _on_greeting(self, peer: Member) -> None:
        if self._links.is_wanted(peer.id):
            self._send_digest(peer.id)
            self._board.send_all(peer.id)

    def _on_lost(self, peer_id: str) -> None:
        self._outbox.drop(peer_id)
        self.digest_by_peer.pop(peer_id, None)
        self._board_differences_by_peer.pop(peer_id, None)

    def _on_digest(self, peer_id: str, digest: Digest) -> None:
        is_first = peer_id not in self.digest_by_peer
        self.digest_by_peer[peer_id] = digest
        self._table.hear_of(max(digest.applied, digest.heard_of))
        self._compare_boards(peer_id, digest)
        if digest.total_hash != self._table.total_hash:
            self._compare(peer_id)
        else:
            self._outbox.drop(peer_id)
            self._table.advance(digest.applied)
        if is_first or digest.applied < self._table.applied:
            self._send_digest(peer_id)

    def _compare(self, peer_id: str) -> None:
        """Ask for the heads of what differs: of one peer at a time, and of near ones first."""
        now = asyncio.get_running_loop().time()
        if now < self._comparing_until or self._has_nearer(peer_id):
            self._recheck(peer_id)
            return
        self._requested.clear()
        self._comparing_until = now + COMPARE_TIMEOUT_S
        self._links.send(peer_id, RecordHashes(list(self._table.hashes)), Traffic.CONTROL)

    def _has_nearer(self, peer_id: str) -> bool:
        """Tell whether a peer of the own region knows as much as one of another region."""
        if self._is_near(peer_id):
            return False
        known = self.digest_by_peer[peer_id].applied
        digests = self.digest_by_peer.items()
        return any(self._is_near(each) and digest.applied >= known for each, digest in digests)

    def _is_near(self, peer_id: str) -> bool:
        peer = self._view.by_id.get(peer_id)
        return peer is not None and peer.region == self._view.own.region

    def _compare_boards(self, peer_id: str, digest: Digest) -> None:
        if digest.board_hash == self._board.board_hash:
            self._board_differences_by_peer.pop(peer_id, None)
            return
        count = self._board_differences_by_peer.get(peer_id, 0) + 1
        self._board_differences_by_peer[peer_id] = count
        if count % BOARD_DIFFERENCES_BEFORE_REPAIR == 0:
            self._board.send_all(peer_id)

    def _on_hashes(self, peer_id: str, message: RecordHashes) -> None:
        if len(message.hashes) != BUCKETS:
            return
        pairs = enumerate(zip(message.hashes, self._table.hashes, strict=True))
        differing = {number for number, (theirs, ours) in pairs if theirs != ours}
        heads = [list(each) for each in self._table.heads(differing)]
        self._links.send(peer_id, RecordHeads(sorted(differing), heads), Traffic.CONTROL)

    def _on_heads(self, peer_id: str, message: RecordHeads) -> None:
        self._comparing_until = 0.0
        theirs = {name: revision for name, revision in message.heads[:MAX_NAMES_PER_MESSAGE]}
        wanted = [
            name for name, revision in theirs.items() if revision > self._table.revision_of(name)
        ]
        has_newer = any(
            revision > theirs.get(name, 0)
            for name, revision in self._table.heads(set(message.buckets))
        )
        if wanted:
            self._request(peer_id, wanted, theirs)
        if has_newer or not wanted:
            self._send_digest(peer_id)

    def _request(self, peer_id: str, names: list[str], revision_by_name: dict[str, int]) -> None:
        """Ask for records, and compare with no other peer while they come."""
        if self._links.send(peer_id, RecordRequest(names), Traffic.CONTROL):
            self._requested = {name: revision_by_name[name] for name in names}
            self._comparing_until = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S

    def _note_arrival(self, packed: PackedRecord) -> None:
        """Go on waiting for the other records that were asked for, while some still come."""
        if self._requested.get(packed.name, packed.revision + 1) > packed.revision:
            return
        del self._requested[packed.name]
        now = asyncio.get_running_loop().time()
        self._comparing_until = now + REQUEST_TIMEOUT_S if self._requested else 0.0

    def _on_request(self, peer_id: str, message: RecordRequest) -> None:
        known = [name for name in message.names if self._table.packed(name) is not None]
        self._outbox.add_for(peer_id, known[:MAX_NAMES_PER_MESSAGE])

    def _on_records(self, peer_id: str, message: Records) -> None:
        is_bulk = len(message.records) > MAX_PUSHED_ON
        self._source = peer_id
        try:
            with self._table.bulk() if is_bulk else nullcontext():
                for name, revision, data in message.records:
                    self._take_in(peer_id, PackedRecord(name, revision, data))
        finally:
            self._source = None
        self._table.hear_of(message.applied)
        if message.total_hash == self._table.total_hash:
            if message.applied >= 0:
                self._table.advance(message.applied)
        elif message.applied > self._table.applied:
            self._recheck(peer_id)

    def _take_in(self, peer_id: str, packed: PackedRecord) -> None:
        self._note_arrival(packed)
        held = self._table.revision_of(packed.name)
        if held <= packed.revision:
            self._outbox.discard(peer_id, packed.name)
        if held >= packed.revision:
            return
        try:
            self._table.take_in_packed(_unpack(packed), packed)
        except PeerProtocolError as error:
            # A newer release may have written it; the rest of the configuration goes on.
            log_event("record_refused", level="ERROR", service=packed.name, reason=str(error))

    def _recheck(self, peer_id: str) -> None:
        """Compare with a peer soon, unless that is planned already."""
        if peer_id in self._rechecks:
            return
        self._rechecks.add(peer_id)
        asyncio.get_running_loop().call_later(RECHECK_S, self._check_again, peer_id)

    def _check_again(self, peer_id: str) -> None:
        self._rechecks.discard(peer_id)
        if not self._table.is_whole:
            self._send_digest(peer_id)

    def _send_digest(self, peer_id: str) -> None:
        table = self._table
        digest = Digest(table.total_hash, table.applied, table.heard_of, self._board.board_hash)
        self._links.send(peer_id, digest, Traffic.CONTROL)

    def _build(self, names: list[str]) -> tuple[object, int]:
        """Pack records up to the size of one message, at least one."""
        records: list[list[object]] = []
        size = taken = 0
        for name in names:
            packed = self._table.packed(name)
            if packed is not None:
                if records and size + len(packed.data) > RECORD_BYTES_PER_MESSAGE:
                    break
                records.append([packed.name, packed.revision, packed.data])
                size += len(packed.data)
            taken += 1
        return Records(records, self._table.total_hash, self._table.applied), taken


def _unpack(packed: PackedRecord) -> ServiceRecord:
    """Unpack a peer's record; raises `PeerProtocolError` for anything else."""
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
            f"record of {record.name} sent as {packed.name}",
            remedy="run the same release everywhere",
        )
    return record


def create_dissemination(
    table: RecordTable,
    board: AppliedBoard,
    view: MembershipView,
    links: PeerLinks,
    random: Random,
) -> Dissemination:
    """Create the dissemination of a record table over the peer streams."""
    return Dissemination(table, board, view, links, random)
