"""Byte budgets of peer traffic, one for each kind of traffic and kind of link."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from heatherhead.membership.interface import LinkKind, Traffic
from heatherhead.token_bucket import create_token_bucket

if TYPE_CHECKING:
    from heatherhead.settings.membership import TrafficBudget

__all__ = ["ByteBudget", "create_byte_budget"]


class ByteBudget:
    """Counts the bytes written to peer sockets and refuses frames that exceed a budget."""

    def __init__(self, rate_by_link: dict[tuple[Traffic, LinkKind], float], burst_s: float) -> None:
        self.sent: Counter[tuple[Traffic, LinkKind]] = Counter()
        self.refused: Counter[tuple[Traffic, LinkKind]] = Counter()
        self.received: Counter[LinkKind] = Counter()
        self._bucket_by_link = {
            link: create_token_bucket(rate, rate * burst_s) for link, rate in rate_by_link.items()
        }

    def try_take(self, traffic: Traffic, kind: LinkKind, size: int) -> bool:
        """Charge one frame to its budget; return whether it may be sent."""
        link = (traffic, kind)
        if not self._bucket_by_link[link].try_take(size):
            self.refused[link] += size
            return False
        self.sent[link] += size
        return True

    def charge_unconditionally(self, kind: LinkKind, size: int) -> None:
        """Charge a control frame that is sent even above the budget, such as a heartbeat."""
        link = (Traffic.CONTROL, kind)
        self._bucket_by_link[link].force_take(size)
        self.sent[link] += size

    def record_received(self, kind: LinkKind, size: int) -> None:
        """Count bytes received from a peer."""
        self.received[kind] += size


def create_byte_budget(
    control: TrafficBudget, measuring: TrafficBudget, burst_s: float
) -> ByteBudget:
    """Create the budgets from settings in bytes per second, with bursts of `burst_s` seconds."""
    rates: dict[tuple[Traffic, LinkKind], float] = {}
    for traffic, budget in ((Traffic.CONTROL, control), (Traffic.MEASURING, measuring)):
        rates[traffic, LinkKind.ZONE] = budget.zone
        rates[traffic, LinkKind.BETWEEN_ZONES] = budget.between_zones
        rates[traffic, LinkKind.BETWEEN_REGIONS] = budget.between_regions
    return ByteBudget(rates, burst_s)
