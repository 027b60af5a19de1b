"""Tests of the customers of the soak, and of the checks of their calls."""

from __future__ import annotations

import json
import math
from random import Random
from typing import TYPE_CHECKING

import pytest

from soak.callers import Attempt, Callers
from soak.configuration import PUBLIC_PREFIX, ROUTES, create_document
from soak.customers import APPLY_S, KEY_PREFIX, Customers, Key, create_customers
from soak.invariants import find_violations
from soak.world import World

if TYPE_CHECKING:
    from pathlib import Path

HELD = Key("held", "one", -math.inf)
ADDED = Key("added", "one", 100.0)
REMOVED = Key("removed", "one", 100.0, 200.0)
NEXT = Key("next", "one")
KEYS = {each.text: each for each in (HELD, ADDED, REMOVED, NEXT)}
SETTLED = APPLY_S + 0.1


def find(
    tmp_path: Path,
    key: str,
    *,
    prefix: str = "/read/",
    sent_at: float = 1000.0,
    status: int = 200,
    ran_as: str | None = None,
    key_passed_on: bool = False,
    planned_only: bool = True,
) -> list[str]:
    """Return what is found on a call with a key that ran under a name, `None` if it didn't run."""
    world = World(tmp_path, Random(1), "127.0.0", None, tmp_path / "runs.log")  # type: ignore[arg-type]
    world.customers = Customers(Random(1), {"one": 0, "two": 0}, dict(KEYS))
    world.allowed_services_by_prefix[prefix] = {"stock"}
    row = ["a", "i-1", "stock", "d", sent_at + 0.1, ran_as, key_passed_on]
    world.run_log.write_text("" if ran_as is None else json.dumps(row) + "\n")
    callers = Callers(world, Random(1))
    attempt = Attempt("a", prefix, "d", "127.0.0.10", sent_at, status, key=key)
    callers.attempt_by_id["a"] = attempt
    lines = find_violations(world, callers, 1e12, planned_only)
    return [line for line in lines if line.startswith("customers: ")]


@pytest.mark.parametrize(
    ("key", "prefix", "sent_at", "ran_as"),
    [
        ("held", "/read/", 50.0, "one"),
        ("added", "/read/", 100.1, "one"),
        ("removed", "/read/", 200.0 + APPLY_S, "one"),
        ("", PUBLIC_PREFIX, 50.0, ""),
        ("unknown", PUBLIC_PREFIX, 50.0, ""),
        ("held", PUBLIC_PREFIX, 50.0, "one"),
        ("added", PUBLIC_PREFIX, 100.1, ""),
        ("removed", PUBLIC_PREFIX, 200.0 + SETTLED, ""),
    ],
)
def test_call_that_ran_as_it_must_is_found(
    tmp_path: Path, key: str, prefix: str, sent_at: float, ran_as: str
) -> None:
    assert find(tmp_path, key, prefix=prefix, sent_at=sent_at, ran_as=ran_as) == []


@pytest.mark.parametrize(
    ("key", "prefix", "sent_at", "ran_as", "expected"),
    [
        ("held", "/read/", 50.0, "two", "another customer"),
        ("held", "/read/", 50.0, "one,one", "another customer"),
        ("held", "/read/", 50.0, "", "without the name"),
        ("unknown", "/read/", 50.0, "", "never configured"),
        ("unknown", "/read/", 50.0, "one", "never configured"),
        ("", "/read/", 50.0, "", "never configured"),
        ("next", "/read/", 50.0, "one", "never configured"),
        ("added", "/read/", 90.0, "one", "never configured"),
        ("removed", "/read/", 200.0 + SETTLED, "one", "was removed"),
        ("", PUBLIC_PREFIX, 50.0, "one", "without a key"),
        ("held", PUBLIC_PREFIX, 50.0, "two", "another customer"),
        ("held", PUBLIC_PREFIX, 50.0, "", "without the name"),
        ("added", PUBLIC_PREFIX, 100.0 + SETTLED, "", "without the name"),
        ("removed", PUBLIC_PREFIX, 200.0 + SETTLED, "one", "was removed"),
    ],
)
def test_call_that_ran_under_a_wrong_name_or_key_is_missed(
    tmp_path: Path, key: str, prefix: str, sent_at: float, ran_as: str, expected: str
) -> None:
    (line,) = find(tmp_path, key, prefix=prefix, sent_at=sent_at, ran_as=ran_as)
    assert expected in line


def test_key_that_is_passed_on_is_missed(tmp_path: Path) -> None:
    (line,) = find(tmp_path, "held", ran_as="one", key_passed_on=True)
    assert "a key was passed on" in line


@pytest.mark.parametrize(
    ("key", "prefix", "sent_at", "planned_only", "found"),
    [
        ("held", "/read/", 50.0, False, True),
        ("", PUBLIC_PREFIX, 50.0, False, True),
        ("added", "/read/", 100.0 + SETTLED, True, True),
        ("added", "/read/", 100.0 + SETTLED, False, False),  # an instance may not have heard
        ("added", "/read/", 100.1, True, False),
        ("removed", "/read/", 150.0, True, False),  # it may have arrived later
        ("next", "/read/", 50.0, True, False),
        ("unknown", "/read/", 50.0, True, False),
        ("", "/read/", 50.0, True, False),
    ],
)
def test_refusal_for_want_of_a_key_is_found_if_it_is_wrong(
    tmp_path: Path, key: str, prefix: str, sent_at: float, planned_only: bool, found: bool
) -> None:
    lines = find(
        tmp_path, key, prefix=prefix, sent_at=sent_at, status=401, planned_only=planned_only
    )
    assert bool(lines) == found


def test_call_after_the_removal_of_its_key_is_excused_under_faults(tmp_path: Path) -> None:
    """An instance that is cut off keeps the configuration that it has."""
    assert find(tmp_path, "removed", ran_as="one", planned_only=False) == []


def test_keys_are_in_the_configuration_from_their_addition_to_their_removal() -> None:
    customers = create_customers(Random(1))

    def held() -> set[str]:
        services = {prefix: services for prefix, (_, services) in ROUTES.items()}
        tenants = create_document(1, services, customers)["Tenants"]
        return {key for tenant in tenants.values() for key in tenant["ApiKeys"]}

    first = held()
    assert len(first) == len(customers.priority_by_name)
    customers.add_key()
    (added,) = held() - first
    customers.remove_key(lambda: None)
    assert held() == first
    key = customers.key_by_text[added]
    assert 0 < key.added_at <= key.removed_at < math.inf
    customers.remove_key(lambda: None)
    assert held() == first


def test_credentials_are_of_all_kinds_and_name_their_key_only_if_it_counts() -> None:
    customers = create_customers(Random(1))
    customers.add_key()
    customers.remove_key(lambda: None)
    customers.add_key()
    credentials = [customers.create_credential() for _ in range(500)]
    keys = [customers.key_by_text.get(each.key) for each in credentials if each.key]
    known = [each for each in keys if each is not None]
    assert None in keys
    assert any(each.current for each in known)
    assert any(each.added_at == math.inf for each in known)
    assert any(each.removed_at < math.inf for each in known)
    assert all(f"Token {each.key}\r\n" in each.headers for each in credentials if each.key)
    without = [each.headers for each in credentials if not each.key]
    assert any(KEY_PREFIX not in each for each in without)
    assert any(f"Bearer {KEY_PREFIX}" in each for each in without)
