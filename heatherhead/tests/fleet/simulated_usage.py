"""Instances that exchange the usage of customers, on a paused clock and without sockets."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

from heatherhead.customers.usage_caps import CapBounds
from heatherhead.entry.settings import HostPort
from heatherhead.fleet.homes import rank_members
from heatherhead.fleet.members import Member, create_member_table
from heatherhead.fleet.peer_messages import (
    UsageBalance,
    UsageReport,
    decode_message,
    encode_message,
)
from heatherhead.fleet.usage_exchange import create_usage_exchange
from heatherhead.routes.model import Customer, UsageCap

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from heatherhead.fleet.members import MemberTable
    from heatherhead.fleet.peer_messages import PeerMessage
    from heatherhead.fleet.usage_exchange import UsageExchange

__all__ = [
    "BOUNDS",
    "SimulatedInstance",
    "SimulatedUsage",
    "Traffic",
    "admitted_by_exact_bucket",
    "create_customer",
    "most_in_window",
]

BOUNDS = CapBounds(5.0, 0.1, 20.0)  # of the platform's settings
TICK_S = 0.25
WITHIN_REGION_S = 0.001
BETWEEN_REGIONS_S = 0.025


def create_customer(name: str, calls_per_s: float, burst: float) -> Customer:
    """Create a customer with a cap."""
    return Customer(name, (name,), 0, UsageCap(calls_per_s, burst))


def most_in_window(times: Sequence[float], window_s: float = BOUNDS.window_s) -> int:
    """Return the most of some ordered times within a window."""
    most = first = 0
    for position, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, position - first + 1)
    return most


def admitted_by_exact_bucket(cap: UsageCap, arrivals: Sequence[float]) -> int:
    """Return the calls that one token bucket admits that begins empty with the first."""
    tokens, filled_at, admitted = 0.0, arrivals[0] if arrivals else 0.0, 0
    for at in arrivals:
        tokens = min(cap.burst, tokens + (at - filled_at) * cap.calls_per_s)
        filled_at = at
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted


@dataclass
class Traffic:
    """The calls of one customer: a rate by time since the start, and the instances they go to."""

    calls_per_s: Callable[[float], float]
    choose: Callable[[Random, list[SimulatedInstance]], SimulatedInstance] = (
        lambda rng, homes: rng.choice(homes)
    )


@dataclass(eq=False)
class SimulatedInstance:
    """One instance, which may be off."""

    member: Member
    table: MemberTable
    exchange: UsageExchange
    customers: dict[str, Customer]
    events: Counter[str]
    on: bool = True


@dataclass(eq=False)
class SimulatedUsage:
    """A fleet in zones and regions, whose datagrams may be late, lost or cut off."""

    regions: int = 3
    zones_per_region: int = 2
    homes_per_region: int = 2
    loss: float = 0.0
    rng: Random = field(default_factory=lambda: Random(1))
    customers: dict[str, Customer] = field(default_factory=dict)
    instance_by_id: dict[str, SimulatedInstance] = field(default_factory=dict)
    side_by_id: dict[str, int] = field(default_factory=dict)
    cut_pairs: set[tuple[str, str]] = field(default_factory=set)
    admitted_by_customer: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    refused_by_customer: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    arrivals_by_customer: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    waits_by_customer: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    datagrams: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)
    _id_by_address: dict[HostPort, str] = field(default_factory=dict)
    _homes_of: dict[frozenset[Member], list[str]] = field(default_factory=dict)
    _restarts: int = 0

    def __post_init__(self) -> None:
        self.began = asyncio.get_running_loop().time()

    @property
    def now(self) -> float:
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self.began

    def add(self, name: str, region: int, zone: int, *, listed: bool = True) -> SimulatedInstance:
        """Add an instance that all others know, unless it is on standby."""
        address = HostPort(f"10.0.0.{len(self.instance_by_id)}", 80)
        member = Member(name, "0", f"z{region}{zone}", f"r{region}", address, 7, 1.0, 1000.0)
        return self._start(member, listed=listed)

    def _start(self, member: Member, *, listed: bool) -> SimulatedInstance:
        table = create_member_table(member)
        if not listed:
            table.remove_own()
        for other in self.instance_by_id.values():
            if other.table.own_listed:
                table.put(other.member, 1)
            if listed:
                other.table.put(member, 1)
        customers = dict(self.customers)
        events: Counter[str] = Counter()
        region_by_zone = {
            f"z{region}{zone}": f"r{region}"
            for region in range(self.regions)
            for zone in range(self.zones_per_region)
        }
        instance = SimulatedInstance(
            member,
            table,
            create_usage_exchange(
                BOUNDS,
                region_by_zone,
                table,
                lambda: instance.customers,
                lambda addresses, message: self.send(instance, addresses, message),
                events,
            ),
            customers,
            events,
        )
        self.instance_by_id[member.id] = instance
        self._id_by_address[member.peer_address] = member.id
        return instance

    def restart(self, name: str) -> None:
        """Replace an instance by a new start of it."""
        old = self.instance_by_id[name]
        old.on = False
        self._restarts += 1
        member = replace(old.member, incarnation=str(self._restarts))
        self._start(member, listed=old.table.own_listed)

    def turn_off(self, name: str) -> None:
        """Turn an instance off; its announcement stays."""
        self.instance_by_id[name].on = False

    def unlist(self, name: str) -> None:
        """Remove an instance's announcement at all that are on the first side."""
        for each in self.instance_by_id.values():
            if self.side_by_id.get(each.member.id, 0) == 0:
                each.table.remove(name, 2)

    def configure(self, *customers: Customer) -> None:
        """Apply customers to all instances."""
        self.customers = {each.name: each for each in customers}
        for each in self.instance_by_id.values():
            each.customers = dict(self.customers)

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether a datagram may arrive."""
        first, second = self.instance_by_id[sender], self.instance_by_id[receiver]
        return (
            first.on
            and second.on
            and self.side_by_id.get(sender, 0) == self.side_by_id.get(receiver, 0)
            and (sender, receiver) not in self.cut_pairs
        )

    def send(
        self, sender: SimulatedInstance, addresses: Iterable[HostPort], message: PeerMessage
    ) -> None:
        """Deliver a message after its transit, as its receiver decodes it."""
        data = encode_message(message)
        for address in addresses:
            receiver = self.instance_by_id[self._id_by_address[address]]
            near = receiver.member.region == sender.member.region
            kind = "within" if near else "between"
            self.datagrams[kind] += 1
            self.bytes[kind] += len(data)
            if not sender.on or not self.reaches(sender.member.id, receiver.member.id):
                continue
            if self.rng.random() < self.loss:
                continue
            transit_s = WITHIN_REGION_S if near else self.rng.uniform(0.015, BETWEEN_REGIONS_S)
            asyncio.get_running_loop().call_later(
                transit_s, _deliver, receiver, data, sender.member.peer_address
            )

    def homes(self) -> list[SimulatedInstance]:
        """List the homes that run, two or more of each region, as callers find them."""
        running = frozenset(
            each.member
            for each in self.instance_by_id.values()
            if each.on and each.table.own_listed
        )
        if running not in self._homes_of:
            names = [
                each.id
                for region in range(self.regions)
                for each in rank_members(running, f"r{region}")[: self.homes_per_region]
            ]
            self._homes_of[running] = names
        return [self.instance_by_id[each] for each in self._homes_of[running]]

    async def call(self, instance: SimulatedInstance, customer: Customer) -> None:
        """Send one call of a customer to an instance."""
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        self.arrivals_by_customer[customer.name].append(arrived_at)
        decision = await instance.exchange.admit(customer)
        if decision.admitted:
            self.admitted_by_customer[customer.name].append(loop.time())
            self.waits_by_customer[customer.name].append(loop.time() - arrived_at)
        else:
            assert decision.retry_after_s >= 0
            self.refused_by_customer[customer.name].append(arrived_at)

    async def _send_calls(self, name: str, traffic: Traffic, until: float) -> None:
        async with asyncio.TaskGroup() as tasks:
            while self.now < until:
                rate = traffic.calls_per_s(self.now)
                # A rate may change soon, so that a long wait for a call is cut into steps.
                wait_s = self.rng.expovariate(rate) if rate > 0 else 1.0
                await asyncio.sleep(min(wait_s, 0.2))
                if wait_s > 0.2:
                    continue
                homes = self.homes()
                customer = self.customers.get(name)
                if homes and customer is not None:
                    instance = traffic.choose(self.rng, homes)
                    held = instance.customers.get(name)
                    if instance.on and held is not None:
                        tasks.create_task(self.call(instance, held))

    def assert_shares_are_at_one_place(self) -> None:
        """Check that no owner's share is lent to two running coordinators at once."""
        now = asyncio.get_running_loop().time()
        place_by_loan: dict[tuple[str, str], str] = {}
        for each in self.instance_by_id.values():
            if not each.on:
                continue
            for region, group in each.exchange._group_by_region.items():
                group.ledger.update(now)
                for owner, loan in group.ledger._loan_by_owner.items():
                    if loan.share:
                        held = place_by_loan.setdefault((region, owner), each.member.id)
                        assert held == each.member.id, (region, owner, held, each.member.id)

    async def _tick(self, until: float) -> None:
        while self.now < until:
            self.assert_shares_are_at_one_place()
            for each in list(self.instance_by_id.values()):
                if each.on:
                    each.exchange.tick()
            await asyncio.sleep(TICK_S)

    async def run(self, traffic_by_customer: dict[str, Traffic], for_s: float) -> None:
        """Send the calls of customers for some time."""
        until = self.now + for_s
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tick(until))
            for name, traffic in traffic_by_customer.items():
                tasks.create_task(self._send_calls(name, traffic, until))

    def excess(self, since: float = 0.0) -> dict[str, tuple[int, float]]:
        """Return the customers whose most calls in a window exceed the bound, with both figures."""
        found = {}
        for name, times in self.admitted_by_customer.items():
            cap = self.customers[name].cap
            assert cap is not None
            ordered = sorted(each for each in times if each >= self.began + since)
            allowed = (cap.calls_per_s * 5.0 + cap.burst) * 1.1 + 20
            most = most_in_window(ordered)
            if most > allowed:
                found[name] = (most, allowed)
        return found


def _deliver(receiver: SimulatedInstance, data: bytes, sender: HostPort) -> None:
    message = decode_message(data)
    if not receiver.on:
        return
    match message:
        case UsageReport():
            receiver.exchange.apply_report(message, sender)
        case UsageBalance():
            receiver.exchange.apply_balance(message)
        case _:
            raise AssertionError(message)
