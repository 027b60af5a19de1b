"""The peer messages of the configuration."""

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
    """Packed records as name, revision and data, and the sender's digest with them."""

    records: list[list[Any]]
    total_hash: int
    applied: int


@peer_message(21)
@dataclass(frozen=True, slots=True)
class Digest:
    """The hash of all the sender's records and the revision up to which they are whole.

    `applied` is -1 while the sender has no whole snapshot. `heard_of` is the highest such
    revision it has heard of, and `board_hash` covers the applied revisions it knows of others.
    """

    total_hash: int
    applied: int
    heard_of: int
    board_hash: int


@peer_message(22)
@dataclass(frozen=True, slots=True)
class RecordHashes:
    """The sender's hashes by bucket; the receiver answers with the heads of what differs."""

    hashes: list[int]


@peer_message(23)
@dataclass(frozen=True, slots=True)
class RecordHeads:
    """Names and revisions of the sender's records in some buckets, all of them."""

    buckets: list[int]
    heads: list[list[Any]]


@peer_message(24)
@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Asks for records by name."""

    names: list[str]


@peer_message(25)
@dataclass(frozen=True, slots=True)
class AppliedReports:
    """Revisions, each with the joined tags of the instances that have it in force."""

    groups: list[list[Any]]
