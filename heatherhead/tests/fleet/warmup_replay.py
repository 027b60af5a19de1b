"""Replays instances that send calls to cold upstreams, on a simulated clock."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.rate_limits import RateLimitEvidence
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.warmup import WarmupEvidence
from heatherhead.entry.settings import HostPort
from heatherhead.fleet.homes import rank_members
from heatherhead.fleet.members import Member, create_member_table
from heatherhead.fleet.peer_messages import decode_message, encode_message
from heatherhead.fleet.permits import create_permit_exchange
from heatherhead.fleet.warmup_exchange import create_warmup_exchange
from heatherhead.fleet.warmup_messages import (
    WarmupPermitReply,
    WarmupPermitRequest,
    WarmupReport,
)
from heatherhead.tests.dispatch.fakes import create_demand, create_entry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.upstream_state import UpstreamState
    from heatherhead.fleet.members import MemberTable
    from heatherhead.fleet.peer_messages import PeerMessage
    from heatherhead.fleet.permits import PermitExchange
    from heatherhead.fleet.warmup_exchange import WarmupExchange
    from heatherhead.registry.entries import UpstreamEntry

__all__ = ["PER_S", "Instance", "Replay", "allowed", "most_in_a_second"]

PER_S = 3.7  # `WarmupPerS`
OVERAGE, SLACK = 1.5, 8
HOMES = 2
READ_INTERVAL_S = 0.1
TICK_S = 0.25
TRANSIT_S = {True: 0.001, False: 0.02}  # inside of a region, between regions
WORK_S = 0.06


def allowed(per_s: float = PER_S) -> float:
    """Return the most requests that a cold upstream may get in any second."""
    return per_s * OVERAGE + SLACK


def most_in_a_second(times: list[float]) -> int:
    """Return the most of some sorted times within a second."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclass(eq=False)
class _Homes:
    """The homes that an instance takes for reachable: the best ranked of its side."""

    members: MemberTable
    replay: Replay

    def _reached(self, region: str) -> list[Member]:
        own_id = self.members.own.id
        ranked = rank_members(self.members.by_id.values(), region)
        return [each for each in ranked if self.replay.reaches(own_id, each.id)][:HOMES]

    @property
    def current(self) -> list[Member]:
        """List the homes of the own region."""
        return self._reached(self.members.own.region)

    def probable_homes_of(self, region: str) -> list[Member]:
        """List members of another region, those reached first."""
        ranked = rank_members(self.members.by_id.values(), region)
        own_id = self.members.own.id
        return sorted(ranked, key=lambda each: not self.replay.reaches(own_id, each.id))

    def homes_of_all_regions(self) -> list[Member]:
        """List the homes of all regions."""
        regions = {each.region for each in self.members.by_id.values()}
        return [home for region in regions for home in self._reached(region)]


@dataclass(eq=False)
class Instance:
    """One instance with its exchanges."""

    member: Member
    dispatcher: Dispatcher
    permits: PermitExchange
    warmups: WarmupExchange
    homes: _Homes

    def state(self, upstream_id: str) -> UpstreamState:
        """Return the state of an upstream."""
        state = self.dispatcher.state(upstream_id)
        assert state is not None
        return state

    def believes_cold(self, upstream_id: str) -> bool:
        """Return whether the instance limits the calls to an upstream."""
        return self.state(upstream_id).rate_limit.warmup_per_s is not None


