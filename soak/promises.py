"""Compares what callers saw with what back ends ran."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.callers import PATIENCE_S, PROMISES
from soak.server import answer_body
from soak.world import ROUTES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.callers import Attempt, Callers
    from soak.world import World

__all__ = ["Run", "broken_promises", "read_runs"]

SEVEN_TENTHS = 0.7  # of its time a request may use before an end without an answer is excused
RECOVERY_S = 15.0  # after the last fault (the platform's RecoveryS)
SERVED_AGAIN = 0.25  # share of the requests after that


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request, as its back end wrote it down before it began."""

    request_id: str
    backend: str
    service: str
    digest: str
    at: float  # Unix time


def read_runs(world: World) -> list[Run]:
    """Read what the back ends wrote down."""
    if not world.run_log.exists():
        return []
    return [Run(*json.loads(line)) for line in world.run_log.read_text().splitlines()]


def broken_promises(
    world: World, callers: Callers, calm_from: float, planned_only: bool
) -> Iterator[str]:
    """Give a line for each promise that was broken; `calm_from` is when the last fault ended."""
    runs = read_runs(world)
    times_by_id = Counter(run.request_id for run in runs)
    for run in runs:
        attempt = callers.attempt_by_id.get(run.request_id)
        if attempt is None or attempt.digest != run.digest:
            yield f"run that no caller asked for: {run}"
        elif run.service not in world.services_by_prefix[attempt.prefix]:
            yield f"run by a service that no configuration allows: {run}"
    for attempt in callers.attempt_by_id.values():
        yield from _broken_by(attempt, times_by_id[attempt.id], planned_only)
    yield from _not_recovered(callers, calm_from)


def _broken_by(attempt: Attempt, times: int, planned_only: bool) -> Iterator[str]:
    told = (
        f"id={attempt.id} prefix={attempt.prefix} daemon={attempt.daemon} status={attempt.status}"
        f" sent_at={attempt.sent_at:.3f} ended_at={attempt.ended_at:.3f}"
    )
    if ROUTES[attempt.prefix][0] != "idempotent":
        if times > 1:
            yield f"ran {times} times: {told}"
        if times and attempt.status in PROMISES:
            yield f"told not to have run, and had: {told}"
    if attempt.status // 100 == 2 and not (
        attempt.stamped and attempt.echoed == attempt.id and attempt.body == answer_body(attempt.id)
    ):
        yield f"success that is not the back end's whole answer: {told}"
    if attempt.status in (401, 403, 404, 413, 431):
        yield f"refused though it was proper: {told}"
    lasted_s = attempt.ended_at - attempt.sent_at
    if planned_only and attempt.status == 0 and 0 < lasted_s < SEVEN_TENTHS * PATIENCE_S:
        yield f"no whole answer, though nothing failed: {told}"


def _not_recovered(callers: Callers, calm_from: float) -> Iterator[str]:
    later = [
        each
        for each in callers.attempt_by_id.values()
        if each.sent_at > calm_from + RECOVERY_S and each.ended_at
    ]
    served = sum(each.status == 200 for each in later)
    if len(later) >= 20 and served < SERVED_AGAIN * len(later):
        yield f"not recovered: {served} of {len(later)} served after the faults"
