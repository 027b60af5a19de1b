"""The interface through which the path of a call asks whether its customer's cap allows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from heatherhead.routes.model import Customer

__all__ = ["CapDecision", "UsageCaps"]


@dataclass(frozen=True, slots=True)
class CapDecision:
    """Whether a call is within its customer's cap; if not, why, and when its caller may come back."""

    admitted: bool
    retry_after_s: float = 0.0
    reason: str = ""


class UsageCaps(Protocol):
    """Counts the calls of customers against their caps, over all instances."""

    async def admit(self, customer: Customer) -> CapDecision:
        """Count a call, or return when there is room for it."""
        ...

    def give_back(self, customer: Customer) -> None:
        """Count a call no more that was admitted and has not run."""
        ...
