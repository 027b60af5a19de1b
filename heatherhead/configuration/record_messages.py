"""Peer messages of the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from heatherhead.membership.messages import peer_message

__all__ = [
    "AppliedReports",
    "Digest",
    "RecordHashes",
    "RecordHeads",
    "RecordRequest",
    "Records",
]


@peer_message(20)
@dataclass(frozen=True, slots=True)
class Records:
    """Packed records as [name, revision, data], with the sender's hash and applied revision."""

    records: list[list[Any]]
    total_hash: int
    applied: int


@peer_message(21)
@dataclass(frozen=True, slots=True)
class Digest:
    """The hash of the sender's records and the revision up to which they are complete.

    `applied` is -1 while the sender has no complete snapshot. `reported_revision` is the highest
    applied revision that any instance has reported to it. `applied_hash` is the hash of its table
    of applied revisions.
    """

    total_hash: int
    applied: int
    reported_revision: int
    applied_hash: int


@peer_message(22)
@dataclass(frozen=True, slots=True)
class RecordHashes:
    """The sender's hashes by bucket; the receiver answers with `RecordHeads`."""

    hashes: list[int]


@peer_message(23)
@dataclass(frozen=True, slots=True)
class RecordHeads:
    """The heads (name and revision) of all the sender's records in the buckets that differ."""

    buckets: list[int]
    heads: list[list[Any]]


@peer_message(24)
@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Requests records by name."""

    names: list[str]


@peer_message(25)
@dataclass(frozen=True, slots=True)
class AppliedReports:
    """Revisions, each with the concatenated tags of the processes that have applied it."""

    groups: list[list[Any]]
