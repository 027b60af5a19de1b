"""Checks whose calls were run, under which names, and which were refused for want of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.configuration import PUBLIC_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from soak.callers import Attempt
    from soak.customers import Customers
    from soak.invariants import Execution

__all__ = ["UNAUTHORIZED", "check_customer"]

UNAUTHORIZED = 401  # the status of a request without a customer's key


def check_customer(
    customers: Customers, attempt: Attempt, executions: Sequence[Execution], planned_only: bool
) -> Iterator[str]:
    """Check a request, all sends of which had the same key."""
    for execution in executions:
        fault = _find_fault(customers, attempt, execution, planned_only)
        if fault is not None:
            yield f"customers: {fault}: key={attempt.key} id={attempt.id} {execution}"
    key = customers.key_by_text.get(attempt.key)
    for send in (*attempt.earlier, attempt):
        held = key is not None and key.surely_held(send.sent_at, planned_only=planned_only)
        if send.status == UNAUTHORIZED and (held or _is_public(attempt)):
            yield f"customers: refused with a key that counts: {send}"


def _find_fault(
    customers: Customers, attempt: Attempt, execution: Execution, planned_only: bool
) -> str | None:
    """Return why a request must not have run, or not as it did."""
    if execution.key_passed_on:
        return "a key was passed on"
    key = customers.key_by_text.get(attempt.key)
    if key is None or key.added_at > execution.started_at:
        if not _is_public(attempt):
            return "ran with a key that was never configured"
        return "ran under a name without a key" if execution.customer else None
    if execution.customer not in (key.customer, ""):
        return f"ran with the name of another customer than {key.customer}"
    held = key.surely_held(attempt.sent_at, planned_only=planned_only)
    if not execution.customer and (held or not _is_public(attempt)):
        return f"ran without the name of {key.customer}"
    removed = key.surely_removed(attempt.sent_at, planned_only=planned_only)
    if removed and (execution.customer or not _is_public(attempt)):
        return "ran with a key that was removed"
    return None


def _is_public(attempt: Attempt) -> bool:
    return attempt.prefix == PUBLIC_PREFIX
