"""Tests of `heatherhead.telemetry.instance_gauges`."""

from __future__ import annotations

from heatherhead.admission.grants import create_grant_issuer
from heatherhead.admission.key_table import create_key_table
from heatherhead.callers.state import CallersState
from heatherhead.membership.byte_budget import create_byte_budget
from heatherhead.membership.interface import LinkKind, Traffic
from heatherhead.settings.membership import TrafficBudget
from heatherhead.telemetry.instance_gauges import create_instance_gauges
from heatherhead.tests.base import run_with_paused_clock

RATES = TrafficBudget(zone=100, between_zones=100, between_regions=100)


class RecordedGauges:
    """Telemetry that keeps the last value of each gauge."""

    def __init__(self) -> None:
        self.value_by_name: dict[str, float] = {}

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.value_by_name[name] = value


def test_gauges_of_peer_bytes_keys_and_calls_are_set() -> None:
    recorded = RecordedGauges()
    budget = create_byte_budget(RATES, RATES, burst_s=1.0)
    issuer = create_grant_issuer("a", "1", 30.0)
    table = create_key_table(issuer)
    gauges = create_instance_gauges(recorded, budget, table, CallersState())  # type: ignore[arg-type]

    async def main() -> None:
        assert budget.try_take(Traffic.MEASURING, LinkKind.ZONE, 80)
        assert not budget.try_take(Traffic.MEASURING, LinkKind.ZONE, 80)
        budget.record_received(LinkKind.BETWEEN_REGIONS, 7)
        gauges.update()

    run_with_paused_clock(main())
    assert recorded.value_by_name["peers.sent_bytes.measuring.zone"] == 80
    assert recorded.value_by_name["peers.refused_bytes.measuring.zone"] == 80
    assert recorded.value_by_name["peers.received_bytes.between-regions"] == 7
    assert recorded.value_by_name["keys.entries"] == 0
    assert recorded.value_by_name["calls.in_progress"] == 0
