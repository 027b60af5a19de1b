"""Decides which upstreams are cold, and limits the calls to them.

Designed for 31 upstreams of a zone that become cold at once for 3 s and take 3.7 calls a second
each from all of over a hundred instances, while the other upstreams are nearly full. An upstream
that gets well above that crashes, so whoever doubts takes it for cold; as the calls of 31 upstreams
can't be missed for long, no doubt outlasts the time that the upstream itself gave. All
instances get entries, and each message goes to over a hundred of them, so only what no entry told
is passed on.

An upstream gives the time for which it stays cold in its entry and in answers to health checks. An
entry of unknown age counts from when it arrives. Instances tell each other what such answers said,
but not what entries say: each instance gets those itself, and one that has just read an old entry
would have all others take the upstream for cold again. Of two instances that hold the same entry,
the one for which its warm-up has ended is right.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.upstream_state import UpstreamState

__all__ = ["Warmup", "WarmupEvidence", "WarmupRow", "Warmups", "create_warmups"]

# Ends that differ by less are the same: answers take different times to arrive.
SAME_END_S = 0.1
# An end that is sooner than others believe by less is not told: they keep to the limit so much longer.
EARLY_END_S = 0.5
# Of what another instance says of an end: a datagram that took as long may have been overtaken by
# the start of the next warm-up.
MIN_END_AGE_S = 0.1
MAX_TOLD_AGE_S = 3600.0  # greater ages are told as this one
END_TOLD_S = 2.0  # followers hear of an end for that long
CLOCK_STEP_S = 0.001  # a timer may fire early by less


@dataclass(frozen=True, slots=True)
class WarmupEvidence:
    """What an answer to a health check told: when the upstream will be warm, `None` if it is.

    `at` is when the answer came, or when the health check was sent if the upstream is warm: an
    answer under way when the upstream became cold does not end the warm-up.
    """

    until: float | None
    at: float


@dataclass(frozen=True, slots=True)
class WarmupRow:
    """What an instance knows of the warm-up of one start of an upstream.

    `age_s` is that of the evidence, `revision` that of the newest entry that named a time.
    """

    upstream_id: str
    started_ms: int
    left_s: float = field(compare=False)  # 0 if the upstream is not cold
    age_s: float = field(compare=False)
    revision: int
    from_answer: bool  # to a health check; else an entry

    def aged(self, by_s: float) -> WarmupRow:
        """Return the row as it would be told some time later."""
        left_s = max(0.0, self.left_s - by_s)
        return replace(self, left_s=left_s, age_s=self.age_s + by_s)


@dataclass(slots=True)
class Warmup:
    """What this instance knows of the warm-up of one start of an upstream."""

    until: float = -math.inf
    evidence_at: float = -math.inf
    from_answer: bool = False  # to a health check; else an entry
    revision: int = 0  # of the newest entry that named a time
    told_until: float = -math.inf  # the end that other instances know
    news: bool = False  # health checks told what no entry did
    may_be_old: bool = False  # the entry was there when this instance first saw the upstream
    end_awaited: bool = False  # no answer to a health check has told of the end yet
    ended_at: float = -math.inf  # when one told

    def cold(self, now: float) -> bool:
        """Return whether the upstream is cold."""
        return now < self.until

    def apply_entry(
        self,
        left_s: float,
        revision: int,
        now: float,
        *,
        repeated: bool = False,
        first: bool = False,
    ) -> None:
        """Apply what an entry says, once; it ends no warm-up.

        A `repeated` entry was written when an earlier one was, the `first` one of an upstream
        perhaps long ago.
        """
        if left_s <= 0 or revision <= self.revision:
            return
        self.revision = revision
        if repeated:
            return
        self.news = self.news and self.until > now + left_s + SAME_END_S
        self.may_be_old = first
        self.until = self.told_until = max(self.until, now + left_s)
        self.evidence_at = now
        self.from_answer = False
        self.end_awaited = True

    def apply_answer(self, evidence: WarmupEvidence, now: float) -> bool:
        """Apply evidence unless newer one is known; return whether other instances need it."""
        if evidence.at <= self.evidence_at:
            return False
        self.evidence_at = evidence.at
        self.from_answer = True
        self.may_be_old = False
        if evidence.until is None:
            self.until = min(self.until, now)
            if not self.end_awaited:
                return False
            self.end_awaited = False
            self.news = self.told_until > now + EARLY_END_S
            if self.news:
                self.ended_at = self.told_until = now
            return self.news
        early = evidence.until < self.told_until - EARLY_END_S
        changed = early or evidence.until > max(self.told_until, now) + SAME_END_S
        if changed:
            self.until = self.told_until = evidence.until
            self.news = True
        else:
            self.until = max(self.until, evidence.until)
        self.end_awaited = True
        return changed

    def apply_row(self, row: WarmupRow, now: float) -> bool:
        """Apply what another instance knows; return whether the followers need it."""
        if row.from_answer:
            age_s = row.age_s if row.left_s else max(row.age_s, MIN_END_AGE_S)
            until = now + row.left_s if row.left_s else None
            if self.apply_answer(WarmupEvidence(until, now - age_s), now):
                return True
        if row.left_s:
            if row.revision > self.revision and not row.from_answer:
                self.apply_entry(row.left_s, row.revision, now)
        elif not self.from_answer and row.revision >= self.revision:
            self.until = min(self.until, now)
        return False

    def is_told(self, now: float) -> bool:
        """Return whether followers are told: of a warm-up or a recent end that no entry told."""
        return self.news and (self.cold(now) or now - self.ended_at < END_TOLD_S)

    def is_reported(self, now: float) -> bool:
        """Return whether the issuer reports it: others may not know of it, or know that it ended."""
        return self.cold(now) and (self.news or self.may_be_old)

    def apply_suspension(self, suspended_s: float, now: float) -> None:
        """Let evidence of a warm upstream be older, as the clock stood still for some time."""
        if not self.cold(now):
            self.evidence_at -= suspended_s


class Warmups:
    """Applies evidence of warm-ups to the upstreams, and the limits of their services."""

    def __init__(
        self,
        state_of: Callable[[str], UpstreamState | None],
        on_limit: Callable[[UpstreamState], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._state_of = state_of
        self._on_limit = on_limit
        self._timer_by_state: dict[UpstreamState, asyncio.TimerHandle] = {}
        self.changes = 0  # of what followers are told
        # Returns the calls a second to a cold upstream of a service, 0 if they are not limited.
        self.calls_per_s: Callable[[str], float] = lambda _: 0.0
        # Called when other instances have to learn of an answer that this one got.
        self.on_answer: Callable[[UpstreamState], None] = lambda _: None
        self.on_change: Callable[[], None] = lambda: None  # of what followers are told

    @property
    def cold(self) -> list[UpstreamState]:
        """List the upstreams that are cold."""
        now = self._loop.time()
        return [state for state in self._timer_by_state if state.warmup.cold(now)]

    def apply_entry(self, state: UpstreamState, *, repeated: bool, first: bool) -> None:
        """Apply an upstream's entry; see `Warmup.apply_entry`."""
        entry, now = state.entry, self._loop.time()
        state.warmup.apply_entry(
            entry.warmup_left_s, entry.revision, now, repeated=repeated, first=first
        )
        self._update(state, "entry")

    def remove(self, state: UpstreamState) -> None:
        """Forget an upstream that gets no more calls."""
        timer = self._timer_by_state.pop(state, None)
        if timer is not None:
            timer.cancel()

    def apply_answer(self, state: UpstreamState, evidence: WarmupEvidence) -> None:
        """Apply what the answer to a health check tells, unless it is of an earlier start."""
        if self._state_of(state.entry.id) is not state:
            return
        changed = state.warmup.apply_answer(evidence, self._loop.time())
        self._update(state, "health answer")
        if changed and self.limits(state):
            self.on_change()
            self.on_answer(state)

    def apply_row(self, state: UpstreamState, row: WarmupRow, source: str) -> None:
        """Apply what another instance knows."""
        changed = state.warmup.apply_row(row, self._loop.time())
        self._update(state, source)
        if changed and self.limits(state):
            self.on_change()

    def apply_rules(self, states: list[UpstreamState]) -> None:
        """Apply the limits of the services after a change of the configuration."""
        now = self._loop.time()
        for state in states:
            limited = state.rate_limit.warmup_per_s is not None
            self._update(state, "configuration")
            untold = state.warmup.cold(now) and state.warmup.news
            if not limited and untold and self.limits(state):
                self.on_change()
                self.on_answer(state)

    def limits(self, state: UpstreamState) -> bool:
        """Return whether the service of an upstream limits the calls to cold ones."""
        return self.calls_per_s(state.entry.service) > 0

    def row_of(self, state: UpstreamState) -> WarmupRow:
        """Return what this instance knows of an upstream's warm-up."""
        now, warmup = self._loop.time(), state.warmup
        return WarmupRow(
            state.entry.id,
            state.entry.started_ms,
            max(0.0, warmup.until - now),
            min(MAX_TOLD_AGE_S, now - warmup.evidence_at),
            warmup.revision,
            warmup.from_answer,
        )

    def _update(self, state: UpstreamState, source: str) -> None:
        """Set the limit and the timer of an upstream by what is known of its warm-up."""
        now, warmup = self._loop.time(), state.warmup
        cold = warmup.cold(now + CLOCK_STEP_S)
        timer = self._timer_by_state.get(state)
        if timer is not None and not (cold and timer.when() == warmup.until):
            timer.cancel()
            del self._timer_by_state[state]
            timer = None
        if cold and timer is None:
            self._timer_by_state[state] = self._loop.call_at(
                warmup.until, self._update, state, "time"
            )
        per_s = self.calls_per_s(state.entry.service)
        if per_s > 0:
            state.cold_until = warmup.until
        before = state.rate_limit.warmup_per_s
        after = per_s if cold and per_s > 0 else None
        if before == after:
            return
        state.rate_limit.set_warmup(after)
        log_event(
            "warmup",
            upstream=state.entry.id,
            service=state.entry.service,
            calls_per_s="none" if after is None else after,
            before="none" if before is None else before,
            left_s=f"{max(0.0, warmup.until - now):.3f}",
            source=source,
            evidence_age_s=f"{now - warmup.evidence_at:.3f}",
        )
        self._on_limit(state)


def create_warmups(
    state_of: Callable[[str], UpstreamState | None], on_limit: Callable[[UpstreamState], None]
) -> Warmups:
    """Create a table without upstreams; must be called inside the running loop.

    `state_of` returns the current start of an upstream, `on_limit` is called when its limit
    changes.
    """
    return Warmups(state_of, on_limit)
