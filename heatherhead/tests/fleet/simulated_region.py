"""Instances of some regions that exchange statuses, in simulated time and without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from heatherhead.entry.addresses import create_address_book
from heatherhead.entry.settings import HostPort
from heatherhead.fleet.home_view import STATUS_INTERVAL_S, create_home_view
from heatherhead.fleet.members import Member, create_member_table
from heatherhead.fleet.peer_messages import HomeStatus, LeaveNotice, ReachReport

if TYPE_CHECKING:
    from collections.abc import Collection

    from heatherhead.entry.addresses import AddressBook
    from heatherhead.fleet.home_view import HomeView
    from heatherhead.fleet.members import MemberTable

__all__ = ["SimulatedInstance", "SimulatedRegions", "create_regions"]

STEP_S = 0.05
ADDRESS_TTL_MAX_S = 5.0


@dataclass(eq=False)
class SimulatedInstance:
    """One instance: its view of the homes, and whether it runs."""

    member: Member
    table: MemberTable
    view: HomeView
    addresses: AddressBook
    next_tick_at: float
    on: bool = True
    off_since: float | None = None


@dataclass(eq=False)
class SimulatedRegions:
    """Instances that hear of each other's statuses where no cut parts them."""

    rng: Random
    now: float = 100.0
    instance_by_id: dict[str, SimulatedInstance] = field(default_factory=dict)
    cut_pairs: set[tuple[str, str]] = field(default_factory=set)  # sender and receiver
    loss_share: float = 0.0
    statuses: int = 0
    revision: int = 1

    def add(self, instance_id: str, zone: str, region: str, *, known: bool = True) -> None:
        """Add an instance; all others know its announcement if `known`."""
        host = f"10.0.{len(self.instance_by_id) // 250}.{1 + len(self.instance_by_id) % 250}"
        address = HostPort(host, 80)
        member = Member(instance_id, "first", zone, region, address, 7200, 1.0, 1000.0)
        self.instance_by_id[instance_id] = self._start(member)
        if known:
            self.announce(member)

    def _start(self, member: Member) -> SimulatedInstance:
        table = create_member_table(member)
        for other in self.instance_by_id.values():
            table.put(other.member, self.revision)
        view = create_home_view(table, lambda: self.now)
        view.own_ready = True
        book = create_address_book(table, view, ADDRESS_TTL_MAX_S)
        first_tick_at = self.now + self.rng.uniform(0.0, STATUS_INTERVAL_S)
        return SimulatedInstance(member, table, view, book, first_tick_at)

    def announce(self, member: Member) -> None:
        """Make an announcement known to all instances."""
        self.revision += 1
        for each in self.instance_by_id.values():
            each.table.put(member, self.revision)

    def turn_off(self, instance_id: str) -> None:
        """Turn an instance off; its announcement stays."""
        instance = self.instance_by_id[instance_id]
        instance.on = False
        instance.off_since = self.now

    def turn_on(self, instance_id: str, host: str | None = None) -> None:
        """Start an instance under a new incarnation, at another address if `host` is given."""
        old = self.instance_by_id[instance_id].member
        address = HostPort(host or old.callers.host, old.callers.port)
        member = Member(
            old.id, f"at-{self.now}", old.availability_zone, old.region, address, 7200, 1.0, 1000.0
        )
        self.instance_by_id[instance_id] = self._start(member)
        self.announce(member)

    def leave(self, instance_id: str) -> None:
        """Let an instance announce that it leaves, and go on until it is turned off."""
        instance = self.instance_by_id[instance_id]
        instance.view.own_leaving, instance.view.own_ready = True, False
        notice = LeaveNotice(instance_id, instance.member.incarnation)
        for each in self._receivers(instance):
            if each.member.region == instance.member.region:
                each.view.apply_leave(notice)

    def cut_from_upstreams(self, instance_id: str, *, cut: bool) -> None:
        """Have an instance notice that it has lost its links to all upstreams, or has them again."""
        instance = self.instance_by_id[instance_id]
        instance.view.own_cut = cut
        self._report_reach(instance)
        self._tick(instance)

    def _report_reach(self, instance: SimulatedInstance) -> None:
        own = instance.member
        report = ReachReport(own.id, instance.view.own_cut, ("s",) if instance.view.own_cut else ())
        for receiver in self._receivers(instance):
            if receiver.member.region == own.region and self.rng.random() >= self.loss_share:
                receiver.view.peer_reach.apply(report)

    def cut(self, some: Collection[str], others: Collection[str]) -> None:
        """Drop what is sent between two groups of instances, in both directions."""
        self.cut_pairs |= {(a, b) for a in some for b in others}
        self.cut_pairs |= {(b, a) for a in some for b in others}

    def run(self, seconds: float) -> None:
        """Let time pass, with statuses sent every interval."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for each in list(self.instance_by_id.values()):
                if each.on and self.now >= each.next_tick_at:
                    each.next_tick_at += STATUS_INTERVAL_S
                    self._tick(each)

    def _tick(self, instance: SimulatedInstance) -> None:
        view = instance.view
        view.homes()
        if view.own_cut:
            self._report_reach(instance)
        if not view.is_home():
            return
        own = instance.member
        status = HomeStatus(own.id, own.incarnation, view.own_ready, 1, 0.0, True)
        targets = {each.id for each in view.homes_of_other_regions()}
        for receiver in self._receivers(instance):
            if receiver.member.region != own.region and receiver.member.id not in targets:
                continue
            # A receiver at an address that the sender doesn't know gets nothing.
            if instance.table.by_id.get(receiver.member.id) != receiver.member:
                continue
            self.statuses += 1
            if self.rng.random() >= self.loss_share:
                receiver.view.apply_status(status, own.callers.host)

    def _receivers(self, sender: SimulatedInstance) -> list[SimulatedInstance]:
        return [
            each
            for each in self.instance_by_id.values()
            if each.on
            and each is not sender
            and (sender.member.id, each.member.id) not in self.cut_pairs
        ]

    def named_by(self, instance_id: str, region: str = "") -> list[str]:
        """List the ids of the instances that an instance names to a caller of a region."""
        by_address = {each.member.callers: id_ for id_, each in self.instance_by_id.items()}
        answer = self.instance_by_id[instance_id].addresses.answer(region)
        addresses = [] if answer is None else answer.addresses
        return [by_address.get(each, f"unknown {each}") for each in addresses]

    def running(self, region: str | None = None) -> list[SimulatedInstance]:
        """List the instances that run."""
        return [
            each
            for each in self.instance_by_id.values()
            if each.on and region in (None, each.member.region)
        ]


def create_regions(
    seed: int, regions: int = 1, zones: int = 2, instances_per_zone: int = 5
) -> SimulatedRegions:
    """Create regions whose instances all run and know each other's announcements."""
    simulated = SimulatedRegions(Random(seed))
    for region in range(regions):
        for zone in range(zones):
            for number in range(instances_per_zone):
                simulated.add(f"r{region}-z{zone}-{number}", f"r{region}-z{zone}", f"r{region}")
    return simulated
