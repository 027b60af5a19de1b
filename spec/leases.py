"""Leases: a holder with its own clock, pauses, delayed replies, and a store that fences writes.

The store's time is the reference. The holder's clock may lag behind it by `MAX_CLOCK_LAG_TICKS` in
total, and the holder may be paused between any two of its steps. A lease is granted for
`TTL_TICKS`; the holder subtracts `SAFETY_MARGIN_TICKS` from it. A write takes effect when it
reaches the store, however late; a local action of the holder takes effect in the step that checks
the lease.
"""

from __future__ import annotations

from typing import Any

from z3 import And, If, Implies, Not, Or

from spec.model import UNBOUNDED_INT, Choices, Guards, Part, State, Step, step

__all__ = ["part"]

TTL_TICKS = 4
MAX_CLOCK_LAG_TICKS = 1
SAFETY_MARGIN_TICKS = 1

part = Part(
    name="leases",
    depth=9,
    kind_by_name={
        # the store
        "time": UNBOUNDED_INT,
        "lease_ends": UNBOUNDED_INT,
        "store_up": bool,
        # the holder
        "clock": UNBOUNDED_INT,
        "paused": bool,
        "knows_lease": bool,
        "expires_at": UNBOUNDED_INT,
        # one renewal request in transit, and one reply
        "asked": bool,
        "sent_at": UNBOUNDED_INT,
        "replied": bool,
        # a write in transit, and what happened
        "writing": bool,
        "acted_late": bool,
        "wrote_late": bool,
    },
    initial_values={
        "time": 0,
        "lease_ends": 0,
        "store_up": True,
        "clock": 0,
        "paused": False,
        "knows_lease": False,
        "expires_at": 0,
        "asked": False,
        "sent_at": 0,
        "replied": False,
        "writing": False,
        "acted_late": False,
        "wrote_late": False,
    },
)


def _lease_has_expired(s: State) -> Any:
    """Return the condition that the lease has expired at the store."""
    return s.time >= s.lease_ends


def _holder_may_act(s: State, pick: Choices, guard: Guards) -> Any:
    """Return the condition that the lease is valid by a reading of the holder's clock."""
    reading = guard("check_is_at_the_action", s.clock, pick("reading", UNBOUNDED_INT))
    return And(
        s.knows_lease,
        reading <= s.clock,
        reading >= 0,
        guard("lapsed_lease_stops_action", reading < s.expires_at),
    )


@part.move
def advance_clock(s: State, pick: Choices, guard: Guards) -> Step:
    """Advance time by a tick, which the holder's clock may miss within `MAX_CLOCK_LAG_TICKS`."""
    missed = pick("missed", bool)
    lag = s.time - s.clock
    return step(
        Or(Not(missed), lag < MAX_CLOCK_LAG_TICKS),
        time=s.time + 1,
        clock=If(missed, s.clock, s.clock + 1),
    )


@part.move
def pause_holder(s: State, pick: Choices, guard: Guards) -> Step:
    """Pause the holder without its noticing."""
    return step(Not(s.paused), paused=True)


@part.move
def resume_holder(s: State, pick: Choices, guard: Guards) -> Step:
    """Resume the holder where it was paused."""
    return step(s.paused, paused=False)


@part.move
def stop_store(s: State, pick: Choices, guard: Guards) -> Step:
    """Make the store unreachable; leases keep expiring."""
    return step(s.store_up, store_up=False)


@part.move
def start_store(s: State, pick: Choices, guard: Guards) -> Step:
    """Make the store reachable again."""
    return step(Not(s.store_up), store_up=True)


@part.move
def send_renewal(s: State, pick: Choices, guard: Guards) -> Step:
    """Send the store a request to grant or renew the lease."""
    return step(Not(s.paused), Not(s.asked), Not(s.replied), asked=True, sent_at=s.clock)


