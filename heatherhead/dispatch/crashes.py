"""Quarantines requests that crash the upstreams that run them.

A request that crashes an upstream is often sent again by its caller, through any instance, and
would take down one upstream after the other. Once it has crashed three upstreams without an
answer, requests with the same fingerprint are rejected for a while without being sent. After that
one of them is tried: an answer ends the suspicion, another crash quarantines them again.

An upstream that crashes for another reason breaks all requests that it runs, among them many of
the same fingerprint if many callers load one page, and at several instances. So a start of an
upstream counts once, however many attempts broke there and whoever reports them, and no crash is
held against a request that any instance got an answer to since.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "CrashReport",
    "CrashTable",
    "CrashedStart",
    "ReportEffect",
    "create_crash_table",
]

CRASHES_TO_QUARANTINE = 3
CRASH_RECORD_TTL_S = 60.0  # callers resend such requests within seconds
ANSWER_RECORD_TTL_S = 2.0  # crashes are verified and reported in less time
MAX_FINGERPRINTS = 1024
MAX_REPORTED_SUSPECTS = 32  # requests that crashed upstreams, in one report to the followers


class ReportEffect(Enum):
    """What a peer's report changes."""

    NONE = auto()
    CHANGED = auto()
    REFUTED = auto()  # an answer to this instance is newer than a reported crash


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
    # Since an answer that cleared crashes; None without one.
    answered_age_s: float | None = field(default=None, compare=False)


@dataclass(slots=True)
class _Suspect:
    """The upstreams that a request has crashed since its last answer."""

    broke_at_by_start: dict[str, float] = field(default_factory=dict)
    # Reported by instances of earlier versions, or counted before the last quarantine ended.
    unnamed: int = 0
    unnamed_at: float = -math.inf
    quarantined_before: bool = False
    answered_at: float = -math.inf  # the last answer that cleared crashes, here or at a peer

    @property
    def crashes(self) -> int:
        return self.unnamed + len(self.broke_at_by_start)

    @property
    def last_crash_at(self) -> float:
        return max((self.unnamed_at, *self.broke_at_by_start.values()))

    def merge(
        self,
        broke_at_by_start: dict[str, float],
        unnamed: int = 0,
        unnamed_at: float = -math.inf,
    ) -> bool:
        """Add crashes since the last answer; return whether any was new.

        Only the names of the latest ones are kept.
        """
        before = (self.broke_at_by_start.keys(), self.unnamed)
        added = {k: at for k, at in broke_at_by_start.items() if at > self.answered_at}
        starts = sorted((added | self.broke_at_by_start).items(), key=lambda each: each[1])
        self.broke_at_by_start = dict(starts[-CRASHES_TO_QUARANTINE:])
        if unnamed > self.unnamed and unnamed_at > self.answered_at:
            self.unnamed, self.unnamed_at = unnamed, unnamed_at
        return before != (self.broke_at_by_start.keys(), self.unnamed)

    def clear(self, answered_at: float) -> bool:
        """Remove the crashes before an answer; return whether there were any."""
        before = self.crashes
        self.answered_at = max(self.answered_at, answered_at)
        self.broke_at_by_start = {
            start: at for start, at in self.broke_at_by_start.items() if at > answered_at
        }
        if self.unnamed_at <= answered_at:
            self.unnamed, self.unnamed_at = 0, -math.inf
            self.quarantined_before = False
        return self.crashes < before

    def end_quarantine(self) -> None:
        """Leave the count one short of a quarantine, so that the next crash begins another."""
        self.unnamed, self.unnamed_at = CRASHES_TO_QUARANTINE - 1, self.last_crash_at
        self.broke_at_by_start = {}
        self.quarantined_before = True


