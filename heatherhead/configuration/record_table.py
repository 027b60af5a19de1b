"""The replica's records as packed documents, with hashes that tell two replicas apart."""

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
PACK_LEVEL = 6  # zlib; the documents of a service's upstreams shrink about eightfold


@dataclass(frozen=True, slots=True)
class PackedRecord:
    """A record's compressed document, as it goes from instance to instance."""

    name: str
    revision: int
    data: bytes


class RecordTable:
    """Knows each record's packed form and up to which revision all changes are in force.

    `applied` is that revision, -1 before the first whole snapshot: the store's watch or a peer with
    the same records vouches for it. `heard_of` is the highest that any instance has told of.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.applied = NOTHING_APPLIED
        self.heard_of = NOTHING_APPLIED
        self.hashes = [0] * BUCKETS
        self._packed_by_name: dict[str, PackedRecord] = {}
        self._record_listeners: list[Callable[[PackedRecord], None]] = []
        self._applied_listeners: list[Callable[[int], None]] = []
        self._bulk_listeners: list[Callable[[], None]] = []
        self._bulks = 0

    def take_in(self, record: ServiceRecord, document: bytes | None = None) -> bool:
        """Apply a record if it is newer than the one held; tell whether it was."""
        held = self._packed_by_name.get(record.name)
        if held is not None and held.revision >= record.revision:
            return False
        data = zlib.compress(document or encode_record(record), PACK_LEVEL)
        return self.take_in_packed(record, PackedRecord(record.name, record.revision, data))

    def take_in_packed(self, record: ServiceRecord, packed: PackedRecord) -> bool:
        """Apply a record whose packed form is at hand."""
        held = self._packed_by_name.get(record.name)
        if not self.replica.apply(record):
            return False
        bucket = bucket_of(record.name)
        if held is not None:
            self.hashes[bucket] ^= _hash(held.name, held.revision)
        self.hashes[bucket] ^= _hash(packed.name, packed.revision)
        self._packed_by_name[record.name] = packed
        if not self._bulks:
            for listener in self._record_listeners:
                listener(packed)
        return True

    @contextmanager
    def bulk(self) -> Iterator[None]:
        """Take many records in, which are not told one by one but together at the end."""
        self._bulks += 1
        try:
            yield
        finally:
            self._bulks -= 1
        for listener in self._bulk_listeners:
            listener()

    def advance(self, revision: int) -> None:
        """Note that all changes up to `revision` are in force here."""
        self.hear_of(revision)
        if revision <= self.applied:
            return
        self.applied = revision
        for listener in self._applied_listeners:
            listener(revision)

    def advance_to_records(self, revision: int) -> None:
        """Note that all changes up to a revision of the store are in force here.

        `applied` becomes the newest of them, as the store may count other keys' changes too.
        """
        known = (each.revision for each in self._packed_by_name.values())
        self.advance(max((each for each in known if each <= revision), default=0))

    @property
    def is_whole(self) -> bool:
        """Tell whether the records are as new as any snapshot heard of."""
        return self.applied >= max(self.heard_of, 0)

    def hear_of(self, revision: int) -> None:
        """Note that some instance has all changes up to `revision` in force."""
        self.heard_of = max(self.heard_of, revision)

    @property
    def total_hash(self) -> int:
        """Return one hash over all records."""
        return reduce(xor, self.hashes)

    def revision_of(self, name: str) -> int:
        """Return the revision held of a service, 0 for an unknown one."""
        held = self._packed_by_name.get(name)
        return held.revision if held else 0

    def packed(self, name: str) -> PackedRecord | None:
        """Find a record's packed form."""
        return self._packed_by_name.get(name)

    def names(self) -> list[str]:
        """List the names of all records, tombstones included."""
        return list(self._packed_by_name)

    def heads(self, buckets: set[int]) -> list[tuple[str, int]]:
        """List name and revision of the records in some buckets."""
        return [
            (each.name, each.revision)
            for each in self._packed_by_name.values()
            if bucket_of(each.name) in buckets
        ]

    def on_record(self, listener: Callable[[PackedRecord], None]) -> None:
        """Call `listener` with each record that is taken in from now on, but not in bulk."""
        self._record_listeners.append(listener)

    def on_bulk(self, listener: Callable[[], None]) -> None:
        """Call `listener` after records were taken in in bulk."""
        self._bulk_listeners.append(listener)

    def on_applied(self, listener: Callable[[int], None]) -> None:
        """Call `listener` each time `applied` has risen."""
        self._applied_listeners.append(listener)


def bucket_of(name: str) -> int:
    """Tell which bucket a service's hash goes into."""
    return zlib.crc32(name.encode()) % BUCKETS


def _hash(name: str, revision: int) -> int:
    digest = blake2b(f"{name}@{revision}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def create_record_table(replica: Replica) -> RecordTable:
    """Create the table of an empty replica."""
    return RecordTable(replica)
