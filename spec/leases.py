"""Leases: a holder with a clock of its own, pauses, late replies, and a store that fences writes.

The store's time is the true one. The holder's clock may run slower by `MAX_LAG` in all, and it
may be paused between any two of its steps. The lease is granted for `TTL` ticks; the holder takes
`MARGIN` off. A write takes effect when it reaches the store, however late; an action of the
holder's own takes effect in the step that checks the lease.
"""

from __future__ import annotations

from typing import Any

from z3 import And, If, Implies, Not, Or

from spec.model import TIME, Choices, Guards, Part, State, Step, step

__all__ = ["part"]

TTL = 4
MAX_LAG = 1
MARGIN = 1

part = Part(
    name="leases",
    depth=9,
    kind_by_name={
        # the store
        "time": TIME,
        "lease_ends": TIME,
        "store_up": bool,
        # the holder
        "clock": TIME,
        "paused": bool,
        "knows_lease": bool,
        "expires_at": TIME,
        # one renewal under way, and one reply
        "asked": bool,
        "sent_at": TIME,
        "replied": bool,
        # a write under way, and what happened
        "writing": bool,
        "acted_late": bool,
        "wrote_late": bool,
    },
    start={
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


def _lapsed(s: State) -> Any:
    """Say that the store no longer counts the lease as held."""
    return s.time >= s.lease_ends


def _allowed(s: State, pick: Choices, guard: Guards) -> Any:
    """Say that the holder takes its lease for held, by a reading of its clock."""
    reading = guard("check_is_at_the_action", s.clock, pick("reading", TIME))
    return And(
        s.knows_lease,
        reading <= s.clock,
        reading >= 0,
        guard("lapsed_lease_stops_action", reading < s.expires_at),
    )


@part.move
def advance_clock(s: State, pick: Choices, guard: Guards) -> Step:
    """Let a tick pass, which the holder's clock may miss while it lags less than `MAX_LAG`."""
    missed = pick("missed", bool)
    lag = s.time - s.clock
    return step(
        Or(Not(missed), lag < MAX_LAG), time=s.time + 1, clock=If(missed, s.clock, s.clock + 1)
    )


@part.move
def pause_holder(s: State, pick: Choices, guard: Guards) -> Step:
    """Stop the holder without its knowing."""
    return step(Not(s.paused), paused=True)


@part.move
def resume_holder(s: State, pick: Choices, guard: Guards) -> Step:
    """Let the holder go on where it stood."""
    return step(s.paused, paused=False)


@part.move
def stop_store(s: State, pick: Choices, guard: Guards) -> Step:
    """Make the store unreachable; leases run on."""
    return step(s.store_up, store_up=False)


@part.move
def start_store(s: State, pick: Choices, guard: Guards) -> Step:
    """Bring the store back."""
    return step(Not(s.store_up), store_up=True)


@part.move
def send_renewal(s: State, pick: Choices, guard: Guards) -> Step:
    """Ask the store for the lease, or for more time."""
    return step(Not(s.paused), Not(s.asked), Not(s.replied), asked=True, sent_at=s.clock)


@part.move
def store_renews(s: State, pick: Choices, guard: Guards) -> Step:
    """Grant or renew the lease from now on."""
    return step(s.asked, s.store_up, asked=False, replied=True, lease_ends=s.time + TTL)


@part.move
def lose_renewal(s: State, pick: Choices, guard: Guards) -> Step:
    """Lose the request, or the reply after the renewal took effect."""
    return step(Or(s.asked, s.replied), asked=False, replied=False)


@part.move
def held(s: State, pick: Choices, guard: Guards) -> Step:
    """Take in the store's reply, however late it comes."""
    counted_from = guard("lease_counts_from_sending", s.sent_at, s.clock)
    margin = guard("margin_is_taken_off", MARGIN, 0)
    expires_at = counted_from + TTL - margin
    return step(
        Not(s.paused),
        s.replied,
        replied=False,
        knows_lease=True,
        expires_at=If(And(s.knows_lease, s.expires_at > expires_at), s.expires_at, expires_at),
    )


@part.move
def revoke(s: State, pick: Choices, guard: Guards) -> Step:
    """Give the lease back: first stop acting, then tell the store."""
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
        _allowed(s, pick, guard),
        acted_late=Or(s.acted_late, _lapsed(s)),
    )


@part.move
def send_write(s: State, pick: Choices, guard: Guards) -> Step:
    """Send a write that names the lease; it may be under way for long."""
    return step(Not(s.paused), Not(s.writing), s.knows_lease, s.clock < s.expires_at, writing=True)


@part.move
def store_writes(s: State, pick: Choices, guard: Guards) -> Step:
    """Let a write take effect, if its lease is held."""
    return step(
        s.writing,
        s.store_up,
        guard("store_fences_writes", Not(_lapsed(s))),
        writing=False,
        wrote_late=Or(s.wrote_late, _lapsed(s)),
    )


@part.move
def store_refuses_write(s: State, pick: Choices, guard: Guards) -> Step:
    """Refuse a write whose lease has lapsed."""
    return step(s.writing, s.store_up, _lapsed(s), writing=False)


@part.invariant
def no_action_after_lapse(s: State) -> Any:
    """Claim that the holder does not act once its lease has lapsed."""
    return Not(s.acted_late)


@part.invariant
def no_write_after_lapse(s: State) -> Any:
    """Claim that no write takes effect once its lease has lapsed."""
    return Not(s.wrote_late)


@part.lemma
def clock_lags_within_bound(s: State) -> Any:
    """State how far the holder's clock may be behind."""
    return And(s.clock <= s.time, s.time - s.clock <= MAX_LAG)


@part.lemma
def lease_ends_within_its_time(s: State) -> Any:
    """State that the store never grants more than `TTL`."""
    return s.lease_ends <= s.time + TTL


@part.lemma
def holder_stops_before_the_store(s: State) -> Any:
    """State that the holder's end of the lease comes before the store's."""
    return Implies(s.knows_lease, s.expires_at + MAX_LAG <= s.lease_ends)


@part.lemma
def reply_is_younger_than_its_request(s: State) -> Any:
    """State that the store counts a renewal from its sending at the earliest."""
    sent = Implies(Or(s.asked, s.replied), s.sent_at <= s.clock)
    return And(sent, Implies(s.replied, s.sent_at + TTL <= s.lease_ends))
