"""The replica's records as packed documents, with hashes for comparing two replicas."""

from __future__ import annotations

import zlib
from contextlib import contextmanager
from dataclasses import dataclass
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import TYPE_CHECKING

from heatherhead.configuration.documents import encode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.configuration.replica import Replica

__all__ = ["BUCKETS", "PackedRecord", "RecordTable", "bucket_of", "create_record_table"]

BUCKETS = 64
HASH_BYTES = 8
NOTHING_APPLIED = -1
ZLIB_LEVEL = 6  # compresses a list of upstreams to about an eighth


@dataclass(frozen=True, slots=True)
class PackedRecord:
    """A record's compressed document, as it is sent between instances."""

    name: str
    revision: int
    data: bytes


class RecordTable:
    """Holds each record's packed form and the revision up to which all changes are applied.

    `applied` is that revision, or -1 before the first complete snapshot. It advances with the
    store's watch, or to the applied revision of a peer that has the same records.
    `reported_revision` is the highest applied revision that any instance has reported.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.applied = NOTHING_APPLIED
        self.reported_revision = NOTHING_APPLIED
        self.hashes = [0] * BUCKETS
        self._packed_by_name: dict[str, PackedRecord] = {}
        self._record_listeners: list[Callable[[PackedRecord], None]] = []
        self._applied_listeners: list[Callable[[int], None]] = []
        self._bulk_listeners: list[Callable[[], None]] = []
        self._bulk_depth = 0

    def apply(self, record: ServiceRecord, document: bytes | None = None) -> bool:
        """Apply a record if it is newer than the one held; return whether it was."""
        held = self._packed_by_name.get(record.name)
        if held is not None and held.revision >= record.revision:
            return False
        data = zlib.compress(document or encode_record(record), ZLIB_LEVEL)
        return self.apply_packed(record, PackedRecord(record.name, record.revision, data))

    def apply_packed(self, record: ServiceRecord, packed: PackedRecord) -> bool:
        """Apply a record like `apply`, with its packed form given."""
        held = self._packed_by_name.get(record.name)
        if not self.replica.apply(record):
            return False
        bucket = bucket_of(record.name)
        if held is not None:
            self.hashes[bucket] ^= _hash(held.name, held.revision)
        self.hashes[bucket] ^= _hash(packed.name, packed.revision)
        self._packed_by_name[record.name] = packed
        if not self._bulk_depth:
            for listener in self._record_listeners:
                listener(packed)
        return True

    @contextmanager
    def bulk(self) -> Iterator[None]:
        """Suppress the notification of each record, and notify the bulk listeners at the end."""
        self._bulk_depth += 1
        try:
            yield
        finally:
            self._bulk_depth -= 1
        for listener in self._bulk_listeners:
            listener()

    def advance(self, revision: int) -> None:
        """Record that all changes up to `revision` are applied on this instance."""
        self.record_reported_revision(revision)
        if revision <= self.applied:
            return
        self.applied = revision
        for listener in self._applied_listeners:
            listener(revision)

    def advance_to_newest_record(self, revision: int) -> None:
        """Record that all changes up to a revision of the store are applied on this instance.

        `applied` becomes the revision of the newest record among them, because the store's
        revision also counts changes of other keys.
        """
        known = (each.revision for each in self._packed_by_name.values())
        self.advance(max((each for each in known if each <= revision), default=0))

    @property
    def is_complete(self) -> bool:
        """Return whether the records are as new as the newest snapshot that was reported."""
        return self.applied >= max(self.reported_revision, 0)

    def record_reported_revision(self, revision: int) -> None:
        """Record that some instance has applied all changes up to `revision`."""
        self.reported_revision = max(self.reported_revision, revision)

    @property
    def total_hash(self) -> int:
        """Return one hash over all records."""
        return reduce(xor, self.hashes)

    def revision_of(self, name: str) -> int:
        """Return the revision of a service's record, or 0 for an unknown service."""
        held = self._packed_by_name.get(name)
        return held.revision if held else 0

    def packed(self, name: str) -> PackedRecord | None:
        """Return a record's packed form, or `None`."""
        return self._packed_by_name.get(name)

    def names(self) -> list[str]:
        """List the names of all records, including tombstones."""
        return list(self._packed_by_name)

    def heads(self, buckets: set[int]) -> list[tuple[str, int]]:
        """List the heads (name and revision) of the records in the given buckets."""
        return [
            (each.name, each.revision)
            for each in self._packed_by_name.values()
            if bucket_of(each.name) in buckets
        ]

    def on_record(self, listener: Callable[[PackedRecord], None]) -> None:
        """Call `listener` with each record that is applied from now on, except within `bulk`."""
        self._record_listeners.append(listener)

    def on_bulk(self, listener: Callable[[], None]) -> None:
        """Call `listener` at the end of each `bulk`."""
        self._bulk_listeners.append(listener)

    def on_applied(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with `applied` each time it has risen."""
        self._applied_listeners.append(listener)


def bucket_of(name: str) -> int:
    """Return the bucket of a service."""
    return zlib.crc32(name.encode()) % BUCKETS


def _hash(name: str, revision: int) -> int:
    digest = blake2b(f"{name}@{revision}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def create_record_table(replica: Replica) -> RecordTable:
    """Create the table of an empty replica."""
    return RecordTable(replica)
