"""Quarantines requests that crash the upstreams that run them.

A request that crashes an upstream is often sent again by its caller, through any instance, and
would take down one upstream after the other. Once it has crashed three upstreams without an
answer, requests with the same fingerprint are rejected for a while without being sent. After that
one of them is tried: an answer ends the suspicion, another crash quarantines them again.

An upstream that crashes for another reason breaks all requests that it runs, among them many of
the same fingerprint if many callers load one page, and at several instances. So a start of an
upstream counts once, however many attempts broke there and whoever reports them.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "CrashReport",
    "CrashTable",
    "CrashedStart",
    "create_crash_table",
]

CRASHES_TO_QUARANTINE = 3
CRASH_RECORD_TTL_S = 60.0  # callers resend such requests within seconds
MAX_FINGERPRINTS = 1024
MAX_REPORTED_SUSPECTS = 32  # requests that crashed upstreams, in one report to the followers


@dataclass(frozen=True, slots=True)
class CrashedStart:
    """A start of an upstream that crashed while it ran a request."""

    name: str
    age_s: float = field(compare=False)  # since an attempt broke there


@dataclass(frozen=True, slots=True)
class CrashReport:
    """The crashes by one request that an instance reports to others.

    `crashes` exceeds the number of `starts` by those that the instance can't name.
    """

    fingerprint: int
    crashes: int
    starts: tuple[CrashedStart, ...] = ()  # none from instances of earlier versions


@dataclass(slots=True)
class _Suspect:
    """The upstreams that a request has crashed since its last answer."""

    broke_at_by_start: dict[str, float] = field(default_factory=dict)
    # Reported by instances of earlier versions, or counted before the last quarantine ended.
    unnamed: int = 0
    unnamed_at: float = -math.inf
    quarantined_before: bool = False

    @property
    def crashes(self) -> int:
        return self.unnamed + len(self.broke_at_by_start)

    @property
    def last_at(self) -> float:
        return max((self.unnamed_at, *self.broke_at_by_start.values()))

    def merge(
        self,
        broke_at_by_start: dict[str, float],
        unnamed: int = 0,
        unnamed_at: float = -math.inf,
    ) -> bool:
        """Add crashes, of which only the latest names are kept; return whether any was new."""
        before = (self.broke_at_by_start.keys(), self.unnamed)
        starts = sorted(
            (broke_at_by_start | self.broke_at_by_start).items(), key=lambda each: each[1]
        )
        self.broke_at_by_start = dict(starts[-CRASHES_TO_QUARANTINE:])
        if unnamed > self.unnamed:
            self.unnamed, self.unnamed_at = unnamed, unnamed_at
        return before != (self.broke_at_by_start.keys(), self.unnamed)

    def end_quarantine(self) -> None:
        """Leave the count one short of a quarantine, so that the next crash begins another."""
        self.unnamed, self.unnamed_at = CRASHES_TO_QUARANTINE - 1, self.last_at
        self.broke_at_by_start = {}
        self.quarantined_before = True


class CrashTable:
    """Crashes by request fingerprint; bounded, the oldest entry is evicted first."""

    def __init__(self) -> None:
        self._suspects_by_fingerprint: OrderedDict[int, _Suspect] = OrderedDict()

    def record_crash(self, fingerprint: int, start: str, broke_at: float, now: float) -> int:
        """Record that an upstream crashed, and return the new count of crashes."""
        suspect = self._refresh(fingerprint, now)
        suspect.merge({start: broke_at})
        return suspect.crashes

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Merge the crashes that a peer reports; return whether any was new."""
        if report.crashes <= 0:
            return False
        broke_at_by_start = {start.name: now - start.age_s for start in report.starts}
        unnamed = report.crashes - len(report.starts)
        unnamed_at = max(broke_at_by_start.values(), default=now)
        suspect = self._refresh(report.fingerprint, now)
        return suspect.merge(broke_at_by_start, unnamed, unnamed_at)

    def record_answer(self, fingerprint: int) -> None:
        """Clear the crash count of a request that an upstream answered."""
        if self._suspects_by_fingerprint:
            self._suspects_by_fingerprint.pop(fingerprint, None)

    def report(self, fingerprint: int, now: float) -> CrashReport:
        """Return the crashes by a request, as to be reported to peers."""
        suspect = self._suspects_by_fingerprint.get(fingerprint, _Suspect())
        return _report_of(fingerprint, suspect, now)

    def recent(self, now: float) -> tuple[CrashReport, ...]:
        """List the requests with the latest crashes."""
        newest = list(self._suspects_by_fingerprint.items())[-MAX_REPORTED_SUSPECTS:]
        return tuple(
            _report_of(fingerprint, suspect, now)
            for fingerprint, suspect in newest
            if now - suspect.last_at < CRASH_RECORD_TTL_S
        )

    def quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is in quarantine."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return (
            suspect is not None
            and suspect.crashes >= CRASHES_TO_QUARANTINE
            and now - suspect.last_at < CRASH_RECORD_TTL_S
        )

    def _refresh(self, fingerprint: int, now: float) -> _Suspect:
        """Return the entry of a request as the newest one, without crashes that no longer count."""
        suspect = self._suspects_by_fingerprint.pop(fingerprint, None) or _Suspect()
        if now - suspect.last_at >= CRASH_RECORD_TTL_S:
            if suspect.crashes >= CRASHES_TO_QUARANTINE:
                suspect.end_quarantine()
            elif not suspect.quarantined_before:
                suspect = _Suspect()
        self._suspects_by_fingerprint[fingerprint] = suspect
        if len(self._suspects_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspects_by_fingerprint.popitem(last=False)
        return suspect


def _report_of(fingerprint: int, suspect: _Suspect, now: float) -> CrashReport:
    starts = tuple(
        CrashedStart(name, now - broke_at) for name, broke_at in suspect.broke_at_by_start.items()
    )
    return CrashReport(fingerprint, suspect.crashes, starts)


def create_crash_table() -> CrashTable:
    """Create an empty table."""
    return CrashTable()
