"""Weighted rendezvous hashing, the same on every instance and in every release.

Each candidate has a score from a hash of its id and the key; the highest wins. When a candidate
is added or removed, only the keys that it wins or won move (Thaler and Ravishankar, 1998).
"""

from __future__ import annotations

from hashlib import blake2b
from math import log

__all__ = ["score"]

HASH_BYTES = 8
HASH_RANGE = float(2 ** (8 * HASH_BYTES))


def score(key: str, candidate: str, weight: float = 1.0) -> float:
    """Return a candidate's score for a key; one of twice the weight wins twice as often."""
    digest = blake2b(f"{key}\0{candidate}".encode(), digest_size=HASH_BYTES).digest()
    fraction = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return -weight / log(fraction)
