"""Tests of the caps of customers over a fleet whose instances fail, restart or can't reach each other.

The bound is computed from the formula of `docs/design/customers-and-zones.md`.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest

from heatherhead.customers.usage_caps import CustomerUsage
from heatherhead.entry.settings import HostPort
from heatherhead.fleet.peer_messages import UsageBalance, UsageReport, UsageReportRow
from heatherhead.routes.model import Customer
from heatherhead.tests.base import PausedClockLoop, run_with_paused_clock
from heatherhead.tests.fleet.simulated_usage import (
    SimulatedUsage,
    Traffic,
    admitted_by_exact_bucket,
    create_customer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.tests.fleet.simulated_usage import SimulatedInstance

SMALL = [create_customer(f"small-{n}", 1.0, 1.0) for n in range(4)]
CUSTOMERS = [
    *SMALL,
    create_customer("tiny", 0.2, 0.0),
    create_customer("middle", 8.0, 8.0),
    create_customer("large", 86.0, 86.0),
    create_customer("burst", 10.0, 60.0),
]
SETTLE_S = 8.0  # buckets fill, then credits
OVER = 6.0


def _fleet(
    seed: int = 1, *, instances: int = 12, standby: int = 0, loss: float = 0.0
) -> SimulatedUsage:
    """Create a fleet in six zones, `instances` of which may be homes."""
    fleet = SimulatedUsage(rng=Random(seed), loss=loss)
    fleet.homes_per_region = 7 if instances > 12 else 2
    fleet.configure(*CUSTOMERS)
    for number in range(instances):
        fleet.add(f"i{number}", number % 3, number // 3 % 2)
    for number in range(standby):
        fleet.add(f"s{number}", number % 3, number // 3 % 2, listed=False)
    return fleet


def _traffic(
    factor: float | Callable[[float], float], customers: list[Customer] = CUSTOMERS
) -> dict[str, Traffic]:
    """Create calls at a factor of each cap, to random homes."""

    def rate_of(customer: Customer) -> Callable[[float], float]:
        assert customer.cap is not None
        per_s = customer.cap.calls_per_s
        return lambda at: per_s * (factor(at) if callable(factor) else factor)

    return {each.name: Traffic(rate_of(each)) for each in customers}


def _coordinator_of(fleet: SimulatedUsage, name: str) -> str:
    """Return the instance that was lent the most for a customer."""
    lent = {
        each.member.id: each.exchange._group_of(name).ledger.lent
        for each in fleet.instance_by_id.values()
        if each.on
    }
    return max(lent, key=lambda each: lent[each])


@pytest.mark.parametrize(("instances", "standby"), [(1, 0), (6, 0), (12, 0), (20, 0), (9, 60)])
def test_customers_far_over_their_caps_get_nearly_these_and_no_more_than_the_bound(
    instances: int, standby: int
) -> None:
    async def main() -> None:
        fleet = _fleet(instances=instances, standby=standby)
        await fleet.run({}, SETTLE_S)
        traffic = _traffic(OVER)
        if standby:
            names = [f"s{number}" for number in range(standby)]
            for each in traffic.values():
                each.choose = lambda rng, _homes: fleet.instance_by_id[rng.choice(names)]
        await fleet.run(traffic, 20.0)
        assert not fleet.excess()
        for each in CUSTOMERS:
            assert each.cap is not None
            admitted = len(fleet.admitted_by_customer[each.name])
            exact = admitted_by_exact_bucket(
                each.cap, sorted(fleet.arrivals_by_customer[each.name])
            )
            assert admitted >= 0.95 * max(exact, 20.0 * each.cap.calls_per_s - 1), each.name

    run_with_paused_clock(main())


@pytest.mark.parametrize("seed", range(4))
def test_calls_below_the_cap_are_admitted_and_seldom_wait(seed: int) -> None:
    """Each call of a small customer would wait for a round trip between regions."""

    async def main() -> None:
        fleet = _fleet(seed)
        await fleet.run({}, 20.0)
        await fleet.run(_traffic(0.6, SMALL), 120.0)
        arrived = sum(len(fleet.arrivals_by_customer[each.name]) for each in SMALL)
        refused = sum(len(fleet.refused_by_customer[each.name]) for each in SMALL)
        waits = [wait for each in SMALL for wait in fleet.waits_by_customer[each.name]]
        assert refused <= 0.01 * arrived, (refused, arrived)
        assert sum(wait > 0.001 for wait in waits) <= 0.15 * arrived
        assert max(waits) < 0.15

    run_with_paused_clock(main())


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_a_call_that_an_exact_bucket_admits_is_not_refused(share: float) -> None:
    """Tokens that lie unused at one instance must not be missing at another one."""

    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        customer = create_customer("middle", 8.0, 8.0)
        one = fleet.instance_by_id["i0"]
        traffic = _traffic(0.625, [customer])
        traffic["middle"].choose = lambda rng, homes: (
            one if rng.random() < share else rng.choice(homes)
        )
        await fleet.run(traffic, 60.0)
        assert customer.cap is not None
        arrivals = sorted(fleet.arrivals_by_customer["middle"])
        exact = admitted_by_exact_bucket(customer.cap, arrivals)
        admitted = len(fleet.admitted_by_customer["middle"])
        assert admitted >= max(exact, 0.99 * len(arrivals))

    run_with_paused_clock(main())


@pytest.mark.parametrize("seed", range(3))
def test_calls_are_admitted_again_within_a_second_after_a_burst(seed: int) -> None:
    async def main() -> None:
        fleet = _fleet(seed)
        await fleet.run({}, SETTLE_S)
        burst_end_s = fleet.now + 6.0
        names = ["large", "middle", "burst"]
        customers = [each for each in CUSTOMERS if each.name in names]
        await fleet.run(_traffic(lambda at: OVER if at < burst_end_s else 0.625, customers), 12.0)
        for name in names:
            since = fleet.began + burst_end_s + 1.0
            arrived = [each for each in fleet.arrivals_by_customer[name] if each > since]
            refused = [each for each in fleet.refused_by_customer[name] if each > since]
            assert len(refused) <= 0.02 * len(arrived), (name, len(refused), len(arrived))

    run_with_paused_clock(main())


@pytest.mark.parametrize("seed", range(3))
def test_small_customer_gets_a_token_within_a_second_after_a_burst(seed: int) -> None:
    """Restoring the credits of all instances first would take ten seconds at a call a second."""

    async def main() -> None:
        fleet = _fleet(seed)
        await fleet.run({}, SETTLE_S)
        await fleet.run(_traffic(OVER, SMALL), 6.0)
        await fleet.run({}, 1.05)
        homes = fleet.homes()
        for position, customer in enumerate(SMALL):
            await fleet.call(homes[position % len(homes)], customer)
            assert fleet.refused_by_customer[customer.name][-1:] != [
                fleet.arrivals_by_customer[customer.name][-1]
            ]

    run_with_paused_clock(main())


@pytest.mark.parametrize("loss", [0.05, 0.3])
def test_bound_holds_and_caps_are_used_while_datagrams_are_lost(loss: float) -> None:
    async def main() -> None:
        fleet = _fleet(loss=loss)
        await fleet.run({}, SETTLE_S)
        await fleet.run(_traffic(OVER), 20.0)
        assert not fleet.excess()
        share = 0.9 if loss < 0.1 else 0.6
        for name, per_s in (("large", 86.0), ("middle", 8.0)):
            assert len(fleet.admitted_by_customer[name]) >= share * 20.0 * per_s, name

    run_with_paused_clock(main())


@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_lost_coordinator_is_replaced_within_about_a_second(seed: int, returns: bool) -> None:
    async def main() -> None:
        fleet = _fleet(seed)
        await fleet.run({}, SETTLE_S)
        lost = _coordinator_of(fleet, "large")
        traffic = _traffic(OVER)
        await fleet.run(traffic, 6.0)
        fleet.turn_off(lost)
        await fleet.run(traffic, 2.5)
        replaced_at = asyncio.get_running_loop().time()
        assert _coordinator_of(fleet, "large") != lost
        await fleet.run(traffic, 5.0)
        times = fleet.admitted_by_customer["large"]
        admitted = sum(each >= replaced_at for each in times)
        # The owner that is lost has a sixth of the cap.
        assert admitted >= 0.95 * 5.0 * 86.0 * 5 / 6
        if returns:
            fleet.restart(lost)
        since = asyncio.get_running_loop().time() + 5.0
        await fleet.run(traffic, 10.0)
        assert not fleet.excess()
        if returns:
            admitted = sum(each >= since for each in fleet.admitted_by_customer["large"])
            assert admitted >= 0.95 * 5.0 * 86.0

    run_with_paused_clock(main())


@pytest.mark.parametrize("seed", range(3))
def test_coordinator_that_leaves_hands_over_without_a_gap(seed: int) -> None:
    """Standby instances ask the new one at once; without a return of the loans it has none yet."""

    async def main() -> None:
        fleet = _fleet(seed, standby=6)
        await fleet.run({}, SETTLE_S)
        traffic = _traffic(OVER)
        standby = [fleet.instance_by_id[f"s{number}"] for number in range(6)]
        for each in traffic.values():
            each.choose = lambda rng, _homes: rng.choice(standby)
        await fleet.run(traffic, 6.0)
        coordinator = _coordinator_of(fleet, "large")
        for each in fleet.instance_by_id.values():
            each.table.remove(coordinator, 2)
        since = asyncio.get_running_loop().time()
        await fleet.run(traffic, 2.0)
        admitted = sum(each >= since for each in fleet.admitted_by_customer["large"])
        assert admitted >= 0.8 * 2.0 * 86.0
        fleet.turn_off(coordinator)
        await fleet.run(traffic, 4.0)
        assert not fleet.excess()

    run_with_paused_clock(main())


def test_late_loan_does_not_undo_its_return() -> None:
    """The share would be in use at two coordinators."""

    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        exchange = fleet.instance_by_id[_coordinator_of(fleet, "large")].exchange
        group = exchange._group_of("large")
        owner = next(
            each for each in group.ledger._loan_by_owner if each != exchange._members.own.id
        )
        incarnation = fleet.instance_by_id[owner].member.incarnation
        stamp_ms = int((exchange._now() - exchange._started_at) * 1000)
        address = fleet.instance_by_id[owner].member.peer_address

        def report(share: float, number: int) -> UsageReport:
            epoch = exchange._epoch
            return UsageReport(owner, incarnation, group.region, epoch, stamp_ms, share, number)

        exchange.apply_report(report(0.0, 10**6 + 1), address)
        assert group.ledger.lent == pytest.approx(5 / 6, abs=1e-5)
        exchange.apply_report(report(1 / 6, 10**6), address)
        assert group.ledger.lent == pytest.approx(5 / 6, abs=1e-5)
        exchange.apply_report(report(1 / 6, 10**6 + 2), address)
        assert group.ledger.lent == 1.0

    run_with_paused_clock(main())


def test_instance_that_stalled_does_not_take_its_peers_for_lost() -> None:
    """Each change of the coordinator costs its tokens."""

    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        instance = fleet.homes()[0]
        before = {
            each.region: each.target_id for each in instance.exchange._group_by_region.values()
        }
        loop = asyncio.get_running_loop()
        assert isinstance(loop, PausedClockLoop)
        instance.exchange.tick()  # its questions are out
        loop.advance(3.0)
        instance.exchange.tick()
        after = {
            each.region: each.target_id for each in instance.exchange._group_by_region.values()
        }
        assert after == before

    run_with_paused_clock(main())


def _side_of_region(fleet: SimulatedUsage, instance: SimulatedInstance) -> int:
    return int(instance.member.region == "r0")


def _side_of_zone(fleet: SimulatedUsage, instance: SimulatedInstance) -> int:
    return int(instance.member.availability_zone == "z00")


def _each_region(fleet: SimulatedUsage, instance: SimulatedInstance) -> int:
    return int(instance.member.region[1:])


def _each_instance(fleet: SimulatedUsage, instance: SimulatedInstance) -> int:
    return list(fleet.instance_by_id).index(instance.member.id)


def _one_instance(fleet: SimulatedUsage, instance: SimulatedInstance) -> int:
    return int(instance.member.id == "i0")


def _coordinator_alone(fleet: SimulatedUsage, instance: SimulatedInstance) -> int:
    return int(instance.member.id == _coordinator_of(fleet, "large"))


SIDES = [
    _side_of_region,
    _side_of_zone,
    _each_region,
    _each_instance,
    _one_instance,
    _coordinator_alone,
]


@pytest.mark.parametrize("unlisted", [False, True])
@pytest.mark.parametrize("side_of", SIDES)
def test_bound_holds_in_a_partition_with_load_on_all_sides(
    side_of: Callable[[SimulatedUsage, SimulatedInstance], int], unlisted: bool
) -> None:
    """With `unlisted`, the store is on the first side and drops the others after their leases."""

    async def main() -> None:
        fleet = _fleet(standby=6)
        await fleet.run({}, SETTLE_S)
        traffic = _traffic(OVER / 2)
        # Callers of all sides go on, each to the instances that they know.
        everyone = list(fleet.instance_by_id.values())
        for each in traffic.values():
            each.choose = lambda rng, _homes: rng.choice(everyone)
        await fleet.run(traffic, 6.0)
        sides = {each.member.id: side_of(fleet, each) for each in everyone}
        fleet.side_by_id = sides
        await fleet.run(traffic, 14.0)
        if unlisted:
            for name, side in sides.items():
                if side:
                    fleet.unlist(name)
        await fleet.run(traffic, 12.0)
        fleet.side_by_id = {}
        await fleet.run(traffic, 12.0)
        assert not fleet.excess()

    run_with_paused_clock(main())


def test_most_of_the_cap_is_used_in_a_partition_between_regions() -> None:
    """Each side has the shares of its own instances."""

    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        traffic = _traffic(OVER)
        await fleet.run(traffic, 6.0)
        fleet.side_by_id = {
            name: _side_of_region(fleet, each) for name, each in fleet.instance_by_id.items()
        }
        await fleet.run(traffic, 4.0)
        since = asyncio.get_running_loop().time()
        await fleet.run(traffic, 10.0)
        admitted = sum(each >= since for each in fleet.admitted_by_customer["large"])
        assert admitted >= 0.95 * 10.0 * 86.0
        assert not fleet.excess()

    run_with_paused_clock(main())


def test_bound_holds_where_two_instances_cannot_reach_each_other_but_a_third_reaches_both() -> None:
    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        traffic = _traffic(OVER)
        await fleet.run(traffic, 5.0)
        first = [name for name, each in fleet.instance_by_id.items() if each.member.region == "r0"]
        second = [name for name, each in fleet.instance_by_id.items() if each.member.region == "r1"]
        fleet.cut_pairs = {(a, b) for a in first for b in second}  # datagrams of one direction
        await fleet.run(traffic, 10.0)
        fleet.cut_pairs |= {(b, a) for a in first for b in second}
        await fleet.run(traffic, 10.0)
        fleet.cut_pairs = set()
        await fleet.run(traffic, 6.0)
        assert not fleet.excess()

    run_with_paused_clock(main())


@pytest.mark.parametrize("times", [1, 4])
def test_bound_holds_when_all_instances_restart_at_once(times: int) -> None:
    """Full buckets and credits after a restart would grant the burst twice."""

    async def main() -> None:
        fleet = _fleet(standby=3)
        await fleet.run({}, SETTLE_S)
        traffic = _traffic(OVER)
        for _ in range(times):
            await fleet.run(traffic, 1.5)
            for name in list(fleet.instance_by_id):
                fleet.restart(name)
        since = asyncio.get_running_loop().time()
        await fleet.run(traffic, 12.0)
        assert not fleet.excess()
        admitted = sum(each >= since + 2.0 for each in fleet.admitted_by_customer["large"])
        assert admitted >= 0.95 * 10.0 * 86.0

    run_with_paused_clock(main())


def test_instances_that_fail_and_return_all_the_time_stay_below_the_bound() -> None:
    async def main() -> None:
        fleet = _fleet(3, loss=0.1, standby=4)
        await fleet.run({}, SETTLE_S)
        traffic = _traffic(OVER)
        names = list(fleet.instance_by_id)
        for _ in range(20):
            await fleet.run(traffic, fleet.rng.uniform(0.3, 2.0))
            name = fleet.rng.choice(names)
            if fleet.instance_by_id[name].on and fleet.rng.random() < 0.5:
                fleet.turn_off(name)
            else:
                fleet.restart(name)
            fleet.side_by_id = {each: fleet.rng.randrange(2) for each in names}
        assert not fleet.excess()

    run_with_paused_clock(main())


def test_changed_caps_take_effect_at_once() -> None:
    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        traffic = {"large": Traffic(lambda _at: 300.0)}
        await fleet.run(traffic, 6.0)
        for per_s in (20.0, 120.0):
            fleet.configure(create_customer("large", per_s, per_s))
            since = asyncio.get_running_loop().time()
            await fleet.run(traffic, 8.0)
            times = [each for each in fleet.admitted_by_customer["large"] if each >= since]
            assert 0.95 * 8.0 * per_s <= len(times) <= (per_s * 8.0 + per_s) * 1.1 + 20
        fleet.configure(create_customer("large", 20.0, 20.0))
        changed_at = fleet.now
        await fleet.run(traffic, 12.0)
        # A lowered cap binds from the change on, as all instances have learned of it.
        assert not fleet.excess(changed_at)

    run_with_paused_clock(main())


def test_added_cap_admits_calls_from_the_start_and_a_removed_one_all() -> None:
    async def main() -> None:
        fleet = _fleet()
        fleet.configure(create_customer("other", 1.0, 1.0))
        await fleet.run({}, SETTLE_S)
        fleet.configure(create_customer("other", 1.0, 1.0), create_customer("new", 50.0, 50.0))
        began = fleet.now
        await fleet.run({"new": Traffic(lambda _at: 30.0)}, 3.0)
        assert not fleet.refused_by_customer["new"]
        assert not fleet.excess(began)
        fleet.configure(Customer("new", ("new",)))
        await fleet.run({"new": Traffic(lambda _at: 500.0)}, 2.0)
        assert not fleet.refused_by_customer["new"]

    run_with_paused_clock(main())


def test_calls_that_have_not_run_cost_no_tokens() -> None:
    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        customer = next(each for each in CUSTOMERS if each.name == "middle")
        ran = 0
        for number in range(200):
            instance = fleet.homes()[number % 6]
            decision = await instance.exchange.admit(customer)
            if decision.admitted and number % 10:
                instance.exchange.give_back(customer)
            ran += decision.admitted and not number % 10
            await fleet.run({}, 0.025)
        assert ran == 20  # of 200 calls in 5 s, at a cap of 8 calls a second

    run_with_paused_clock(main())


def test_calls_given_back_never_add_to_the_cap() -> None:
    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        customer = next(each for each in CUSTOMERS if each.name == "large")
        for instance in fleet.homes():
            for _ in range(500):
                instance.exchange.give_back(customer)
        await fleet.run({"large": Traffic(lambda _at: 600.0)}, 8.0)
        assert not fleet.excess()

    run_with_paused_clock(main())


def test_refused_callers_return_a_token_apart_and_no_later_than_a_window() -> None:
    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        customer = next(each for each in CUSTOMERS if each.name == "middle")
        home = fleet.homes()[0]
        calls = [home.exchange.admit(customer) for _ in range(200)]
        decisions = await asyncio.gather(*calls)
        after = [each.retry_after_s for each in decisions if not each.admitted]
        assert len(after) > 100
        assert len(set(after[:30])) == 30
        assert max(after) <= 5.0

    run_with_paused_clock(main())


def test_no_datagrams_are_sent_without_customers() -> None:
    """Deployments without customers pay for nothing."""

    async def main() -> None:
        fleet = _fleet()
        fleet.configure()
        await fleet.run({}, 10.0)
        assert not fleet.datagrams

    run_with_paused_clock(main())


def test_datagrams_between_regions_stay_few() -> None:
    """Such datagrams are paid for."""

    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, 20.0)
        fleet.bytes.clear()
        await fleet.run(_traffic(0.625), 20.0)
        headers = 28 * fleet.datagrams["between"]
        assert (fleet.bytes["between"] + headers) / 20.0 / 6 <= 0.25 * 19_000

    run_with_paused_clock(main())


def test_repeated_and_late_datagrams_grant_nothing_twice() -> None:
    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        name = "large"
        coordinator = fleet.instance_by_id[_coordinator_of(fleet, name)]
        group = coordinator.exchange._group_of(name).region
        sent: list[UsageBalance] = []
        coordinator.exchange._send = lambda _addresses, message: sent.append(message)
        sender = HostPort("10.9.9.9", 1)
        row = UsageReportRow(name, 0, 0, 0, 5, 0)
        report = UsageReport("other", "1", group, 0, 0, 0.0, 1, (row,))
        for _ in range(3):
            coordinator.exchange.apply_report(report, sender)
        assert [each.rows[0].granted for each in sent] == [5, 5, 5]
        # An instance that has got them asks for more; the earlier question comes once more.
        account = sent[0].rows[0].account
        more = UsageReportRow(name, account, 5, 0, 2, 0)
        asked = UsageReport("other", "1", group, 0, 0, 0.0, 2, (more,))
        coordinator.exchange.apply_report(asked, sender)
        coordinator.exchange.apply_report(report, sender)
        coordinator.exchange.apply_report(asked, sender)
        assert [each.rows[0].granted for each in sent[3:]] == [7, 7, 7]
        usage = CustomerUsage()
        received = [usage.receive(account, granted) for granted in (5, 5, 7, 5, 7)]
        assert received == [5, 0, 2, 0, 0]

    run_with_paused_clock(main())


def test_loan_of_an_earlier_start_of_the_coordinator_counts_for_nothing() -> None:
    async def main() -> None:
        fleet = _fleet(instances=1)
        await fleet.run({}, SETTLE_S)
        exchange = fleet.instance_by_id["i0"].exchange
        region = exchange._group_of("large").region
        group = exchange._group_by_region[region]
        lent = group.ledger.lent
        report = UsageReport("other", "1", region, exchange._epoch + 1, 10**9, 0.5, 1)
        exchange.apply_report(report, HostPort("10.0.0.0", 7))
        assert group.ledger.lent == lent
        assert "other" not in group.ledger._loan_by_owner

    run_with_paused_clock(main())


def test_suspended_coordinator_grants_nothing_from_loans_that_ran_out() -> None:
    """The loop's clock stands still during a suspension, and others were lent the shares since."""

    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        coordinator = fleet.instance_by_id[_coordinator_of(fleet, "large")]
        group = coordinator.exchange._group_of("large")
        assert group.ledger.lent == 1.0
        coordinator.exchange.drop()
        assert group.ledger.lent == 0.0
        bucket = coordinator.exchange._bucket(
            "large", next(each for each in CUSTOMERS if each.name == "large").cap, group
        )
        assert bucket.take(1) == 0

    run_with_paused_clock(main())


def test_instance_without_peers_reduces_its_share_before_its_entry_may_be_gone() -> None:
    """Another instance then owns its share, while it still runs cut off."""

    async def main() -> None:
        fleet = _fleet()
        await fleet.run({}, SETTLE_S)
        owner = next(each for each in fleet.instance_by_id.values() if each.exchange.own_share)
        fleet.side_by_id = {owner.member.id: 1}
        await fleet.run({}, 11.0)
        assert owner.exchange.own_share == pytest.approx(1 / 6)
        await fleet.run({}, 3.0)
        assert owner.exchange.own_share == pytest.approx(1 / 24)
        fleet.side_by_id = {}
        await fleet.run({}, 3.0)
        assert owner.exchange.own_share == pytest.approx(1 / 6)

    run_with_paused_clock(main())


def test_customers_spread_over_the_regions() -> None:
    async def main() -> None:
        fleet = _fleet()
        exchange = fleet.instance_by_id["i0"].exchange
        regions = [exchange._group_of(f"customer-{n}").region for n in range(300)]
        assert min(regions.count(each) for each in ("r0", "r1", "r2")) > 70

    run_with_paused_clock(main())
