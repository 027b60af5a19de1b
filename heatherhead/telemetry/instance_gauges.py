"""Gauges of the whole instance, updated each second from its components."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiomisc import PeriodicCallback

if TYPE_CHECKING:
    from heatherhead.admission.key_table import KeyTable
    from heatherhead.callers.state import CallersState
    from heatherhead.membership.byte_budget import ByteBudget
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["InstanceGauges", "create_instance_gauges"]

UPDATE_INTERVAL_S = 1.0


class InstanceGauges:
    """Updates the gauges of the key table, the calls in progress and the traffic with peers."""

    def __init__(
        self, telemetry: Telemetry, budget: ByteBudget, table: KeyTable, state: CallersState
    ) -> None:
        self._telemetry = telemetry
        self._budget = budget
        self._table = table
        self._state = state
        self._timer = PeriodicCallback(self._update_on_timer)

    def start(self) -> None:
        """Update each second on the running loop until `close`."""
        self._timer.start(UPDATE_INTERVAL_S)

    async def close(self) -> None:
        """Stop updating."""
        await self._timer.stop(return_exceptions=True)

    def update(self) -> None:
        """Set all gauges."""
        gauge = self._telemetry.gauge
        gauge("calls.in_progress", self._state.in_progress)
        gauge("keys.entries", len(self._table))
        gauge("keys.recorded_bytes", self._table.recorded_bytes)
        for (traffic, link), size in self._budget.sent.items():
            gauge(f"peers.sent_bytes.{traffic}.{link}", size)
        for (traffic, link), size in self._budget.refused.items():
            gauge(f"peers.refused_bytes.{traffic}.{link}", size)
        for link, size in self._budget.received.items():
            gauge(f"peers.received_bytes.{link}", size)

    async def _update_on_timer(self) -> None:
        self.update()


def create_instance_gauges(
    telemetry: Telemetry, budget: ByteBudget, table: KeyTable, state: CallersState
) -> InstanceGauges:
    """Create the gauges of an instance; call `start` inside the running loop."""
    return InstanceGauges(telemetry, budget, table, state)
