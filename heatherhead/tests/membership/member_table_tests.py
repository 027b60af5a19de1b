"""Tests of `heatherhead.membership.member_table`."""

from __future__ import annotations

from dataclasses import replace
from itertools import permutations

from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.membership.member_messages import pack_member, unpack_member
from heatherhead.membership.member_table import Member, create_member_table

UNUSED_ADDRESS = Address("127.0.0.1", 1)


def _instance(name: str, incarnation: str = "x") -> Instance:
    return Instance(name, incarnation, "r", "z", UNUSED_ADDRESS, UNUSED_ADDRESS, UNUSED_ADDRESS)


def _member(name: str, sequence: int, state: InstanceState, incarnation: str = "x") -> Member:
    return Member(replace(_instance(name, incarnation), state=state), sequence)


def test_reports_in_any_order_give_the_same_table() -> None:
    reports = [
        _member("b", 1, InstanceState.LIVE),
        _member("b", 1, InstanceState.SUSPECTED),
        _member("b", 2, InstanceState.LIVE, incarnation="y"),
        _member("b", 1, InstanceState.DEAD),
    ]
    hashes = set()
    for order in permutations(reports):
        table = create_member_table(_instance("a"))
        for report in order:
            table.merge(report)
        assert table.by_id["b"] == reports[2]
        hashes.add(table.total_hash)
    assert len(hashes) == 1


def test_instance_refutes_reports_about_itself() -> None:
    table = create_member_table(_instance("a", "new"))
    assert not table.merge(_member("a", 1, InstanceState.LIVE, "new"))
    assert table.merge(_member("a", 1, InstanceState.SUSPECTED, "new"))
    assert (table.own.sequence, table.own.state) == (2, InstanceState.LIVE)
    assert table.merge(_member("a", 7, InstanceState.LIVE, "old"))
    assert (table.own.sequence, table.own.instance.incarnation) == (8, "new")
    assert not table.merge(_member("a", 7, InstanceState.DEAD, "old"))


def test_member_is_unchanged_by_packing_and_unpacking() -> None:
    member = _member("b", 3, InstanceState.LEAVING)
    assert unpack_member(pack_member(member)) == member
