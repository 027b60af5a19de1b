"""Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from typing import TYPE_CHECKING

from review.standins.record import Record

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

LIMIT_S = 115.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case, whose coroutine returns whether the rule held, and exit."""
    record = Record(folder / "record.txt")

    async def limited() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await play(record)

    try:
        held = asyncio.run(limited())
    except Exception:
        traceback.print_exc()
        record.write("could_not_run")
        sys.exit(COULD_NOT_RUN)
    record.write("verdict", rule="held" if held else "broken", trouble=trouble())
    sys.exit(HELD if held else BROKEN)


def configuration(
    version: int, routes: dict[str, dict[str, object]], services: list[str]
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        "ConfigVersion": version,
        "Routes": routes,
        "Services": {name: {"HealthCheck": "/healthz", "MaxConnections": 220} for name in services},
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutS": 3,
            "IdleTimeoutS": 15,
        },
    }