@part.move
def store_renews(s: State, pick: Choices, guard: Guards) -> Step:
    """Grant or renew the lease, counted from the current time."""
    return step(s.asked, s.store_up, asked=False, replied=True, lease_ends=s.time + TTL_TICKS)


@part.move
def lose_renewal(s: State, pick: Choices, guard: Guards) -> Step:
    """Lose the request, or the reply after the renewal took effect."""
    return step(Or(s.asked, s.replied), asked=False, replied=False)


@part.move
def held(s: State, pick: Choices, guard: Guards) -> Step:
    """Handle the store's reply, however late it arrives."""
    counted_from = guard("lease_counts_from_sending", s.sent_at, s.clock)
    safety_margin = guard("margin_is_taken_off", SAFETY_MARGIN_TICKS, 0)
    expires_at = counted_from + TTL_TICKS - safety_margin
    return step(
        Not(s.paused),
        s.replied,
        replied=False,
        knows_lease=True,
        expires_at=If(And(s.knows_lease, s.expires_at > expires_at), s.expires_at, expires_at),
    )


@part.move
def revoke(s: State, pick: Choices, guard: Guards) -> Step:
    """Release the lease: first stop acting, then inform the store."""
    return step(
        Not(s.paused),
        s.knows_lease,
        s.store_up,
        Not(s.asked),
        Not(s.replied),
        knows_lease=guard("revoking_holder_stops_first", False, True),
        lease_ends=If(s.lease_ends > s.time, s.time, s.lease_ends),
    )


@part.move
def act(s: State, pick: Choices, guard: Guards) -> Step:
    """Act under the lease, in the step that checks it."""
    return step(
        Not(s.paused),
        _holder_may_act(s, pick, guard),
        acted_late=Or(s.acted_late, _lease_has_expired(s)),
    )


@part.move
def send_write(s: State, pick: Choices, guard: Guards) -> Step:
    """Send a write that names the lease and may be in transit for any time."""
    return step(Not(s.paused), Not(s.writing), s.knows_lease, s.clock < s.expires_at, writing=True)


@part.move
def store_writes(s: State, pick: Choices, guard: Guards) -> Step:
    """Apply a write whose lease is valid."""
    return step(
        s.writing,
        s.store_up,
        guard("store_fences_writes", Not(_lease_has_expired(s))),
        writing=False,
        wrote_late=Or(s.wrote_late, _lease_has_expired(s)),
    )


@part.move
def store_refuses_write(s: State, pick: Choices, guard: Guards) -> Step:
    """Refuse a write whose lease has expired."""
    return step(s.writing, s.store_up, _lease_has_expired(s), writing=False)


@part.invariant
def no_action_after_lapse(s: State) -> Any:
    """The holder does not act after its lease has expired."""
    return Not(s.acted_late)


@part.invariant
def no_write_after_lapse(s: State) -> Any:
    """No write takes effect after its lease has expired."""
    return Not(s.wrote_late)


@part.lemma
def clock_lags_within_bound(s: State) -> Any:
    """The holder's clock is never ahead and lags by at most `MAX_CLOCK_LAG_TICKS`."""
    return And(s.clock <= s.time, s.time - s.clock <= MAX_CLOCK_LAG_TICKS)


@part.lemma
def lease_ends_within_its_time(s: State) -> Any:
    """The store never grants a lease for longer than `TTL_TICKS`."""
    return s.lease_ends <= s.time + TTL_TICKS


@part.lemma
def holder_stops_before_the_store(s: State) -> Any:
    """The lease expires at the holder before it expires at the store, even if the clock lags."""
    return Implies(s.knows_lease, s.expires_at + MAX_CLOCK_LAG_TICKS <= s.lease_ends)


@part.lemma
def reply_is_younger_than_its_request(s: State) -> Any:
    """The store counts a renewal from a time no earlier than the sending of the request."""
    sent = Implies(Or(s.asked, s.replied), s.sent_at <= s.clock)
    return And(sent, Implies(s.replied, s.sent_at + TTL_TICKS <= s.lease_ends))
