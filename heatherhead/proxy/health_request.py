"""The health check that upstreams answer with their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.proxy.dialect import read_pause_s, read_warmup
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.upstream_state import UpstreamState
    from heatherhead.proxy.dialect import Dialect
    from heatherhead.proxy.upstream_connection import UpstreamAnswer
    from heatherhead.registry.entries import UpstreamEntry

__all__ = ["health_request", "is_of_another_upstream", "record_health_answer"]


def health_request(entry: UpstreamEntry, path: str) -> bytes:
    """Encode the health check of an upstream."""
    return f"GET {path} HTTP/1.1\r\nHost: {entry.host}:{entry.port}\r\n\r\n".encode()


def is_of_another_upstream(dialect: Dialect, entry: UpstreamEntry, answer: UpstreamAnswer) -> bool:
    """Return whether an answer names another upstream, which has taken over the address."""
    return dialect.answering_upstream(answer.message.headers) not in (None, entry.id)


def record_health_answer(
    dialect: Dialect,
    dispatcher: Dispatcher,
    state: UpstreamState,
    answer: UpstreamAnswer,
    *,
    sent_at: float,
    now: float,
) -> None:
    """Record for how long an upstream wants no calls or stays cold, and that it is at its address.

    Only what it says itself counts. `sent_at` is when the health check was sent.
    """
    entry = state.entry
    if is_of_another_upstream(dialect, entry, answer):
        return
    headers = answer.message.headers
    if state.misdirected and dialect.answering_upstream(headers) == entry.id:
        state.misdirected = False
        log_event("upstream_at_address", upstream=entry.id, service=entry.service)
    if dialect.answering_upstream(headers) == entry.id:
        warmup = read_warmup(dialect, headers, entry.id, sent_at=sent_at, now=now)
        if warmup is not None:
            dispatcher.warmups.apply_answer(state, warmup)
    pause_s = read_pause_s(dialect, answer.status, headers, entry.id)
    if pause_s:
        dispatcher.record_pause(entry, pause_s)
