"""Fake upstreams and demands for tests of dispatch decisions."""

from __future__ import annotations

from heatherhead.dispatch.demand import Demand
from heatherhead.dispatch.upstream_state import LoadReading, UpstreamState
from heatherhead.registry.entries import UpstreamEntry

__all__ = ["create_demand", "create_entry", "create_state"]


def create_entry(name: str, zone: str = "a", slots: int = 4, **changes: object) -> UpstreamEntry:
    """Create an entry of the service `stock`."""
    fields: dict[str, object] = {
        "id": name,
        "service": "stock",
        "host": "10.0.0.1",
        "port": 80,
        "availability_zone": zone,
        "slots": slots,
        "revision": 1,
    }
    return UpstreamEntry(**{**fields, **changes})  # type: ignore[arg-type]


def create_state(
    name: str,
    slowdown: float = 1.0,
    *,
    now: float = 100.0,
    slots: int = 4,
    own: int = 0,
    transit_s: float = 0.001,
    local_zone: bool = True,
    local_region: bool = True,
) -> UpstreamState:
    """Create an upstream with a fresh load reading."""
    state = UpstreamState(create_entry(name, slots=slots), transit_s, local_zone, local_region)
    state.usable_slots = slots
    state.own_in_flight = own
    state.apply_reading(LoadReading(own, 0, slots, slowdown, now))
    return state


def create_demand(now: float = 100.0, **changes: object) -> Demand:
    """Create a demand with a service time of 60 ms and a latency target of 200 ms."""
    fields: dict[str, object] = {
        "service": "stock",
        "priority": 1,
        "received_at": now,
        "target_at": now + 0.2,
        "give_up_at": now + 1.0,
        "work_s": 0.06,
        "size_bytes": 1000,
        "idempotent": True,
    }
    fields.update(changes)
    fields.setdefault("proven_work_s", fields["work_s"])
    return Demand(**fields)  # type: ignore[arg-type]
