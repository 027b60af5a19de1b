"""Quarantines requests that crash the upstreams that run them.

A request that crashes an upstream is often sent again by its caller, through any instance, and
would take down one upstream after the other. After three crashes without an answer, requests
with the same fingerprint are rejected for a while without being sent. After that one of them is
tried: an answer ends the suspicion, another crash quarantines them again.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["CRASHES_TO_QUARANTINE", "CrashTable", "create_crash_table"]

CRASHES_TO_QUARANTINE = 3
CRASH_RECORD_TTL_S = 60.0  # callers resend such requests within seconds
MAX_FINGERPRINTS = 1024
MAX_REPORTED_SUSPECTS = 32  # requests that crashed upstreams, in one report to the followers


@dataclass(slots=True)
class _Suspect:
    crashes: int
    last_at: float


class CrashTable:
    """Crash counts by request fingerprint; bounded, the oldest entry is evicted first."""

    def __init__(self) -> None:
        self._suspects_by_fingerprint: OrderedDict[int, _Suspect] = OrderedDict()

    def record_crash(self, fingerprint: int, now: float, crashes: int | None = None) -> int:
        """Record a crash, or merge a peer's count given as `crashes`; return the new count."""
        held = self._count(fingerprint, now)
        self._suspects_by_fingerprint.pop(fingerprint, None)
        count = held + 1 if crashes is None else max(held, crashes)
        self._suspects_by_fingerprint[fingerprint] = _Suspect(count, now)
        if len(self._suspects_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspects_by_fingerprint.popitem(last=False)
        return count

    def record_answer(self, fingerprint: int) -> None:
        """Clear the crash count of a request that an upstream answered."""
        if self._suspects_by_fingerprint:
            self._suspects_by_fingerprint.pop(fingerprint, None)

    def exceeds_known(self, fingerprint: int, crashes: int, now: float) -> bool:
        """Return whether a peer's count is higher than the local one."""
        return crashes > self._count(fingerprint, now)

    def recent(self, now: float) -> tuple[tuple[int, int], ...]:
        """List the fingerprints with the latest crashes, and their crash counts."""
        newest = list(self._suspects_by_fingerprint.items())[-MAX_REPORTED_SUSPECTS:]
        return tuple(
            (fingerprint, suspect.crashes)
            for fingerprint, suspect in newest
            if now - suspect.last_at < CRASH_RECORD_TTL_S
        )

    def quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is in quarantine."""
        return self._count(fingerprint, now) >= CRASHES_TO_QUARANTINE

    def _count(self, fingerprint: int, now: float) -> int:
        """Return the crash count of a request; that of a quarantine ends one short of it."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return 0
        if now - suspect.last_at < CRASH_RECORD_TTL_S:
            return suspect.crashes
        return CRASHES_TO_QUARANTINE - 1 if suspect.crashes >= CRASHES_TO_QUARANTINE else 0


def create_crash_table() -> CrashTable:
    """Create an empty table."""
    return CrashTable()
