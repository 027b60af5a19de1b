"""A short seeded run of the soak, and the checks of its links; long runs are played by hand."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from soak.__main__ import Plan, run_seed
from soak.callers import Attempt, Callers
from soak.links import Fault, Link
from soak.promises import broken_promises
from soak.world import World

if TYPE_CHECKING:
    from pathlib import Path

SHORT = Plan(daemons=3, backends=4, callers=6, faults_s=3.0, quiet_s=1.0)


@pytest.mark.parametrize("seed", [7, 10])
def test_promises_hold_in_a_short_run(seed: int, tmp_path: Path) -> None:
    """Seed 10 has planned work only."""
    report = asyncio.run(run_seed(seed, SHORT, tmp_path, f"127.251.{seed}"))
    assert report.broken == []
    assert report.served > 0


@pytest.mark.parametrize(
    ("fault", "arrived", "answered"),
    [
        (Fault.NONE, b"ask", b"answer"),
        (Fault.DELAY, b"ask", b"answer"),
        (Fault.MUTE, b"", b""),
        (Fault.DEAF, b"ask", b""),
        (Fault.SILENT, b"", b""),
    ],
)
def test_link_loses_what_its_fault_says(fault: Fault, arrived: bytes, answered: bytes) -> None:
    async def main() -> None:
        seen = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            seen.append(await reader.read(100))
            writer.write(b"answer")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        link = Link("127.0.0.1", "127.0.0.1", server.sockets[0].getsockname()[1], fault)
        await link.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        writer.write(b"ask")
        writer.write_eof()
        received = b""
        if answered:
            received = await reader.read(100)
        else:
            while fault is Fault.DEAF and not seen:
                await asyncio.sleep(0)
        assert received == answered
        assert b"".join(seen) == arrived
        link.stop()
        server.close()

    asyncio.run(main())


def _world(tmp_path: Path, runs: str) -> World:
    """Give a world whose back ends wrote `runs`; nothing of it is started."""
    world = World(tmp_path, None, "127.0.0", None, tmp_path / "runs.log")  # type: ignore[arg-type]
    world.services_by_prefix["/order/"] = {"orders"}
    world.run_log.write_text(runs)
    return world


@pytest.mark.parametrize(
    ("status", "runs", "said"),
    [
        (200, 2, "ran 2 times"),
        (503, 1, "told not to have run"),
        (404, 0, "refused though"),
        (200, 1, "not the back end's whole answer"),
    ],
)
def test_broken_promises_are_found(tmp_path: Path, status: int, runs: int, said: str) -> None:
    line = '["a", "i-1", "orders", "d", 1.0]\n'
    world = _world(tmp_path, line * runs)
    callers = Callers(world, None)  # type: ignore[arg-type]
    callers.attempt_by_id["a"] = Attempt("a", "/order/", "d", "127.0.0.10", 1.0, status)
    broken = list(broken_promises(world, callers, 1e12, planned_only=False))
    assert any(said in line for line in broken)


def test_run_that_no_caller_asked_for_and_run_by_a_wrong_service_are_found(tmp_path: Path) -> None:
    world = _world(tmp_path, '["x", "i-1", "orders", "d", 1.0]\n["a", "i-1", "stock", "d", 1.0]\n')
    callers = Callers(world, None)  # type: ignore[arg-type]
    callers.attempt_by_id["a"] = Attempt("a", "/order/", "d", "127.0.0.10", 1.0)
    broken = list(broken_promises(world, callers, 1e12, planned_only=False))
    assert any("no caller asked" in line for line in broken)
    assert any("no configuration allows" in line for line in broken)
