"""Checks that objects are freed by reference counting alone."""

from __future__ import annotations

import asyncio
import gc
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["expect_freed", "without_collector"]

FREED_WITHIN_S = 2.0


async def expect_freed(list_held: Callable[[], list[object]]) -> None:
    """Fail the test unless nothing is held any more soon."""
    try:
        async with asyncio.timeout(FREED_WITHIN_S):
            while list_held():
                await asyncio.sleep(0.02)
    except TimeoutError:
        pytest.fail(f"held: {sorted(type(each).__name__ for each in list_held())}")


@pytest.fixture
def without_collector() -> Iterator[None]:
    """Switch the garbage collector off for a test."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()
