"""A comparable copy of the state of objects, for tests that a reading changes nothing."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import Any

__all__ = ["snapshot"]

_PLAIN = (str, bytes, int, float, bool, type(None))


def snapshot(*objects: object) -> tuple[object, ...]:
    """Return the state of the project's objects within some objects, and of the random numbers."""
    seen: dict[int, int] = {}
    return random.getstate(), *(_state(each, seen) for each in objects)


def _state(value: Any, seen: dict[int, int]) -> object:
    if isinstance(value, _PLAIN):
        return value
    if id(value) in seen:
        return "seen", seen[id(value)]
    seen[id(value)] = len(seen)
    if isinstance(value, dict):
        items = [(_state(key, seen), _state(each, seen)) for key, each in value.items()]
        return type(value).__name__, items
    if isinstance(value, (list, tuple, deque)):
        return [_state(each, seen) for each in value]
    if isinstance(value, (set, frozenset)):
        return sorted(repr(_state(each, seen)) for each in value)
    if isinstance(value, (asyncio.Future, asyncio.TimerHandle)):
        return repr(value)
    if type(value).__module__.startswith("heatherhead"):
        return type(value).__name__, [(n, _state(v, seen)) for n, v in _fields(value)]
    # Of numbering objects (`itertools.count`), this tells the next number.
    return repr(value) if type(value).__module__ == "itertools" else type(value).__name__


def _fields(value: Any) -> list[tuple[str, Any]]:
    names = [name for each in type(value).__mro__ for name in getattr(each, "__slots__", ())]
    found = [(name, getattr(value, name)) for name in names if hasattr(value, name)]
    return found + sorted(getattr(value, "__dict__", {}).items())
