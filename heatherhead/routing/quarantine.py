"""Quarantine of calls that crash upstreams.

Calls are identified by a fingerprint, a hash of method, target and body. When an upstream dies,
every call in flight on it becomes a suspect. A suspect that arrives again runs alone on an
upstream: if that dies as well, the fingerprint is quarantined; if the call is answered, the
suspicion is cleared. So calls that only ran beside the culprit are not quarantined.
Suspects and quarantined fingerprints are published to the other homes.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.calls import AttemptState, UpstreamSignal
from heatherhead.exceptions import QuarantinedError
from heatherhead.routing.interface import QuarantineEntry
from heatherhead.routing.messages import CrashRecords
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.calls import AttemptResult, Call
    from heatherhead.routing.slot import RoutedSlot
    from heatherhead.settings.routing import RoutingSettings

__all__ = ["CrashRecord", "Quarantine", "create_quarantine"]

DEATHS_TO_QUARANTINE = 2
SUSPECT_LIFETIME_S = 60.0
MAX_RECORDS = 1_024  # per service
MAX_EXAMPLE_CHARS = 120
MAX_REPORTED_LIFETIME_S = 86_400.0


@dataclass(slots=True)
class CrashRecord:
    """Deaths attributed to a fingerprint, until `expires_at` on the loop's clock."""

    deaths: int
    expires_at: float
    example: str


class Quarantine:
    """The suspects and the quarantined fingerprints of one service."""

    def __init__(self, service: str, settings: RoutingSettings) -> None:
        self.service = service
        self.publish: Callable[[CrashRecords], None] = lambda _records: None
        self._settings = settings
        self._record_by_fingerprint: OrderedDict[int, CrashRecord] = OrderedDict()
        self._loop = asyncio.get_running_loop()

    def __bool__(self) -> bool:
        return bool(self._record_by_fingerprint)

    def refusal(self, call: Call) -> QuarantinedError | None:
        """Return an error if the call's fingerprint is quarantined."""
        record = self._record(call.fingerprint)
        if record is None or record.deaths < DEATHS_TO_QUARANTINE:
            return None
        seconds = round(record.expires_at - self._loop.time())
        return QuarantinedError(
            f"calls like this one crashed {record.deaths} upstreams of service {self.service}",
            remedy=f"change the call, wait {seconds} s, or have an operator release it",
        )

    def is_suspect(self, call: Call) -> bool:
        """Return whether a call is suspect and must run alone."""
        record = self._record(call.fingerprint)
        return record is not None and record.deaths < DEATHS_TO_QUARANTINE

    def on_attempt_ended(self, slot: RoutedSlot, result: AttemptResult) -> None:
        """Update suspects after an attempt ended."""
        if result.signal is UpstreamSignal.DIED:
            other_calls = [each.call for each in slot.state.slot_by_serial.values()]
            calls = [each for each in (slot.call, *other_calls) if each.fingerprint]
            self.on_upstream_died(calls, alone=slot.isolated)
        elif slot.isolated and result.state is AttemptState.ANSWERED:
            self.on_suspect_answered(slot.call)

    def on_upstream_died(self, calls: Iterable[Call], *, alone: bool) -> None:
        """Record that an upstream died with these calls in flight; `alone` if one ran isolated."""
        rows = []
        for call in calls:
            record = self._record(call.fingerprint)
            deaths = DEATHS_TO_QUARANTINE if record is not None and alone else 1
            if record is not None and record.deaths >= deaths:
                continue
            example = f"{call.method} {call.target}"[:MAX_EXAMPLE_CHARS]
            rows.append(
                self._store_record(call.fingerprint, deaths, self._lifetime_s(deaths), example)
            )
        if rows:
            self.publish(CrashRecords(rows))

    def on_suspect_answered(self, call: Call) -> None:
        """Clear a suspect that ran alone and was answered."""
        record = self._record(call.fingerprint)
        if record is not None and record.deaths < DEATHS_TO_QUARANTINE:
            del self._record_by_fingerprint[call.fingerprint]
            self.publish(CrashRecords([(self.service, call.fingerprint, 0, 0.0, "")]))

    def apply_report(self, fingerprint: int, deaths: int, seconds: float, example: str) -> None:
        """Apply a record of another home; more deaths win, and zero clears a suspicion."""
        record = self._record(fingerprint)
        if deaths == 0:
            if record is not None and record.deaths < DEATHS_TO_QUARANTINE:
                del self._record_by_fingerprint[fingerprint]
        elif record is None or deaths > record.deaths:
            self._store_record(
                fingerprint,
                deaths,
                min(seconds, MAX_REPORTED_LIFETIME_S),
                example[:MAX_EXAMPLE_CHARS],
            )

    def release(self, fingerprint: int) -> bool:
        """Remove a fingerprint's record; return whether there was one."""
        return self._record_by_fingerprint.pop(fingerprint, None) is not None

    def entries(self) -> list[QuarantineEntry]:
        """List the quarantined fingerprints."""
        now = self._loop.time()
        return [
            QuarantineEntry(
                self.service, fingerprint, record.deaths, record.expires_at - now, record.example
            )
            for fingerprint, record in self._record_by_fingerprint.items()
            if record.deaths >= DEATHS_TO_QUARANTINE and record.expires_at > now
        ]

    def _record(self, fingerprint: int) -> CrashRecord | None:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is not None and record.expires_at <= self._loop.time():
            del self._record_by_fingerprint[fingerprint]
            return None
        return record

    def _lifetime_s(self, deaths: int) -> float:
        if deaths < DEATHS_TO_QUARANTINE:
            return SUSPECT_LIFETIME_S
        return self._settings.quarantine_ms / 1000

    def _store_record(
        self, fingerprint: int, deaths: int, seconds: float, example: str
    ) -> tuple[str, int, int, float, str]:
        expires_at = self._loop.time() + seconds
        self._record_by_fingerprint[fingerprint] = CrashRecord(deaths, expires_at, example)
        self._record_by_fingerprint.move_to_end(fingerprint)
        if len(self._record_by_fingerprint) > MAX_RECORDS:
            self._record_by_fingerprint.popitem(last=False)
        if deaths >= DEATHS_TO_QUARANTINE:
            log_event(
                "call_quarantined",
                level="WARNING",
                service=self.service,
                fingerprint=fingerprint,
                seconds=round(seconds),
                example=example,
            )
        return (self.service, fingerprint, deaths, round(seconds, 1), example)


def create_quarantine(service: str, settings: RoutingSettings) -> Quarantine:
    """Create an empty quarantine on the running loop."""
    return Quarantine(service, settings)
