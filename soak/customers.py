"""Customers of a run, with keys that are added and removed while calls run.

A key has one holder and is added once at most. Callers also send keys before they are added, after they
are removed, and such that no configuration ever holds.
"""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

__all__ = ["KEY_PREFIX", "Credential", "Customers", "Key", "create_customers"]

CUSTOMERS = 4
MAX_PRIORITY = 2
KEY_PREFIX = "soak-key-"  # by which upstreams find a key in whatever header it is passed on
APPLY_S = 3.0  # after the store's acknowledgement (the platform's ConfigApplyS)
FORGED_SHARE = 0.2  # of the requests, which name a customer themselves
KEY_WEIGHTS = {"current": 16, "next": 1, "removed": 2, "unknown": 2, "none": 1, "other scheme": 1}


@dataclass(slots=True, eq=False)
class Key:
    """A key; its Unix times are infinite before they come."""

    text: str
    customer: str
    added_at: float = math.inf  # before the write; minus infinity if it stays for the whole run
    removed_at: float = math.inf  # after the acknowledgement

    @property
    def stays(self) -> bool:
        """Return whether all configurations of the run hold the key."""
        return self.added_at == -math.inf

    @property
    def current(self) -> bool:
        """Return whether the newest configuration holds the key."""
        return self.added_at < math.inf and self.removed_at == math.inf

    def surely_held(self, sent_at: float, *, planned_only: bool) -> bool:
        """Return whether all instances must know the key; some may not hear of it under faults."""
        if self.removed_at < math.inf:
            return False
        return self.stays or (planned_only and sent_at > self.added_at + APPLY_S)

    def surely_removed(self, sent_at: float, *, planned_only: bool) -> bool:
        """Return whether all instances must know that the key was removed."""
        return planned_only and sent_at > self.removed_at + APPLY_S


@dataclass(frozen=True, slots=True)
class Credential:
    """What a request sends for its customer; `key` is empty if it sends none that counts."""

    key: str = ""
    headers: str = ""


@dataclass
class Customers:
    """The customers of a run."""

    rng: Random
    priority_by_name: dict[str, int]
    key_by_text: dict[str, Key] = field(default_factory=dict)
    _next: dict[str, Key] = field(default_factory=dict)  # by customer; known to callers only

    def document(self) -> dict[str, dict[str, Any]]:
        """Return what the configuration says of the customers."""
        return {
            name: {"ApiKeys": [each.text for each in self._current(name)], "Priority": priority}
            for name, priority in self.priority_by_name.items()
        }

    def add_key(self) -> None:
        """Add a key, before a configuration with it is written."""
        name = self.rng.choice(list(self.priority_by_name))
        self._next[name].added_at = time.time()
        self._create_next(name)

    def remove_key(self, write_configuration: Callable[[], None]) -> None:
        """Remove a key that need not stay, if there is one."""
        keys = [each for each in self.key_by_text.values() if each.current and not each.stays]
        if keys:
            key = self.rng.choice(keys)
            key.removed_at = time.time()
            write_configuration()
            key.removed_at = time.time()

    def create_credential(self) -> Credential:
        """Choose what a request sends."""
        headers = ""
        if self.rng.random() < FORGED_SHARE:
            headers = f"X-Heatherhead-Tenant: {self.rng.choice(list(self.priority_by_name))}\r\n"
        (kind,) = self.rng.choices(list(KEY_WEIGHTS), list(KEY_WEIGHTS.values()))
        text = self._choose_key(kind)
        if kind == "none" or not text:
            return Credential("", headers)
        if kind == "other scheme":
            return Credential("", f"{headers}Authorization: Bearer {text}\r\n")
        return Credential(text, f"{headers}Authorization: Token {text}\r\n")

    def _choose_key(self, kind: str) -> str:
        """Return a key of a kind, an empty text if there is none."""
        keys = [each for each in self.key_by_text.values() if each.current]
        if kind == "unknown":
            return self._create_text()
        if kind == "next":
            keys = list(self._next.values())
        elif kind == "removed":
            keys = [each for each in self.key_by_text.values() if each.removed_at < math.inf]
        return self.rng.choice(keys).text if keys else ""

    def _current(self, name: str) -> list[Key]:
        return [
            each for each in self.key_by_text.values() if each.customer == name and each.current
        ]

    def _create_next(self, name: str, added_at: float = math.inf) -> None:
        key = self._next[name] = Key(self._create_text(), name, added_at)
        self.key_by_text[key.text] = key

    def _create_text(self) -> str:
        return f"{KEY_PREFIX}{self.rng.getrandbits(64):016x}"


def create_customers(rng: Random) -> Customers:
    """Create customers with a key each that stays, and one that may be added."""
    names = [f"customer-{number}" for number in range(CUSTOMERS)]
    customers = Customers(rng, {name: rng.randint(0, MAX_PRIORITY) for name in names})
    for name in names:
        customers._create_next(name, -math.inf)
        customers._create_next(name)
    return customers
