"""Short seeded runs of the soak, and tests of its links and invariants; long runs are manual."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.tests.entry.instances import loopback_prefix
from soak.__main__ import Plan, run_seed
from soak.callers import Attempt, Callers
from soak.invariants import find_violations
from soak.links import Cut, Fault, Link
from soak.world import Daemon, World

if TYPE_CHECKING:
    from collections.abc import Collection
    from pathlib import Path

SHORT = Plan(daemons=3, upstreams=4, callers=6, faults_s=3.0, quiet_s=1.0)


@pytest.mark.parametrize(("seed", "quiet_s"), [(7, 1.0), (10, 8.0)])
def test_invariants_hold_in_a_short_run(seed: int, quiet_s: float, tmp_path: Path) -> None:
    """Seed 10 injects planned events only, long enough for limits to be checked."""
    plan = replace(SHORT, quiet_s=quiet_s)
    report = asyncio.run(run_seed(seed, plan, tmp_path, loopback_prefix(200 + seed)))
    assert report.violations == []
    assert report.served > 0


@pytest.mark.parametrize(
    ("fault", "arrived", "answered"),
    [
        (Fault.NONE, b"ask", b"answer"),
        (Fault.DELAY, b"ask", b"answer"),
        (Fault.DROP_FROM_CLIENT, b"", b""),
        (Fault.DROP_FROM_TARGET, b"ask", b""),
        (Fault.DROP_ALL, b"", b""),
    ],
)
def test_link_drops_bytes_according_to_its_fault(
    fault: Fault, arrived: bytes, answered: bytes
) -> None:
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
            while fault is Fault.DROP_FROM_TARGET and not seen:
                await asyncio.sleep(0)
        assert received == answered
        assert b"".join(seen) == arrived
        link.stop()
        server.close()

    asyncio.run(main())


def _world(tmp_path: Path, execution_lines: str) -> World:
    """Return a world whose upstreams logged `execution_lines`; none of its processes is started."""
    world = World(tmp_path, None, "127.0.0", None, tmp_path / "runs.log")  # type: ignore[arg-type]
    world.allowed_services_by_prefix["/order/"] = {"orders"}
    world.run_log.write_text(execution_lines)
    return world


@pytest.mark.parametrize(
    ("status", "executions", "expected_text"),
    [
        (200, 2, "executed 2 times"),
        (503, 1, "answered as not executed"),
        (404, 0, "valid request refused"),
        (200, 1, "without the complete answer"),
    ],
)
def test_violations_are_found(
    tmp_path: Path, status: int, executions: int, expected_text: str
) -> None:
    line = '["a", "i-1", "orders", "d", 1.0]\n'
    world = _world(tmp_path, line * executions)
    callers = Callers(world, None)  # type: ignore[arg-type]
    callers.attempt_by_id["a"] = Attempt("a", "/order/", "d", "127.0.0.10", 1.0, status)
    violations = list(find_violations(world, callers, 1e12, planned_only=False))
    assert any(expected_text in line for line in violations)


def test_late_naming_of_a_lost_instance_is_found(tmp_path: Path) -> None:
    world = _world(tmp_path, "")
    world.daemons = [Daemon("127.0.0.10", None, None, lost_at=10.0)]  # type: ignore[arg-type]
    callers = Callers(world, None)  # type: ignore[arg-type]
    for answered_at in (12.0, 14.0):
        callers.address_answers.append((answered_at, "127.0.0.11", ["127.0.0.10"]))
    lines = list(find_violations(world, callers, 1e12, planned_only=False))
    assert [line.partition(" after")[0] for line in lines] == ["127.0.0.11 named 127.0.0.10 4.00 s"]


@pytest.mark.parametrize(
    ("how", "kept"), [(Cut.HANG, b""), (Cut.RESET, b""), (Cut.RESET_NEW, b"x")]
)
def test_link_cuts_one_client_and_no_other(how: Cut, kept: bytes) -> None:
    async def main() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        async def ask(
            connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
        ) -> bytes:
            with suppress(OSError, TimeoutError):
                reader, writer = connection or await asyncio.open_connection("127.0.0.1", link.port)
                writer.write(b"x")
                return await asyncio.wait_for(reader.read(1), 0.3)
            return b""

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        names: dict[int, str] = {}

        async def name_in_turn(ports: Collection[int]) -> dict[int, str]:
            return {
                port: names.setdefault(port, ("cut", "other")[len(names) % 2]) for port in ports
            }

        link = Link(
            "127.0.0.1",
            "127.0.0.1",
            server.sockets[0].getsockname()[1],
            client_names=name_in_turn,
        )
        await link.start()
        opened = []
        for _ in range(2):
            opened.append(await asyncio.open_connection("127.0.0.1", link.port))
            assert await ask(opened[-1]) == b"x"
        await link.cut(["cut"], how)
        assert await ask(opened[0]) == kept
        assert await ask(opened[1]) == b"x"
        assert await ask() == b""
        assert await ask() == b"x"
        link.stop()
        server.close()

    asyncio.run(main())


def test_exceeded_limit_is_found(tmp_path: Path) -> None:
    rows = ['["limit", "i-1", "orders", "", 1.0]\n']
    rows += [f'["a", "i-1", "orders", "d", {5 + number / 10}]\n' for number in range(20)]
    world = _world(tmp_path, "".join(rows))
    callers = Callers(world, None)  # type: ignore[arg-type]
    lines = list(find_violations(world, callers, 1e12, planned_only=True))
    assert any("limit exceeded: 20 requests" in line for line in lines)


def test_calls_after_a_limit_that_was_named_late_are_no_violation(tmp_path: Path) -> None:
    """The limit ends by the age of the process, not by when a call first got to know it."""
    rows = ['["start", "i-1", "orders", "", 0.0]\n', '["limit", "i-1", "orders", "", 2.5]\n']
    rows += [f'["a", "i-1", "orders", "d", {10.1 + number / 100}]\n' for number in range(40)]
    world = _world(tmp_path, "".join(rows))
    callers = Callers(world, None)  # type: ignore[arg-type]
    lines = list(find_violations(world, callers, 1e12, planned_only=True))
    assert not any("limit exceeded" in line for line in lines)


def test_unmatched_execution_and_execution_by_a_wrong_service_are_found(tmp_path: Path) -> None:
    world = _world(tmp_path, '["x", "i-1", "orders", "d", 1.0]\n["a", "i-1", "stock", "d", 1.0]\n')
    callers = Callers(world, None)  # type: ignore[arg-type]
    callers.attempt_by_id["a"] = Attempt("a", "/order/", "d", "127.0.0.10", 1.0)
    violations = list(find_violations(world, callers, 1e12, planned_only=False))
    assert any("without a matching request" in line for line in violations)
    assert any("no configuration routes to" in line for line in violations)