@dataclass(eq=False)
class Replay:
    """Instances, and upstreams of one service; instances in turn belong to the regions."""

    number: int
    regions: int = 1
    loss: float = 0.0
    per_s: float = PER_S
    seed: int = 1
    side_by_id: dict[str, int] = field(default_factory=dict)
    instances: list[Instance] = field(default_factory=list)
    entry_by_id: dict[str, UpstreamEntry] = field(default_factory=dict)
    cold_until_by_id: dict[str, float] = field(default_factory=dict)  # what holds at the upstreams
    arrivals_by_id: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    cold_arrivals_by_id: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)  # by instance
    outcomes: Counter[str] = field(default_factory=Counter)
    named_limit_by_id: dict[str, float] = field(default_factory=dict)
    reads_health: bool = True

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self._revision = 0
        self._instance_by_address: dict[HostPort, Instance] = {}
        loop = asyncio.get_running_loop()
        region_by_zone = {f"z{n}": f"r{n}" for n in range(self.regions)}
        members = [
            Member(
                f"i{n}",
                "1",
                f"z{n % self.regions}",
                f"r{n % self.regions}",
                HostPort(f"10.0.0.{n}", 1),
                2,
                1.0,
                1000.0,
            )
            for n in range(self.number)
        ]
        for own in members:
            table = create_member_table(own)
            for member in members:
                table.put(member, 1)
            dispatcher = create_dispatcher(own.availability_zone, region_by_zone, 0.2, 10.0, 5.0)
            dispatcher.warmups.calls_per_s = lambda _: self.per_s
            homes = _Homes(table, self)
            send = self._sender(own)
            permits = create_permit_exchange(
                dispatcher, homes, table, send, loop.time  # type: ignore[arg-type]
            )
            warmups = create_warmup_exchange(
                dispatcher, permits, homes, table, send  # type: ignore[arg-type]
            )
            instance = Instance(own, dispatcher, permits, warmups, homes)
            dispatcher.set_share((0, 1), lambda _: True, HOMES * self.regions)
            warmups.notify_followers = partial(self._relay, instance)
            self.instances.append(instance)
            self._instance_by_address[own.peer_address] = instance

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether two instances are on the same side."""
        return self.side_by_id.get(sender, 0) == self.side_by_id.get(receiver, 0)

    def _sender(self, own: Member):  # type: ignore[no-untyped-def]
        def send(addresses: Iterable[HostPort], message: PeerMessage) -> None:
            data = encode_message(message)
            for address in addresses:
                receiver = self._instance_by_address[address]
                self.messages[type(message).__name__] += 1
                self.sent_bytes[own.id] += len(data)
                if self.reaches(own.id, receiver.member.id) and self.rng.random() >= self.loss:
                    transit_s = TRANSIT_S[own.region == receiver.member.region]
                    loop = asyncio.get_running_loop()
                    loop.call_later(transit_s, _deliver, receiver, data, own.peer_address)

        return send

    def add_upstreams(self, number: int, zone: str = "z0", **changes: object) -> list[str]:
        """Add upstreams that have been running; all instances know them."""
        added = []
        for _ in range(number):
            name = f"u{len(self.entry_by_id)}"
            self.write(create_entry(name, zone, **{"started_ms": 7, **changes}), 0.0)
            added.append(name)
        return added

    def write(
        self, entry: UpstreamEntry, delay_s: float = 0.05, to: list[Instance] | None = None
    ) -> UpstreamEntry:
        """Write an entry, which reaches each instance within a delay of its own."""
        self._revision += 1
        entry = replace(entry, revision=self._revision)
        held = self.entry_by_id.get(entry.id)
        self.entry_by_id[entry.id] = entry
        for instance in self.instances if to is None else to:
            if delay_s:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    self.rng.uniform(0.0, delay_s), instance.dispatcher.on_entry, held, entry
                )
            else:
                instance.dispatcher.on_entry(held, entry)
        return entry

    def become_cold(
        self, names: Iterable[str], for_s: float = 3.0, *, written: bool = True, delay_s: float = 0
    ) -> None:
        """Have upstreams become cold; without an entry only health checks tell."""
        now = asyncio.get_running_loop().time()
        for name in names:
            self.cold_until_by_id[name] = now + for_s
            if written:
                entry = self.entry_by_id[name]
                sequence = entry.sequence + 1
                self.write(replace(entry, warmup_left_s=for_s, sequence=sequence), delay_s)

    def is_cold(self, name: str) -> bool:
        """Return whether an upstream is cold."""
        return asyncio.get_running_loop().time() < self.cold_until_by_id.get(name, 0.0)

    def _reader(self, entry: UpstreamEntry, side: int) -> Instance | None:
        for instance in self.instances:
            if self.side_by_id.get(instance.member.id, 0) != side:
                continue
            region = instance.dispatcher.region_of(entry.availability_zone)
            homes = instance.homes.current
            # The second home, so that reader and issuer differ.
            if region == instance.member.region and homes[-1].id == instance.member.id:
                return instance
        return None

    async def read_health(self) -> None:
        """Read all upstreams by an instance of their region on each side, until cancelled."""
        loop = asyncio.get_running_loop()
        while self.reads_health:
            for entry in self.entry_by_id.values():
                for side in set(self.side_by_id.values()) or {0}:
                    reader = self._reader(entry, side)
                    state = None if reader is None else reader.dispatcher.state(entry.id)
                    if (
                        reader is None
                        or state is None
                        or state.entry.started_ms != entry.started_ms
                    ):
                        continue
                    now = loop.time()
                    evidence = WarmupEvidence(None, now - 0.002)
                    if self.is_cold(entry.id):
                        left_s = int((self.cold_until_by_id[entry.id] - now) * 1000) / 1000
                        evidence = WarmupEvidence(now + left_s, now)
                    reader.dispatcher.warmups.apply_answer(state, evidence)
            await asyncio.sleep(READ_INTERVAL_S)

    async def tick(self) -> None:
        """Tick all instances until cancelled."""
        while True:
            for instance in self.instances:
                instance.permits.tick()
                instance.warmups.tick()
            await asyncio.sleep(TICK_S)

    def _relay(self, home: Instance) -> None:
        """Have the instances that follow a home apply what it relays."""
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            if instance.member.region == home.member.region:
                homes = instance.homes.current
                if homes[0] is home.member and instance.member not in homes:
                    loop.call_later(0.001, instance.warmups.apply_relayed, home.warmups.rows())

    async def call(self, instance: Instance, **changes: object) -> None:
        """Send one call through an instance."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            demand = create_demand(began, **{"work_s": WORK_S, **changes})
            slot = await instance.dispatcher.acquire(demand, ())
        except RejectedError:
            self.outcomes["rejected"] += 1
            return
        name = slot.state.entry.id
        self.outcomes["sent"] += 1
        await asyncio.sleep(slot.state.transit_s / 2)
        self.arrivals_by_id[name].append(loop.time())
        cold = self.is_cold(name)
        if cold:
            self.cold_arrivals_by_id[name].append(loop.time())
        await asyncio.sleep(WORK_S * (2.0 if cold else 1.0))
        limit = self.named_limit_by_id.get(name)
        at = slot.acquired_at if limit is None else loop.time()
        instance.dispatcher.record_rate_limit(slot.state, RateLimitEvidence(limit, at))
        instance.dispatcher.release(slot)

    async def run(
        self, calls_per_s: float, for_s: float, callers: list[Instance] | None = None
    ) -> None:
        """Send calls to random instances, with ticks and health checks."""
        loop = asyncio.get_running_loop()
        instances = self.instances if callers is None else callers
        background = [loop.create_task(each()) for each in (self.tick, self.read_health)]
        end = loop.time() + for_s
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < end:
                if calls_per_s:
                    tasks.create_task(self.call(self.rng.choice(instances)))
                    await asyncio.sleep(self.rng.expovariate(calls_per_s))
                else:
                    await asyncio.sleep(end - loop.time())
        for task in background:
            task.cancel()

    def most_while_cold(self) -> int:
        """Return the most requests that an upstream got in any second while it was cold."""
        return max(map(most_in_a_second, self.cold_arrivals_by_id.values()), default=0)


def _deliver(receiver: Instance, data: bytes, sender: HostPort) -> None:
    message = decode_message(data)
    match message:
        case WarmupReport():
            receiver.warmups.apply_report(message, sender)
        case WarmupPermitRequest():
            receiver.warmups.apply_request(message, sender)
        case WarmupPermitReply():
            receiver.warmups.apply_reply(message)