class CrashTable:
    """Crashes by request fingerprint; bounded, the oldest entry is evicted first."""

    def __init__(self) -> None:
        self._suspects_by_fingerprint: OrderedDict[int, _Suspect] = OrderedDict()
        # Of all requests that were answered here lately, the oldest first.
        self._answered_at_by_fingerprint: OrderedDict[int, float] = OrderedDict()

    def record_crash(self, fingerprint: int, start: str, broke_at: float, now: float) -> int:
        """Record a crash and return how many are held against the request.

        None is if the request was answered after its attempt broke off at `broke_at`.
        """
        if self._answered_at_by_fingerprint.get(fingerprint, -math.inf) >= broke_at:
            return 0
        suspect = self._refresh(fingerprint, now)
        suspect.merge({start: broke_at})
        return suspect.crashes

    def apply_report(self, report: CrashReport, now: float) -> ReportEffect:
        """Merge the crashes and the answer that a peer reports."""
        suspect = self._refresh(report.fingerprint, now)
        changed = False
        if report.answered_age_s is not None:
            changed = suspect.clear(now - report.answered_age_s)
        broke_at_by_start = {start.name: now - start.age_s for start in report.starts}
        answered_at = self._answered_at_by_fingerprint.get(report.fingerprint, -math.inf)
        refuted = any(suspect.answered_at < at <= answered_at for at in broke_at_by_start.values())
        if refuted:
            suspect.clear(answered_at)
        unnamed_at = max(broke_at_by_start.values(), default=now)
        unnamed = report.crashes - len(report.starts)
        changed |= suspect.merge(broke_at_by_start, unnamed, unnamed_at)
        if refuted:
            return ReportEffect.REFUTED
        return ReportEffect.CHANGED if changed else ReportEffect.NONE

    def record_answer(self, fingerprint: int, now: float) -> bool:
        """Record an answer to a request; return whether it cleared crashes."""
        self._answered_at_by_fingerprint[fingerprint] = now
        self._answered_at_by_fingerprint.move_to_end(fingerprint)
        self._evict_answers(now)
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return suspect is not None and suspect.crashes > 0 and suspect.clear(now)

    def report(self, fingerprint: int, now: float) -> CrashReport:
        """Return the crashes by a request, as to be reported to peers."""
        suspect = self._suspects_by_fingerprint.get(fingerprint, _Suspect())
        return _report_of(fingerprint, suspect, now)

    def recent(self, now: float) -> tuple[CrashReport, ...]:
        """List the requests with the latest crashes, and those cleared of them."""
        newest = list(self._suspects_by_fingerprint.items())[-MAX_REPORTED_SUSPECTS:]
        return tuple(
            _report_of(fingerprint, suspect, now)
            for fingerprint, suspect in newest
            if now - max(suspect.last_crash_at, suspect.answered_at) < CRASH_RECORD_TTL_S
        )

    def quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is in quarantine."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return (
            suspect is not None
            and suspect.crashes >= CRASHES_TO_QUARANTINE
            and now - suspect.last_crash_at < CRASH_RECORD_TTL_S
        )

    def _refresh(self, fingerprint: int, now: float) -> _Suspect:
        """Return the entry of a request as the newest one, without crashes that no longer count."""
        suspect = self._suspects_by_fingerprint.pop(fingerprint, None) or _Suspect()
        if now - suspect.last_crash_at >= CRASH_RECORD_TTL_S:
            if suspect.crashes >= CRASHES_TO_QUARANTINE:
                suspect.end_quarantine()
            elif not suspect.quarantined_before:
                suspect = _Suspect(answered_at=suspect.answered_at)
        self._suspects_by_fingerprint[fingerprint] = suspect
        if len(self._suspects_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspects_by_fingerprint.popitem(last=False)
        return suspect

    def _evict_answers(self, now: float) -> None:
        answered_at_by_fingerprint = self._answered_at_by_fingerprint
        while (
            len(answered_at_by_fingerprint) > MAX_FINGERPRINTS
            or now - next(iter(answered_at_by_fingerprint.values())) > ANSWER_RECORD_TTL_S
        ):
            answered_at_by_fingerprint.popitem(last=False)


def _report_of(fingerprint: int, suspect: _Suspect, now: float) -> CrashReport:
    starts = tuple(
        CrashedStart(name, now - broke_at) for name, broke_at in suspect.broke_at_by_start.items()
    )
    answered_age_s = None if math.isinf(suspect.answered_at) else now - suspect.answered_at
    return CrashReport(fingerprint, suspect.crashes, starts, answered_age_s)


def create_crash_table() -> CrashTable:
    """Create an empty table."""
    return CrashTable()
